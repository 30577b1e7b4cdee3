#ifndef TARRAGONSILL_INVARIANT_HPP_INCLUDED
#define TARRAGONSILL_INVARIANT_HPP_INCLUDED

#include <cstdio>
#include <cstdlib>

/// Checks of what must hold whatever arrives from outside. A broken invariant
/// stops the process. Builds without TARRAGONSILL_CHECK_INVARIANTS skip them.
namespace tarragonsill {

inline void
RequireInvariant([[maybe_unused]] bool aHolds,
                 [[maybe_unused]] char const* aText)
{
#ifdef TARRAGONSILL_CHECK_INVARIANTS
  if (!aHolds) {
    std::fprintf(stderr, "broken invariant: %s\n", aText);
    std::abort();
  }
#endif
}

} // namespace tarragonsill

#endif // TARRAGONSILL_INVARIANT_HPP_INCLUDED
