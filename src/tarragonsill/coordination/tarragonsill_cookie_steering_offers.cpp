#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include <utility>

namespace tarragonsill {

namespace {

/// The reset of an upstream that does not hold a flow reaches the caller, and
/// the caller's last packets this VM, within this time.
constexpr milliseconds kResetTime{ 150 };

/// An upstream that leaves, or whose zone is evacuated, must get no opening
/// packet for long. Within this time it has the packet that it was offered.
constexpr milliseconds kMaxOfferAgeIfLeaving{ 500 };

} // namespace

bool
CookieSteering::IsShownToHold(Detail::TrackedFlow const& aFlow) const
{
  auto const lastAnswer = mLoads[aFlow.mSlot].mPassiveHealth.LastAnswer();
  return lastAnswer >= aFlow.mOpenSince + kResetTime;
}

bool
CookieSteering::MayGetCopy(TimePoint aNow,
                           Endpoint aRoute,
                           OfferedOpenings::LateAnswerer const& aUpstream) const
{
  if (aUpstream.mHasAnswered) {
    return true; // It has the opening packet, so a copy opens nothing.
  }
  auto const& upstream = mView->mUpstreams[aUpstream.mSlot];
  auto const route = mView->mRoutes.find(aRoute);
  bool const isRouted = route != mView->mRoutes.end() &&
                        !route->second.mRemoved &&
                        route->second.SendsTo(upstream.mService);
  bool const isRecent = aNow < aUpstream.mOfferedAt + kMaxOfferAgeIfLeaving;
  return isRouted && (isRecent || UpstreamSelector::CanTakeNewFlows(upstream));
}

void
CookieSteering::CorrectLateAnswers(TimePoint aNow,
                                   FlowPacket const& aPacket,
                                   OfferedOpenings::Holder const& aHolder)
{
  if (!mMechanisms.Uses(Mechanism::LateAnswers)) {
    return;
  }
  auto const key = Detail::KeyOf(aPacket);
  auto const holderCookie = mView->mUpstreams[aHolder.mSlot].mCookie;
  if (auto opening =
        mOfferedOpenings.RecordHolder(key, aPacket, aHolder.mSlot)) {
    mHeldOpenings.push_back({ std::move(*opening), holderCookie });
  }
  for (auto const& other :
       mOfferedOpenings.FindDue(aNow, key, aPacket, aHolder)) {
    if (!MayGetCopy(aNow, aPacket.mDestination, other)) {
      continue;
    }
    SteeringVerdict const verdict{ SteeringAction::Forward,
                                   SteeringCause::LateAnswer,
                                   other.mSlot,
                                   holderCookie };
    mOpeningCopies.push_back(
      { verdict, mOfferedOpenings.TakeCopy(aNow, key, other.mSlot) });
    if (mLogEntries.size() >= kMaxLogEntries) {
      continue;
    }
    AddLogEntry(SteeringCause::LateAnswer,
                aPacket.mSource,
                aPacket.mDestination,
                { other.mSlot, 0.0, 0 },
                mLoads[other.mSlot].mPassiveHealth.Health(aNow));
    mLogEntries.back().mHolder = aHolder.mSlot;
  }
}

HeldOpenings
CookieSteering::TakeHeldOpenings()
{
  return std::exchange(mHeldOpenings, {});
}

void
CookieSteering::RecordHeldOpening(TimePoint aNow,
                                  FlowPacket const& aOpening,
                                  std::span<std::byte const> aBytes,
                                  std::uint32_t aCookie)
{
  auto const holder = mView->mSlotByCookie.find(aCookie);
  if (holder == mView->mSlotByCookie.end() ||
      !mMechanisms.Uses(Mechanism::LateAnswers)) {
    return;
  }
  auto const key = Detail::KeyOf(aOpening);
  auto const* const known = mFlows.Find(key);
  bool const isOfferedElsewhere = known != nullptr && known->mIsOpening &&
                                  known->mFirstSequence == aOpening.mSequence &&
                                  known->mSlot != holder->second;
  if (isOfferedElsewhere) {
    mOfferedOpenings.RecordOffer(
      known->mTrackedSince, key, aOpening, known->mSlot);
    EraseFlow(key);
  }
  mOfferedOpenings.RecordReport(aNow, key, aOpening, aBytes, holder->second);
  auto next = aOpening;
  ++next.mSequence;
  CorrectLateAnswers(aNow, next, { holder->second, std::nullopt });
}

std::vector<KeptOpening>
CookieSteering::TakeOpeningCopies()
{
  return std::exchange(mOpeningCopies, {});
}

} // namespace tarragonsill
