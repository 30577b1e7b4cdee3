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

/// What a VM learns from an object store, decoded.
namespace tarragonsill {

/// The kinds of objects that a VM follows.
enum class ObjectKind : std::uint8_t
{
  Configuration,
  Upstreams,
  Evacuations,
};

/// All of them.
inline constexpr std::array kObjectKinds = { ObjectKind::Configuration,
                                             ObjectKind::Upstreams,
                                             ObjectKind::Evacuations };

std::string_view ToText(ObjectKind aKind);

/// A request that a zone be given no new work, named after the zone.
struct EvacuationRecord
{};

/// An object that another writer left and that cannot be used.
struct InvalidRecord
{
  std::string mReason;
};

/// One object: there, with its decoded content, or removed.
struct ObjectChange
{
  std::string mName;
  StorePosition mPosition; ///< Of its last change.
  bool mRemoved = false;
  std::variant<InvalidRecord,
               RoutingConfiguration,
               UpstreamRegistration,
               EvacuationRecord>
    mContent;
  /// Handed on by a VM that doubts it for this long, as the store came back
  /// from a copy in which it stands otherwise.
  milliseconds mUnconfirmedFor{ 0 };
};

/// A part of the answer to a list or a watch.
struct ObjectPage
{
  std::vector<ObjectChange> mChanges;
  /// The list goes on after the last object of this page.
  bool mHasMore = false;
  /// The store's position to which the answer is up to date.
  StorePosition mPosition;
};

/// A call to list a kind of objects or to wait for changes.
struct ObjectQuery
{
  ObjectKind mKind = ObjectKind::Configuration;
  std::string mAfter;       ///< List: goes on after this name.
  StorePosition mWatchFrom; ///< Watch: the position held; unset lists.
  milliseconds mWait{ 0 };  ///< Watch: the longest wait.
  bool mMayBeStale = false; ///< A cheap answer that may lag.
};

/// The format that an object store speaks over HTTP.
template<typename T>
concept ObjectStoreFormat = requires(ObjectQuery const& aQuery,
                                     std::uint64_t aEra,
                                     std::string const& aText)
{
  /// The header, in small letters, that names the era of an answer.
  {
    T::kEraHeader
    } -> std::convertible_to<char const*>;
  /// Nothing for a text that names no era.
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
