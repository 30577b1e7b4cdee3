#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Failure pattern *evacuated zone*: the upstreams of the zone get no new
/// flows, so for seconds no packet through this VM updates their health.
TEST_GROUP_BASE(CookieExpiredEvidence, CookieFixture){};

TEST(CookieExpiredEvidence, an_expired_failed_probe_does_not_reset_flows)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  auto [otherFlow, alsoOpened] = CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  SendUnansweredRequest(otherFlow, alsoOpened.mCookie);
  mSteering.SetCurrentAsOf(mNow);
  RunProbes(opened.mSlot, ConnectResult::Refused);
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

TEST(CookieExpiredEvidence, a_new_proof_resets_the_flows)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  // An idle flow of the same upstream.
  (void)CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  mSteering.SetCurrentAsOf(mNow);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  // The proof has expired, and what the VM knows is too old for another one.
  mNow += seconds{ 9 };
  SampleFlow laterFlow(CallerAt(51000));
  SendUnansweredRequest(laterFlow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
  mNow += ActiveHealthChecker::kMaxBackoff;
  mSteering.SetCurrentAsOf(mNow);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  auto const verdict = mSteering.Steer(mNow, laterFlow.Data(opened.mCookie));
  CHECK(verdict.mAction == SteeringAction::Reset);
  // Besides, the first flow and the idle one.
  LONGS_EQUAL(2, CountResets());
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
