#ifndef TARRAGONSILL_STORED_OBJECT_HPP_INCLUDED
#define TARRAGONSILL_STORED_OBJECT_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_routing.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <array>
#include <concepts>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Decoded objects of the store, and queries for them.
namespace tarragonsill {

/// The kinds of objects that an entry VM watches.
enum class ObjectKind : std::uint8_t
{
  Configuration,
  Upstreams,
  Evacuations,
};

inline constexpr std::array kObjectKinds = { ObjectKind::Configuration,
                                             ObjectKind::Upstreams,
                                             ObjectKind::Evacuations };

std::string_view ToText(ObjectKind aKind);

/// An evacuated zone, which gets no new work. The object's name is the zone's.
struct EvacuationRecord
{};

/// An object whose content cannot be decoded, such as one of a foreign writer.
struct InvalidRecord
{
  std::string mReason;
};

/// The current state of one object: its decoded content, or its removal.
struct ObjectChange
{
  std::string mName;
  StorePosition mPosition; ///< Position of its last change.
  bool mRemoved = false;
  std::variant<InvalidRecord,
               RoutingConfiguration,
               UpstreamRegistration,
               EvacuationRecord>
    mContent;
  /// How much longer the object is unconfirmed: a store rollback changed it,
  /// and the writer has not written it again. Only set in messages between VMs.
  milliseconds mUnconfirmedFor{ 0 };
};

/// One page of the answer to a list or a watch.
struct ObjectPage
{
  std::vector<ObjectChange> mChanges;
  /// Whether more objects follow after the last one of this page.
  bool mHasMore = false;
  /// Position of the store up to which the answer has all changes.
  StorePosition mPosition;
};

/// A query that lists the objects of a kind or watches them for changes.
struct ObjectQuery
{
  ObjectKind mKind = ObjectKind::Configuration;
  std::string mAfter;       ///< List: continues after this name.
  StorePosition mWatchFrom; ///< Watch: last known position. List: unset.
  milliseconds mWait{ 0 };  ///< Watch: maximum time to wait for a change.
  bool mMayBeStale = false; ///< Allows a cheaper answer from a lagging replica.
};

/// The HTTP format of an object store.
template<typename T>
concept ObjectStoreFormat = requires(ObjectQuery const& aQuery,
                                     std::uint64_t aEra,
                                     std::string const& aText)
{
  /// The lower-case name of the header that holds the era of an answer.
  {
    T::kEraHeader
    } -> std::convertible_to<char const*>;
  /// Returns nothing if the text is not an era.
  {
    T::ReadEra(aText)
    } -> std::same_as<std::optional<std::uint64_t>>;
  {
    T::Path(aQuery)
    } -> std::same_as<std::string>;
  {
    T::Decode(aQuery, aEra, aText)
    } -> std::same_as<Result<ObjectPage>>;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STORED_OBJECT_HPP_INCLUDED
