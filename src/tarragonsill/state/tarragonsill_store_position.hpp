#ifndef TARRAGONSILL_STORE_POSITION_HPP_INCLUDED
#define TARRAGONSILL_STORE_POSITION_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <string>

/// A position in the history of an object store.
namespace tarragonsill {

/// An era and a revision. After a store rollback, revisions are assigned a
/// second time, so a revision is only meaningful together with its era. There
/// is no conversion from a number, so that no revision is compared without its
/// era.
struct StorePosition
{
  /// Increases with each store rollback; 0 if the store has no eras.
  std::uint64_t mEra = 0;
  std::uint64_t mRevision = 0; ///< Increases with each change; 0 for none.

  StorePosition() = default;
  constexpr StorePosition(std::uint64_t aEra, std::uint64_t aRevision)
    : mEra(aEra)
    , mRevision(aRevision)
  {
  }

  auto operator<=>(StorePosition const&) const = default;
  bool IsSet() const { return mRevision > 0; }
};

/// Formats a position for the log: "2:84", or "84" without an era.
inline std::string
ToText(StorePosition aPosition)
{
  auto const revision = std::to_string(aPosition.mRevision);
  return aPosition.mEra == 0 ? revision
                             : std::to_string(aPosition.mEra) + ":" + revision;
}

} // namespace tarragonsill

#endif // TARRAGONSILL_STORE_POSITION_HPP_INCLUDED
