#include "tarragonsill/coordination/tarragonsill_history_search.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

std::uint64_t
HistorySearch::AllChanges() const
{
  return std::max<std::uint64_t>(mListed.mRevision, 1) - 1;
}

bool
HistorySearch::IsEndFound() const
{
  return mGone && *mGone == mFound + 1;
}

bool
HistorySearch::IsComplete() const
{
  return mFound >= AllChanges() || (IsEndFound() && !mMayBeStale);
}

std::optional<HistorySearch::Query>
HistorySearch::Next(TimePoint aNow)
{
  mStarted = mStarted == TimePoint{} ? aNow : mStarted;
  if (IsComplete() || aNow >= mStarted + kMaxTime) {
    return std::nullopt;
  }
  mMayBeStale = mMayBeStale && !IsEndFound();
  auto const further = kStepFactor * std::max<std::uint64_t>(mFound, 1);
  mAsked = IsEndFound() ? *mGone
           : mGone      ? mFound + (*mGone - mFound) / 2
                        : std::min(AllChanges(), further);
  return Query{ { mListed.mEra, mListed.mRevision - mAsked }, mMayBeStale };
}

void
HistorySearch::RecordChanges(ObjectPage aPage)
{
  if (aPage.mPosition < mListed) {
    RecordStale();
    return;
  }
  mFound = std::max(mFound, mAsked);
  if (mGone && *mGone <= mFound) {
    mGone.reset(); // A replica refused what the store has.
  }
  mChanges = std::move(aPage.mChanges);
}

void
HistorySearch::RecordStale()
{
  mMayBeStale = false;
  // Such a replica may also have refused a position that it has not reached.
  mGone.reset();
}

void
HistorySearch::RecordGone()
{
  mGone = mGone ? std::min(*mGone, mAsked) : mAsked;
}

} // namespace tarragonsill
