#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Failure pattern *evacuated zone*: the upstreams of the zone get no new
/// flows, so for seconds no packet through this VM updates their health.
TEST_GROUP_BASE(CookieExpiredEvidence, CookieFixture){
  /// Runs the probes that are due; one upstream refuses its connection.
  void RunProbesWithRefusal(std::uint32_t aSlot){ mSteering.Sweep(mNow);
for (auto const slot : mSteering.StartProbeRound(mNow)) {
  (void)mSteering.RecordProbeResult(mNow,
                                    slot,
                                    slot == aSlot ? ConnectResult::Refused
                                                  : ConnectResult::Accepted);
}
}

UpstreamHealth
HealthOf(std::uint32_t aSlot) const
{
  return mSteering.Loads()[aSlot].mPassiveHealth.Health(mNow);
}
}
;

TEST(CookieExpiredEvidence, an_expired_failed_probe_does_not_reset_flows)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  mNow += milliseconds{ 250 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  RunProbesWithRefusal(opened.mSlot);
  CHECK(HealthOf(opened.mSlot) == UpstreamHealth::Unreachable);
  mStore.Evacuate(mNow, "a", true);
  RefreshView();
  // Found on the large site: the upstream had answered again meanwhile, but
  // another of its flows was reset at its first packet through this VM, 9 s
  // later.
  mNow += seconds{ 9 };
  SampleFlow laterFlow(CallerAt(51000));
  CHECK(mSteering.Steer(mNow, laterFlow.Data(opened.mCookie)).mAction ==
        SteeringAction::Forward);
  mSteering.Sweep(mNow);
  LONGS_EQUAL(0, mSteering.TakeResets().size());
}

TEST(CookieExpiredEvidence, another_failed_probe_resets_the_flows)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  mNow += milliseconds{ 250 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  RunProbesWithRefusal(opened.mSlot);
  mNow += seconds{ 9 };
  SampleFlow laterFlow(CallerAt(51000));
  (void)mSteering.Steer(mNow, laterFlow.Data(opened.mCookie));
  RunProbesWithRefusal(opened.mSlot);
  mSteering.Sweep(mNow);
  // Both flows that this VM tracks at the upstream.
  LONGS_EQUAL(2, mSteering.TakeResets().size());
}

TEST(CookieExpiredEvidence,
     expired_retransmissions_do_not_make_an_upstream_silent)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [first, opened] = CompleteRequestAt("a2");
  auto [second, alsoOpened] = CompleteRequestAt("a2");
  for (bool const isRetransmission : { false, true }) {
    (void)mSteering.Steer(mNow, first.Data(opened.mCookie, isRetransmission));
    (void)mSteering.Steer(mNow, second.Data(opened.mCookie, isRetransmission));
    mNow += milliseconds{ 250 };
  }
  // Later packets of these flows, which show the answers, pass through other
  // VMs.
  mNow += seconds{ 9 };
  (void)mSteering.Steer(mNow, other.Data(elsewhere.mCookie));
  (void)mSteering.Steer(mNow, other.Acknowledge(elsewhere.mCookie));
  SampleFlow laterFlow(CallerAt(51000));
  CHECK(mSteering.Steer(mNow, laterFlow.Data(opened.mCookie)).mAction ==
        SteeringAction::Forward);
  mSteering.Sweep(mNow);
  LONGS_EQUAL(0, mSteering.TakeResets().size());
  // New flows go to other upstreams until this one answers.
  CHECK(HealthOf(opened.mSlot) == UpstreamHealth::Doubtful);
}
