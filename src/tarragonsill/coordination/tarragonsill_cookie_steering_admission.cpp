#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

#include <utility>

namespace tarragonsill {

bool
CookieSteering::IsRejectedForPriority(TimePoint aNow,
                                      FlowPacket const& aPacket,
                                      ResolvedRoute const& aRoute,
                                      std::uint32_t aService)
{
  // The flow of a copy may be open at an upstream to which another VM sent it.
  if (!mMechanisms.Uses(Mechanism::PriorityAdmission) ||
      aPacket.mOpeningRetransmissions > 0) {
    return false;
  }
  // During a change of the configuration, callers of a new route would take the
  // reset for a missing route.
  auto const detector =
    mSaturationDetectors.find(SaturationKey(aService, aPacket.mDestination));
  bool const isInUse = detector != mSaturationDetectors.end() &&
                       detector->second.Baseline().count() > 0.0;
  if (!isInUse) {
    return false;
  }
  return !mAdmission.Admit(aNow,
                           *mView,
                           aService,
                           { { aRoute.mPriority, aRoute.mKind },
                             aPacket.mSource.mAddress,
                             aRoute.mLatencyTarget });
}

void
CookieSteering::RecordAnswerForAdmission(TimePoint aNow,
                                         ResolvedUpstream const& aUpstream,
                                         std::chrono::duration<double> aTime,
                                         std::chrono::duration<double> aUsual)
{
  if (mMechanisms.Uses(Mechanism::PriorityAdmission)) {
    mAdmission.RecordAnswer(aNow, *mView, aUpstream, aTime / aUsual, aUsual);
  }
}

void
CookieSteering::ReviewShortages(TimePoint aNow)
{
  if (mMechanisms.Uses(Mechanism::PriorityAdmission)) {
    mAdmission.Review(aNow, *mView, mLoads, mSharedLoads.get());
  }
}

} // namespace tarragonsill
