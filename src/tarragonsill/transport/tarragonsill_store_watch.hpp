#ifndef TARRAGONSILL_STORE_WATCH_HPP_INCLUDED
#define TARRAGONSILL_STORE_WATCH_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/coordination/tarragonsill_watch_relay.hpp"
#include "tarragonsill/state/tarragonsill_counters.hpp"
#include "tarragonsill/transport/tarragonsill_http_connection.hpp"

#include <algorithm>
#include <atomic>
#include <utility>

/// Follows one kind of objects in an object store: lists them, then watches for
/// changes, and lists again when the store has lost the history in between.
namespace tarragonsill {

/// What the next call brought.
struct WatchPollResult
{
  bool mAnswered = false;
  std::string mReason; ///< Why there was no answer that can be used.
  /// Changes, or a whole list; nothing while a list is incomplete.
  std::optional<StoreUpdate> mUpdate;
  /// The pause before the next call, if this one was answered.
  milliseconds mDelay{ 0 };
  /// The highest era of the store that any answer has named.
  std::uint64_t mEra = 0;
};

template<ObjectStoreFormat Format>
class StoreWatch
{
public:
  StoreWatch(Endpoint aStore,
             ObjectKind aKind,
             Counters& aCounters,
             Mechanisms aMechanisms = {})
    : mConnection({ aStore, kConnectTimeout, true })
    , mCounters(aCounters)
    , mMechanisms(aMechanisms)
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

  /// Goes on from a position up to which changes came from elsewhere.
  void ResumeFrom(StorePosition aPosition)
  {
    ObserveEra(aPosition.mEra);
    if (aPosition > mQuery.mWatchFrom && aPosition.mEra == mEra) {
      Restart();
      mQuery.mWatchFrom = aPosition;
    }
  }

  /// A position that the store had a moment ago. The next list may come from a
  /// replica that has reached it, which costs less than one that may not lag.
  void SetMinListPosition(StorePosition aPosition)
  {
    ObserveEra(aPosition.mEra);
    bool const isUsable =
      aPosition.mEra == mEra && mMechanisms.Uses(Mechanism::ReplicaLists);
    if (isUsable) {
      mMinListPosition = std::max(mMinListPosition, aPosition);
    }
  }

  /// The store has come back from an older copy: nothing that was held of it
  /// can be gone on from.
  void ObserveEra(std::uint64_t aEra)
  {
    if (aEra > mEra) {
      mEra = aEra;
      mMinListPosition = {};
      Restart();
    }
  }

  /// Makes one call and waits for its response.
  WatchPollResult Poll()
  {
    auto result = SendQuery();
    result.mEra = mEra;
    return result;
  }

private:
  static constexpr int kStatusGone = 410;
  /// After changes, further ones gather for this long: calls have a price, and
  /// drains and configurations have seconds to take effect.
  static constexpr milliseconds kGatherDelay{ 150 };
  /// An answer takes some milliseconds (platform); a connection without one
  /// is given up after this time.
  static constexpr milliseconds kAnswerTimeout{ 700 };
  /// A page of a list is large; when many VMs start at once the store's link is
  /// full for some seconds, and a page that is given up was sent in vain.
  static constexpr milliseconds kListTimeout{ 2500 };
  static constexpr milliseconds kConnectTimeout{ 500 };

  WatchPollResult SendQuery()
  {
    if (mCancelled) {
      return { false, "cancelled", {}, {} };
    }
    mCounters.Add(Counter::StoreCalls);
    bool const isWatch = mQuery.mWatchFrom.IsSet();
    // What is resumed was not listed, and a list of later needs a new floor.
    mMinListPosition = isWatch ? StorePosition{} : mMinListPosition;
    mQuery.mWait = isWatch ? mWait : milliseconds{ 0 };
    // A list has to show what the store has by now; a watch that lags is
    // noticed by its peers.
    mQuery.mMayBeStale = !std::exchange(mIsReplicaStale, false) &&
                         (isWatch || mMinListPosition.IsSet());
    auto const response =
      mConnection.Get(Format::Path(mQuery),
                      isWatch ? mQuery.mWait + kAnswerTimeout : kListTimeout);
    if (!response) {
      return MakeFailure(response.LastReason().mText);
    }
    auto const era = EraOf(*response);
    if (era < mEra) {
      mIsReplicaStale = mQuery.mMayBeStale;
      return MakeFailure("an answer from before the store came back older");
    }
    bool const isFirstPage = !isWatch && mQuery.mAfter.empty();
    bool const isNewEra = era > mEra;
    ObserveEra(era);
    bool const isHistoryGone = response->mStatus == kStatusGone;
    if (!isHistoryGone && response->mStatus != HttpConnection::kStatusOk) {
      return MakeFailure("status " + std::to_string(response->mStatus));
    }
    if (isHistoryGone || (isNewEra && !isFirstPage)) {
      Restart();
      return { true, {}, {}, milliseconds{ 0 } };
    }
    auto page = Format::Decode(mQuery, era, response->mBody);
    if (!page) {
      return MakeFailure(page.LastReason().mText);
    }
    return isWatch ? HandleEvents(page.Take()) : HandleListPage(page.Take());
  }

  /// The era that an answer names; the one known if it names none.
  std::uint64_t EraOf(HttpResponse const& aResponse) const
  {
    auto const header = aResponse.mHeaders.find(Format::kEraHeader);
    return header == aResponse.mHeaders.end()
             ? mEra
             : Format::ReadEra(header->second).value_or(mEra);
  }

  WatchPollResult HandleEvents(ObjectPage aPage)
  {
    auto const after = mQuery.mWatchFrom;
    mQuery.mWatchFrom = std::max(after, aPage.mPosition);
    mCounters.Add(Counter::StoreEvents, aPage.mChanges.size());
    StoreUpdate update{
      mQuery.mKind, std::move(aPage.mChanges), false, aPage.mPosition, after
    };
    bool const isGathering =
      !update.mChanges.empty() && mMechanisms.Uses(Mechanism::GatheredChanges);
    auto const delay = isGathering ? kGatherDelay : milliseconds{ 0 };
    return { true, {}, std::move(update), delay };
  }

  WatchPollResult HandleListPage(ObjectPage aPage)
  {
    // A page that is older than the first one would hide changes from the
    // watch.
    if (aPage.mPosition < std::max(mMinListPosition, mListPosition)) {
      mMinListPosition = {};
      Restart();
      return { true, {}, {}, milliseconds{ 0 } };
    }
    auto const lastName =
      aPage.mChanges.empty() ? std::string() : aPage.mChanges.back().mName;
    if (mListedChanges.empty()) {
      mListPosition = aPage.mPosition;
    }
    std::move(aPage.mChanges.begin(),
              aPage.mChanges.end(),
              std::back_inserter(mListedChanges));
    if (aPage.mMore && !lastName.empty()) {
      mQuery.mAfter = lastName;
      return { true, {}, {}, milliseconds{ 0 } };
    }
    auto const position = mListPosition;
    StoreUpdate update{
      mQuery.mKind, std::move(mListedChanges), true, position, {}
    };
    mMinListPosition = {};
    Restart();
    mQuery.mWatchFrom = position;
    return { true, {}, std::move(update), milliseconds{ 0 } };
  }

  void Restart()
  {
    mQuery.mWatchFrom = {};
    mQuery.mAfter.clear();
    mListedChanges.clear();
    mListPosition = {};
  }

  WatchPollResult MakeFailure(std::string aReason)
  {
    mCounters.Add(Counter::StoreFailures);
    mMinListPosition = {};
    return { false, std::move(aReason), {}, {} };
  }

  HttpConnection mConnection;
  Counters& mCounters;
  Mechanisms mMechanisms;
  ObjectQuery mQuery;
  std::vector<ObjectChange> mListedChanges;
  StorePosition mListPosition;
  StorePosition mMinListPosition; ///< For the next list only.
  std::uint64_t mEra = 0;         ///< The highest that was heard of.
  /// The last answer that may lag came from an older era.
  bool mIsReplicaStale = false;
  milliseconds mWait = WatchTimes{}.mWait;
  std::atomic<bool> mCancelled{ false };
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STORE_WATCH_HPP_INCLUDED
