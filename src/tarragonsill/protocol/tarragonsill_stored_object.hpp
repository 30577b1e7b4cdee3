#ifndef TARRAGONSILL_STORED_OBJECT_HPP_INCLUDED
#define TARRAGONSILL_STORED_OBJECT_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_routing.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <array>
#include <concepts>
#include <cstdint>
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
struct UnusableRecord
{
  std::string mWhy;
};

/// One object: there, with its decoded content, or removed.
struct ObjectChange
{
  std::string mName;
  std::uint64_t mRevision = 0;
  bool mRemoved = false;
  std::variant<UnusableRecord,
               RoutingConfiguration,
               UpstreamRecord,
               EvacuationRecord>
    mContent;
};

/// A part of the answer to a list or a watch.
struct ObjectPage
{
  std::vector<ObjectChange> mChanges;
  /// The list goes on after the last object of this page.
  bool mMore = false;
  /// The store's revision to which the answer is up to date.
  std::uint64_t mRevision = 0;
};

/// A call to list a kind of objects or to wait for changes.
struct ObjectQuery
{
  ObjectKind mKind = ObjectKind::Configuration;
  std::string mAfter;           ///< List: goes on after this name.
  std::uint64_t mWatchFrom = 0; ///< Watch: the revision held; 0 lists.
  milliseconds mWait{ 0 };      ///< Watch: the longest wait.
  bool mMayBeStale = false;     ///< A cheap answer that may lag.
};

/// The format that an object store speaks over HTTP.
template<typename T>
concept ObjectStoreFormat = requires(ObjectQuery const& aQuery,
                                     std::string const& aBody)
{
  {
    T::Path(aQuery)
    } -> std::same_as<std::string>;
  {
    T::Decode(aQuery, aBody)
    } -> std::same_as<Result<ObjectPage>>;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STORED_OBJECT_HPP_INCLUDED
