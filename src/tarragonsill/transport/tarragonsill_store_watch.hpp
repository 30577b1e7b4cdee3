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
struct WatchStep
{
  bool mAnswered = false;
  std::string mFailure; ///< Why there was no answer that can be used.
  /// Changes, or a whole list; nothing while a list is incomplete.
  std::optional<StoreUpdate> mUpdate;
  /// The pause before the next call, if this one was answered.
  milliseconds mPause{ 0 };
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
    NoteEra(aPosition.mEra);
    if (aPosition > mQuery.mWatchFrom && aPosition.mEra == mEra) {
      Restart();
      mQuery.mWatchFrom = aPosition;
    }
  }

  /// A position that the store had a moment ago. The next list may come from a
  /// replica that has reached it, which costs less than one that may not lag.
  void SetFloor(StorePosition aPosition)
  {
    NoteEra(aPosition.mEra);
    bool const isOfUse =
      aPosition.mEra == mEra && mMechanisms.Uses(Mechanism::ReplicaLists);
    if (isOfUse) {
      mFloor = std::max(mFloor, aPosition);
    }
  }

  /// The store has come back from an older copy: nothing that was held of it
  /// can be gone on from.
  void NoteEra(std::uint64_t aEra)
  {
    if (aEra > mEra) {
      mEra = aEra;
      mFloor = {};
      Restart();
    }
  }

  /// Makes one call and waits for its answer.
  WatchStep Step()
  {
    auto step = Call();
    step.mEra = mEra;
    return step;
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

  WatchStep Call()
  {
    if (mCancelled) {
      return { false, "cancelled", {}, {} };
    }
    mCounters.Add(Counter::StoreCalls);
    bool const isWatch = mQuery.mWatchFrom.IsSet();
    // What is resumed was not listed, and a list of later needs a new floor.
    mFloor = isWatch ? StorePosition{} : mFloor;
    mQuery.mWait = isWatch ? mWait : milliseconds{ 0 };
    // A list has to show what the store has by now; a watch that lags is
    // noticed by its peers.
    mQuery.mMayBeStale =
      !std::exchange(mReplicaIsOld, false) && (isWatch || mFloor.IsSet());
    auto const answer =
      mConnection.Get(Format::Path(mQuery),
                      isWatch ? mQuery.mWait + kAnswerTimeout : kListTimeout);
    if (!answer) {
      return Failed(answer.LastReason().mText);
    }
    auto const era = EraOf(*answer);
    if (era < mEra) {
      mReplicaIsOld = mQuery.mMayBeStale;
      return Failed("an answer from before the store came back older");
    }
    bool const isFirstPage = !isWatch && mQuery.mAfter.empty();
    bool const hasRisen = era > mEra;
    NoteEra(era);
    bool const isGone = answer->mStatus == kStatusGone;
    if (!isGone && answer->mStatus != HttpConnection::kStatusOk) {
      return Failed("status " + std::to_string(answer->mStatus));
    }
    if (isGone || (hasRisen && !isFirstPage)) {
      Restart();
      return { true, {}, {}, milliseconds{ 0 } };
    }
    auto page = Format::Decode(mQuery, era, answer->mBody);
    if (!page) {
      return Failed(page.LastReason().mText);
    }
    return isWatch ? TakeEvents(page.Take()) : TakeListPage(page.Take());
  }

  /// The era that an answer names; the one known if it names none.
  std::uint64_t EraOf(HttpAnswer const& aAnswer) const
  {
    auto const header = aAnswer.mHeaders.find(Format::kEraHeader);
    return header == aAnswer.mHeaders.end()
             ? mEra
             : Format::ReadEra(header->second).value_or(mEra);
  }

  WatchStep TakeEvents(ObjectPage aPage)
  {
    auto const after = mQuery.mWatchFrom;
    mQuery.mWatchFrom = std::max(after, aPage.mPosition);
    mCounters.Add(Counter::StoreEvents, aPage.mChanges.size());
    StoreUpdate update{
      mQuery.mKind, std::move(aPage.mChanges), false, aPage.mPosition, after
    };
    bool const gathers =
      !update.mChanges.empty() && mMechanisms.Uses(Mechanism::GatheredChanges);
    auto const pause = gathers ? kGather : milliseconds{ 0 };
    return { true, {}, std::move(update), pause };
  }

  WatchStep TakeListPage(ObjectPage aPage)
  {
    // A page that is older than the first one would hide changes from the
    // watch.
    if (aPage.mPosition < std::max(mFloor, mListPosition)) {
      mFloor = {};
      Restart();
      return { true, {}, {}, milliseconds{ 0 } };
    }
    auto const last =
      aPage.mChanges.empty() ? std::string() : aPage.mChanges.back().mName;
    if (mListed.empty()) {
      mListPosition = aPage.mPosition;
    }
    std::move(aPage.mChanges.begin(),
              aPage.mChanges.end(),
              std::back_inserter(mListed));
    if (aPage.mMore && !last.empty()) {
      mQuery.mAfter = last;
      return { true, {}, {}, milliseconds{ 0 } };
    }
    auto const position = mListPosition;
    StoreUpdate update{ mQuery.mKind, std::move(mListed), true, position, {} };
    mFloor = {};
    Restart();
    mQuery.mWatchFrom = position;
    return { true, {}, std::move(update), milliseconds{ 0 } };
  }

  void Restart()
  {
    mQuery.mWatchFrom = {};
    mQuery.mAfter.clear();
    mListed.clear();
    mListPosition = {};
  }

  WatchStep Failed(std::string aWhy)
  {
    mCounters.Add(Counter::StoreFailures);
    mFloor = {};
    return { false, std::move(aWhy), {}, {} };
  }

  HttpConnection mConnection;
  Counters& mCounters;
  Mechanisms mMechanisms;
  ObjectQuery mQuery;
  std::vector<ObjectChange> mListed;
  StorePosition mListPosition;
  StorePosition mFloor;   ///< For the next list only.
  std::uint64_t mEra = 0; ///< The highest that was heard of.
  /// The last answer that may lag came from an older era.
  bool mReplicaIsOld = false;
  milliseconds mWait = WatchTimes{}.mWait;
  std::atomic<bool> mCancelled{ false };
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STORE_WATCH_HPP_INCLUDED
