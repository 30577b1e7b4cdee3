#include "tarragonsill/transport/tarragonsill_steering_log.hpp"

namespace tarragonsill {

std::vector<LogField>
FieldsOf(SteeringLogEntry const& aEntry, RoutingView const& aView)
{
  std::vector<LogField> fields = {
    { "flow", ToText(aEntry.mCaller) },
    { "route", ToText(aEntry.mRoute) },
    { "version", static_cast<std::int64_t>(aView.mVersion) },
  };
  if (!aEntry.mHasUpstream) {
    return fields;
  }
  auto const& registration = aView.mUpstreams[aEntry.mSlot].mRegistration;
  fields.emplace_back("upstream", registration.mName);
  fields.emplace_back("zone", registration.mZone);
  fields.emplace_back("health", std::string(ToText(aEntry.mHealth)));
  fields.emplace_back("cost", aEntry.mCost);
  fields.emplace_back("candidates",
                      static_cast<std::int64_t>(aEntry.mCandidates));
  if (aEntry.mHedge) {
    auto const& first = aView.mUpstreams[aEntry.mHedge->mSlot].mRegistration;
    fields.emplace_back("first_upstream", first.mName);
    fields.emplace_back(
      "waited_ms", static_cast<std::int64_t>(aEntry.mHedge->mWaited.count()));
  }
  if (aEntry.mHolder) {
    auto const& holder = aView.mUpstreams[*aEntry.mHolder].mRegistration;
    fields.emplace_back("holder", holder.mName);
  }
  if (!aEntry.mProof) {
    fields.emplace_back("basis",
                        std::string(aEntry.mIsByDelay ? "shared" : "own"));
  } else {
    fields.emplace_back("proof", std::string(ToText(*aEntry.mProof)));
    fields.emplace_back("last_probe", std::string(ToText(aEntry.mLastProbe)));
    fields.emplace_back("retransmissions",
                        static_cast<std::int64_t>(aEntry.mRetransmissions));
    fields.emplace_back("answer_age_ms",
                        static_cast<std::int64_t>(aEntry.mAnswerAge.count()));
  }
  return fields;
}

void
WriteFailedProbe(NodeLog& aLog,
                 TimePoint aNow,
                 CookieSteering const& aSteering,
                 std::uint32_t aSlot,
                 ConnectResult aResult)
{
  auto const& upstream = aSteering.View().mUpstreams[aSlot];
  auto const& tracker = aSteering.Loads()[aSlot].mPassiveHealth;
  auto const answerAge =
    std::chrono::duration_cast<milliseconds>(aNow - tracker.LastAnswer());
  aLog.Write(
    "steer",
    "probe_failed",
    { { "upstream", upstream.mRegistration.mName },
      { "zone", upstream.mRegistration.mZone },
      { "result", std::string(ToText(aResult)) },
      { "registration", std::string(ToText(upstream.mAvailability)) },
      { "answer_age_ms", static_cast<std::int64_t>(answerAge.count()) },
      { "retransmissions",
        static_cast<std::int64_t>(tracker.Retransmissions()) } });
}

} // namespace tarragonsill
