#ifndef TARRAGONSILL_STORE_POSITION_HPP_INCLUDED
#define TARRAGONSILL_STORE_POSITION_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <string>

/// A place in the history of an object store.
namespace tarragonsill {

/// A store that comes back from an older copy of itself gives its revisions out
/// again, so a revision means something only together with its era. There is no
/// conversion from a number, so that no revision is compared without its era.
struct StorePosition
{
  /// Rises each time the store comes back older; 0 if it names no era.
  std::uint64_t mEra = 0;
  std::uint64_t mRevision = 0; ///< Rises with each change; 0 for none.

  StorePosition() = default;
  constexpr StorePosition(std::uint64_t aEra, std::uint64_t aRevision)
    : mEra(aEra)
    , mRevision(aRevision)
  {
  }

  auto operator<=>(StorePosition const&) const = default;
  bool IsSet() const { return mRevision > 0; }
};

/// For the log: "2:84", or "84" where the store names no era.
inline std::string
ToText(StorePosition aPosition)
{
  auto const revision = std::to_string(aPosition.mRevision);
  return aPosition.mEra == 0 ? revision
                             : std::to_string(aPosition.mEra) + ":" + revision;
}

} // namespace tarragonsill

#endif // TARRAGONSILL_STORE_POSITION_HPP_INCLUDED
