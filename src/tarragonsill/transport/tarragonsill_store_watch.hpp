#ifndef TARRAGONSILL_STORE_WATCH_HPP_INCLUDED
#define TARRAGONSILL_STORE_WATCH_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/transport/tarragonsill_http_connection.hpp"

#include <algorithm>
#include <atomic>

/// Follows one kind of objects in an object store: lists them, then watches for
/// changes, and lists again when the store has lost the history in between.
namespace tarragonsill {

/// What the next call brought.
struct WatchStep
{
  bool mAnswered = false;
  std::string mFailure; ///< Why there was no answer that can be used.
  /// Changes, or a whole list; nothing while a list is incomplete.
  std::optional<StoreNews> mNews;
  /// The pause before the next call, if this one was answered.
  milliseconds mPause{ 0 };
};

template<ObjectStoreFormat Format>
class StoreWatch
{
public:
  StoreWatch(Endpoint aStore, ObjectKind aKind, Counters& aCounters)
    : mConnection({ aStore, kConnectTimeout, true })
    , mCounters(aCounters)
  {
    mQuery.mKind = aKind;
  }

  /// Ends the call in progress, and makes no further ones; from any thread.
  void Cancel()
  {
    mCancelled = true;
    mConnection.Cancel();
  }

  /// How long the store may hold back its answer while nothing changes.
  void SetWait(milliseconds aWait) { mWait = aWait; }

  /// Goes on from a revision up to which changes came from elsewhere.
  void ResumeFrom(std::uint64_t aRevision)
  {
    if (aRevision > mQuery.mWatchFrom) {
      Restart();
      mQuery.mWatchFrom = aRevision;
    }
  }

  /// A revision that the store had a moment ago. The next list may come from a
  /// replica that has reached it, which costs less than one that may not lag.
  void SetFloor(std::uint64_t aRevision)
  {
    mFloor = std::max(mFloor, aRevision);
  }

  /// Makes one call and waits for its answer.
  WatchStep Step()
  {
    if (mCancelled) {
      return { false, "cancelled", {}, {} };
    }
    mCounters.Add(Counter::StoreCalls);
    bool const isWatch = mQuery.mWatchFrom > 0;
    // What is resumed was not listed, and a list of later needs a new floor.
    mFloor = isWatch ? 0 : mFloor;
    mQuery.mWait = isWatch ? mWait : milliseconds{ 0 };
    // A list has to show what the store has by now; a watch that lags is
    // noticed by its peers.
    mQuery.mMayBeStale = isWatch || mFloor > 0;
    auto const answer =
      mConnection.Get(Format::Path(mQuery),
                      isWatch ? mQuery.mWait + kAnswerTimeout : kListTimeout);
    if (!answer) {
      return Failed(answer.LastReason().mText);
    }
    if (answer->mStatus == kStatusGone) {
      Restart();
      return { true, {}, {}, milliseconds{ 0 } };
    }
    if (answer->mStatus != HttpConnection::kStatusOk) {
      return Failed("status " + std::to_string(answer->mStatus));
    }
    auto page = Format::Decode(mQuery, answer->mBody);
    if (!page) {
      return Failed(page.LastReason().mText);
    }
    return isWatch ? TakeEvents(page.Take()) : TakeListPage(page.Take());
  }

private:
  static constexpr int kStatusGone = 410;
  /// After changes, further ones gather for this long: calls have a price, and
  /// drains and configurations have seconds to take effect.
  static constexpr milliseconds kGather{ 150 };
  /// An answer takes some milliseconds (platform); a connection without one
  /// is given up after this time.
  static constexpr milliseconds kAnswerTimeout{ 700 };
  /// A page of a list is large; when many VMs start at once the store's link is
  /// full for some seconds, and a page that is given up was sent in vain.
  static constexpr milliseconds kListTimeout{ 2500 };
  static constexpr milliseconds kConnectTimeout{ 500 };

  WatchStep TakeEvents(ObjectPage aPage)
  {
    auto const after = mQuery.mWatchFrom;
    mQuery.mWatchFrom = std::max(after, aPage.mRevision);
    mCounters.Add(Counter::StoreEvents, aPage.mChanges.size());
    StoreNews news{
      mQuery.mKind, std::move(aPage.mChanges), false, aPage.mRevision, after
    };
    auto const pause = news.mChanges.empty() ? milliseconds{ 0 } : kGather;
    return { true, {}, std::move(news), pause };
  }

  WatchStep TakeListPage(ObjectPage aPage)
  {
    // A page that is older than the first one would hide changes from the
    // watch.
    if (aPage.mRevision < std::max(mFloor, mListRevision)) {
      mFloor = 0;
      Restart();
      return { true, {}, {}, milliseconds{ 0 } };
    }
    auto const last =
      aPage.mChanges.empty() ? std::string() : aPage.mChanges.back().mName;
    if (mListed.empty()) {
      mListRevision = aPage.mRevision;
    }
    std::move(aPage.mChanges.begin(),
              aPage.mChanges.end(),
              std::back_inserter(mListed));
    if (aPage.mMore && !last.empty()) {
      mQuery.mAfter = last;
      return { true, {}, {}, milliseconds{ 0 } };
    }
    StoreNews news{ mQuery.mKind, std::move(mListed), true, mListRevision };
    auto const revision = mListRevision;
    mFloor = 0;
    Restart();
    mQuery.mWatchFrom = revision;
    return { true, {}, std::move(news), milliseconds{ 0 } };
  }

  void Restart()
  {
    mQuery.mWatchFrom = 0;
    mQuery.mAfter.clear();
    mListed.clear();
    mListRevision = 0;
  }

  WatchStep Failed(std::string aWhy)
  {
    mCounters.Add(Counter::StoreFailures);
    mFloor = 0;
    return { false, std::move(aWhy), {}, {} };
  }

  HttpConnection mConnection;
  Counters& mCounters;
  ObjectQuery mQuery;
  std::vector<ObjectChange> mListed;
  std::uint64_t mListRevision = 0;
  std::uint64_t mFloor = 0; ///< For the next list only.
  milliseconds mWait = WatchTimes{}.mWait;
  std::atomic<bool> mCancelled{ false };
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STORE_WATCH_HPP_INCLUDED
