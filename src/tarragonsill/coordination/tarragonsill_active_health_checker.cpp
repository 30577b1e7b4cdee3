#include "tarragonsill/coordination/tarragonsill_active_health_checker.hpp"

#include <algorithm>

namespace tarragonsill {

std::string_view
ToText(ConnectResult aResult)
{
  switch (aResult) {
    case ConnectResult::Accepted:
      return "accepted";
    case ConnectResult::Refused:
      return "refused";
    case ConnectResult::NoAnswer:
      return "no_answer";
  }
  return "unknown";
}

void
ActiveHealthChecker::Review(TimePoint aNow,
                            RoutingView const& aView,
                            std::vector<UpstreamLoad> const& aLoads)
{
  mPauses.resize(std::max(mPauses.size(), aLoads.size()));
  for (std::uint32_t slot = 0; slot < aLoads.size(); ++slot) {
    auto const& load = aLoads[slot];
    auto const& upstream = aView.mUpstreams[slot];
    bool const isOfUse =
      upstream.mAvailability == UpstreamAvailability::Serving &&
      !upstream.mEvacuated;
    if (!isOfUse && load.mFlows == 0) {
      continue;
    }
    bool const isLost =
      upstream.mAvailability == UpstreamAvailability::Missing ||
      upstream.mAvailability == UpstreamAvailability::Gone;
    bool const isSilent = aNow >= load.mPassiveHealth.LastAnswer() + kSilentFor;
    bool const isDoubtful =
      load.mPassiveHealth.Health(aNow) != UpstreamHealth::Answering;
    bool const holdsFlows = load.mFlows > 0 && isSilent;
    if (isDoubtful || (holdsFlows && (isLost || IsSpreadTo(aNow, slot)))) {
      Doubt(slot);
    }
  }
}

bool
ActiveHealthChecker::IsSpreadTo(TimePoint aNow, std::uint32_t aSlot) const
{
  return aNow < mSpreadUntil && aNow >= mPauses[aSlot].mAccepted + kSpreadPause;
}

std::optional<std::uint32_t>
ActiveHealthChecker::Witness(TimePoint aNow,
                             std::vector<UpstreamLoad> const& aLoads) const
{
  std::optional<std::uint32_t> best;
  for (std::uint32_t slot = 0; slot < aLoads.size(); ++slot) {
    auto const& tracker = aLoads[slot].mPassiveHealth;
    if (mDoubted.count(slot) > 0 || tracker.LastAnswer() == TimePoint{} ||
        aNow >= tracker.LastAnswer() + kWitnessFresh ||
        tracker.Health(aNow) != UpstreamHealth::Answering) {
      continue;
    }
    if (!best ||
        tracker.LastAnswer() > aLoads[*best].mPassiveHealth.LastAnswer()) {
      best = slot;
    }
  }
  return best;
}

std::vector<std::uint32_t>
ActiveHealthChecker::Begin(TimePoint aNow,
                           std::vector<UpstreamLoad> const& aLoads)
{
  if (!mRound.empty() || mDoubted.empty()) {
    return {};
  }
  mPauses.resize(std::max(mPauses.size(), aLoads.size()));
  for (auto const slot : mDoubted) {
    if (slot >= aLoads.size() || aNow < mPauses[slot].mUntil ||
        mRound.size() == kMaxAtOnce) {
      continue;
    }
    mRound.push_back({ slot, false, std::nullopt });
    auto& pause = mPauses[slot];
    pause.mLast = std::clamp(2 * pause.mLast, kMinPause, kMaxPause);
    pause.mUntil = aNow + pause.mLast;
  }
  if (!mRound.empty()) {
    if (auto const witness = Witness(aNow, aLoads)) {
      mRound.push_back({ *witness, true, std::nullopt });
    }
  }
  mDoubted.clear();
  mRoundStarted = aNow;
  std::vector<std::uint32_t> slots;
  for (auto const& check : mRound) {
    slots.push_back(check.mSlot);
  }
  return slots;
}

std::vector<std::uint32_t>
ActiveHealthChecker::Take(TimePoint aNow,
                          std::uint32_t aSlot,
                          ConnectResult aResult,
                          std::vector<UpstreamLoad> const& aLoads)
{
  bool isComplete = !mRound.empty();
  for (auto& check : mRound) {
    if (check.mSlot == aSlot) {
      check.mResult = aResult;
    }
    isComplete = isComplete && check.mResult.has_value();
  }
  return isComplete ? Judge(aNow, aLoads) : std::vector<std::uint32_t>{};
}

std::vector<std::uint32_t>
ActiveHealthChecker::Judge(TimePoint aNow,
                           std::vector<UpstreamLoad> const& aLoads)
{
  bool const ownLinkWorks =
    std::any_of(mRound.begin(), mRound.end(), [](Check const& aCheck) {
      return aCheck.mResult == ConnectResult::Accepted;
    });
  std::vector<std::uint32_t> lost;
  bool isAnyNew = false;
  for (auto const& check : mRound) {
    if (check.mResult == ConnectResult::Accepted) {
      mPauses[check.mSlot] = { aNow + kAcceptedPause, milliseconds{ 0 }, aNow };
    }
    bool const isOut =
      check.mResult == ConnectResult::Refused ||
      (check.mResult == ConnectResult::NoAnswer && ownLinkWorks);
    auto const& tracker = aLoads[check.mSlot].mPassiveHealth;
    bool const answeredSince = tracker.LastAnswer() >= mRoundStarted;
    if (!isOut || answeredSince || check.mIsWitness) {
      continue;
    }
    lost.push_back(check.mSlot);
    isAnyNew = isAnyNew || tracker.Health(aNow) != UpstreamHealth::Unreachable;
  }
  mRound.clear();
  if (isAnyNew) {
    mSpreadUntil = aNow + kSpreadFor;
  }
  return lost;
}

void
ActiveHealthChecker::HandleLocalPause()
{
  // The round's answers are not looked at any more; a new one may begin.
  mRound.clear();
  mDoubted.clear();
}

} // namespace tarragonsill
