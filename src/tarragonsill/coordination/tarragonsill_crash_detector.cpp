#include "tarragonsill/coordination/tarragonsill_crash_detector.hpp"

namespace tarragonsill {

std::string_view
ToText(FlowLossProof aProof)
{
  switch (aProof) {
    case FlowLossProof::Crashed:
      return "crashed";
    case FlowLossProof::Removed:
      return "removed";
    case FlowLossProof::SilentHost:
      return "silent_host";
  }
  return "unknown";
}

void
CrashDetector::RecordProbe(TimePoint aSent,
                           ConnectResult aResult,
                           bool aIsKnownToServe)
{
  // A refusal is an answer of the host, so it cannot be a lost packet.
  bool const isRecent = mIsConfirmed || aResult == ConnectResult::Refused ||
                        aSent < mLastSent + kMaxConfirmationInterval;
  mIsConfirmed = aResult == mLastResult && isRecent;
  mLastResult = aResult;
  mLastSent = aSent;
  mWasKnownToServe = aIsKnownToServe;
}

std::optional<FlowLossProof>
CrashDetector::FindProof(FlowState const& aFlow) const
{
  // The upstream may have started again, which this VM does not know yet, and
  // opened the flow through another VM.
  if (aFlow.mTrackedSince > mLastSent) {
    return std::nullopt;
  }
  if (mLastResult == ConnectResult::NoAnswer) {
    return mIsConfirmed || aFlow.mIsRepeating
             ? std::optional(FlowLossProof::SilentHost)
             : std::nullopt;
  }
  if (mLastResult != ConnectResult::Refused) {
    return std::nullopt;
  }
  bool const isUnanswered =
    aFlow.mIsRepeating && aFlow.mAvailability == UpstreamAvailability::Serving;
  if (mWasKnownToServe || isUnanswered) {
    return FlowLossProof::Crashed;
  }
  // A registration may lapse while its upstream serves, and one that leaves
  // closes its port shortly before it has left.
  bool const isRemoved =
    aFlow.mAvailability == UpstreamAvailability::Gone && mIsConfirmed;
  return isRemoved ? std::optional(FlowLossProof::Removed) : std::nullopt;
}

} // namespace tarragonsill
