#ifndef TARRAGONSILL_HISTORY_SEARCH_HPP_INCLUDED
#define TARRAGONSILL_HISTORY_SEARCH_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_stored_object.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

/// Reads the changes that precede a list, as far back as the store has them.
///
/// The store keeps its history for some time, and only refuses a watch from a
/// position before it. So the number of changes that it still has is searched:
/// by steps that grow, and then by halves.
namespace tarragonsill {

class HistorySearch
{
public:
  /// The search ends with what it has found after this time, as a VM that
  /// starts does not serve before.
  static constexpr milliseconds kMaxTime{ 400 };

  /// Searches before the position of a list.
  explicit HistorySearch(StorePosition aListed)
    : mListed(aListed)
  {
  }

  /// A watch that is to be answered at once.
  struct Query
  {
    StorePosition mFrom;
    /// A lagging replica may refuse a position that it has not reached, so the
    /// last refusal is confirmed with current data.
    bool mMayBeStale = true;
  };
  /// Returns the next query; nothing if the search has ended.
  std::optional<Query> Next(TimePoint aNow);
  /// Whether all that the store has was found.
  bool IsComplete() const;
  /// Records the answer to the last query.
  void RecordChanges(ObjectPage aPage);
  /// Records that the store no longer has the history of the last query.
  void RecordGone();
  /// Records that the last answer came from a replica that lags.
  void RecordStale();

  /// All changes that were found, of one kind of objects.
  std::vector<ObjectChange> TakeChanges() { return std::move(mChanges); }

private:
  static constexpr std::uint64_t kStepFactor = 16;

  /// Whether the store has no more changes than those that were found.
  bool IsEndFound() const;
  /// The number of changes up to the list.
  std::uint64_t AllChanges() const;

  StorePosition mListed;
  TimePoint mStarted{};
  std::uint64_t mAsked = 0; ///< The number of changes of the last query.
  std::uint64_t mFound = 0; ///< The store has at least this many.
  /// The store does not have this many; unset while unknown.
  std::optional<std::uint64_t> mGone;
  bool mMayBeStale = true;
  std::vector<ObjectChange> mChanges;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_HISTORY_SEARCH_HPP_INCLUDED
