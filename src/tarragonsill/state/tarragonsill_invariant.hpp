#ifndef TARRAGONSILL_INVARIANT_HPP_INCLUDED
#define TARRAGONSILL_INVARIANT_HPP_INCLUDED

#include <cstdio>
#include <cstdlib>

/// Checks of invariants, which must hold for any input from outside. A
/// violation aborts the process. Builds without TARRAGONSILL_CHECK_INVARIANTS
/// skip the checks.
namespace tarragonsill {

/// Aborts with the text if the invariant does not hold.
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
