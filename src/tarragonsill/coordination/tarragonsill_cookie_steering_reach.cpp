#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"

namespace tarragonsill {

void
CookieSteering::ReviewOutboundReach(TimePoint aNow)
{
  if (!mMechanisms.Uses(Mechanism::OutboundReach) ||
      !mMechanisms.Uses(Mechanism::SilentZones)) {
    return;
  }
  std::vector<bool> isUsable(mZoneSilence.size(), false);
  std::vector<std::uint32_t> slots;
  for (std::uint32_t slot = 0; slot < mView->mUpstreams.size(); ++slot) {
    auto const& upstream = mView->mUpstreams[slot];
    if (upstream.mZone == mView->mOwnZone ||
        !UpstreamSelector::CanTakeNewFlows(upstream)) {
      continue;
    }
    isUsable[upstream.mZone] = true;
    slots.push_back(slot);
  }
  std::vector<ZoneReach> zones;
  for (std::size_t zone = 0; zone < isUsable.size(); ++zone) {
    if (isUsable[zone]) {
      zones.push_back(mZoneSilence[zone].Reach(aNow));
    }
  }
  mOutboundReach.Update(zones);
  if (slots.empty()) {
    return;
  }
  if (auto const turn = mOutboundReach.TakeProbeTurn(aNow)) {
    mChecker.RequestProbe(slots[*turn % slots.size()]);
  }
}

void
CookieSteering::RecordProbeReach(TimePoint aNow,
                                 std::uint32_t aSlot,
                                 ConnectResult aResult)
{
  bool const isOtherZone = mView->mUpstreams[aSlot].mZone != mView->mOwnZone;
  if (mOutboundReach.Reach() == ZoneReach::Silent && isOtherZone &&
      IsRunning(aResult)) {
    ZoneSilenceOf(aSlot).RecordAnswer(aNow);
  }
}

} // namespace tarragonsill
