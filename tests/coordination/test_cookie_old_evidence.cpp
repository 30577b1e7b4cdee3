#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// The pattern *evacuated zone*: its upstreams get no new flows, so for seconds
/// nothing that passes this VM renews what it once found out about them.
TEST_GROUP_BASE(CookieOldEvidence, CookieFixture){
  /// Runs the checks that are due; one upstream refuses its connection.
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

TEST(CookieOldEvidence, a_flow_that_comes_back_outlives_an_old_failed_check)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  mNow += milliseconds{ 250 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  RunProbesWithRefusal(opened.mSlot);
  CHECK(HealthOf(opened.mSlot) == UpstreamHealth::Unreachable);
  mStore.Evacuate(mNow, "a", true);
  RefreshView();
  // Found on the large site: another flow of that upstream, which had answered
  // again meanwhile, was reset with its first packet here, 9 s later.
  mNow += seconds{ 9 };
  SampleFlow laterFlow(CallerAt(51000));
  CHECK(mSteering.Steer(mNow, laterFlow.Data(opened.mCookie)).mAction ==
        SteeringAction::Forward);
  mSteering.Sweep(mNow);
  LONGS_EQUAL(0, mSteering.TakeResets().size());
}

TEST(CookieOldEvidence, a_check_that_fails_once_more_gives_the_flow_up)
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
  // Both flows that are known there.
  LONGS_EQUAL(2, mSteering.TakeResets().size());
}

TEST(CookieOldEvidence, repetitions_of_long_ago_are_no_sign_of_silence)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [first, opened] = CompleteRequestAt("a2");
  auto [second, alsoOpened] = CompleteRequestAt("a2");
  for (bool const isRetransmission : { false, true }) {
    (void)mSteering.Steer(mNow, first.Data(opened.mCookie, isRetransmission));
    (void)mSteering.Steer(mNow, second.Data(opened.mCookie, isRetransmission));
    mNow += milliseconds{ 250 };
  }
  // Their later packets and the signs of answers pass other VMs.
  mNow += seconds{ 9 };
  (void)mSteering.Steer(mNow, other.Data(elsewhere.mCookie));
  (void)mSteering.Steer(mNow, other.Acknowledge(elsewhere.mCookie));
  SampleFlow laterFlow(CallerAt(51000));
  CHECK(mSteering.Steer(mNow, laterFlow.Data(opened.mCookie)).mAction ==
        SteeringAction::Forward);
  mSteering.Sweep(mNow);
  LONGS_EQUAL(0, mSteering.TakeResets().size());
  // New flows still go elsewhere until something is heard of it.
  CHECK(HealthOf(opened.mSlot) == UpstreamHealth::Doubtful);
}
