#include "tarragonsill/coordination/tarragonsill_store_freshness.hpp"

#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <algorithm>

namespace tarragonsill {

StoreFreshness::StoreFreshness(std::string const& aVm)
  : mVmHash(HashText(aVm))
{
}

void
StoreFreshness::RecordAnswer(ConfirmedPosition aConfirmed)
{
  auto const sentAt =
    static_cast<std::uint64_t>(aConfirmed.mAt.time_since_epoch().count());
  aConfirmed.mId = MixHash(mVmHash, sentAt);
  Record(aConfirmed);
}

void
StoreFreshness::RecordReport(ConfirmedPosition const& aConfirmed)
{
  bool const isKnown =
    std::any_of(mConfirmed.begin(), mConfirmed.end(), [&](auto const& aOther) {
      return aOther.mId == aConfirmed.mId;
    });
  if (!isKnown) {
    Record(aConfirmed);
  }
}

void
StoreFreshness::Record(ConfirmedPosition const& aConfirmed)
{
  if (!aConfirmed.mPosition.IsSet() ||
      (!mConfirmed.empty() &&
       aConfirmed.mPosition.mEra < mConfirmed.back().mPosition.mEra)) {
    return;
  }
  // A lower position that is confirmed for a later time says more.
  auto const saysMore = [](auto const& aLeft, auto const& aRight) {
    return aLeft.mAt >= aRight.mAt && aLeft.mPosition <= aRight.mPosition;
  };
  bool const isKnown =
    std::any_of(mConfirmed.begin(), mConfirmed.end(), [&](auto const& aOther) {
      return saysMore(aOther, aConfirmed);
    });
  if (isKnown) {
    return;
  }
  std::erase_if(mConfirmed, [&](auto const& aOther) {
    return saysMore(aConfirmed, aOther);
  });
  auto const next = std::upper_bound(mConfirmed.begin(),
                                     mConfirmed.end(),
                                     aConfirmed,
                                     [](auto const& aLeft, auto const& aRight) {
                                       return aLeft.mAt < aRight.mAt;
                                     });
  mConfirmed.insert(next, aConfirmed);
  if (mConfirmed.size() > kMaxPositions) {
    mConfirmed.pop_front();
  }
}

TimePoint
StoreFreshness::CurrentAsOf(StorePosition aCompleteTo) const
{
  auto const reached = std::find_if(
    mConfirmed.rbegin(), mConfirmed.rend(), [&](auto const& aConfirmed) {
      return aConfirmed.mPosition <= aCompleteTo;
    });
  return reached == mConfirmed.rend() ? TimePoint{} : reached->mAt;
}

std::optional<ConfirmedPosition>
StoreFreshness::Newest() const
{
  return mConfirmed.empty() ? std::nullopt : std::optional(mConfirmed.back());
}

} // namespace tarragonsill
