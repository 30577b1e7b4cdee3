#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <algorithm>

namespace tarragonsill {

bool
Directory::RecordRestart(TimePoint aNow, UpstreamRestart const& aRestart)
{
  auto const slot = mSlots.find(aRestart.mUpstream);
  if (slot == mSlots.end()) {
    return false;
  }
  auto& upstream = mUpstreams[slot->second];
  auto const coldUntil = aNow + aRestart.mRemainingColdTime;
  if (upstream.mRegistration.mStartMark != aRestart.mStartMark ||
      coldUntil < upstream.mRestartColdUntil + kMinRestartExtension) {
    return false;
  }
  upstream.mRestartColdUntil = coldUntil;
  mIsDirty = true;
  return true;
}

std::string
Directory::ZoneOf(std::string const& aUpstream) const
{
  auto const slot = mSlots.find(aUpstream);
  return slot == mSlots.end() ? std::string()
                              : mUpstreams[slot->second].mRegistration.mZone;
}

} // namespace tarragonsill
