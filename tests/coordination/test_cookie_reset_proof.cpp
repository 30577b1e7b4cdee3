#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Failure pattern *no new connections*: an upstream serves its flows but takes
/// no new connections.
TEST_GROUP_BASE(CookieResetProof, CookieFixture){};

/// Guards against resets of open flows whose draining upstream has closed its
/// listening port but still serves them.
TEST(CookieResetProof, a_draining_upstream_that_refuses_a_probe_keeps_its_flows)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto [gone, alsoOpened] = CompleteRequestAt("a2");
  Drain("a1");
  Drain("a2");
  mNow += milliseconds{ 400 };
  mSteering.SetCurrentAsOf(mNow);
  Remove("a2");
  // The refusal by one upstream that has left leads to probes of others.
  RunProbes(alsoOpened.mSlot, ConnectResult::Refused);
  mSteering.Sweep(mNow);
  (void)mSteering.TakeResets();
  mNow += milliseconds{ 3 };
  RunProbes(opened.mSlot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
  CHECK(IsForwarded(flow, opened.mCookie));
}

/// Guards against callers that wait for a second retransmission at an upstream
/// that has crashed.
TEST(CookieResetProof, a_refusal_by_an_upstream_known_to_be_serving_is_proof)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  auto const drainTime = mSteering.View().mDrainTime;
  mSteering.SetCurrentAsOf(mNow - drainTime + milliseconds{ 1 });
  RunProbes(opened.mSlot, ConnectResult::Refused);
  CHECK(CountResets() >= 1);
  LONGS_EQUAL(0, mSteering.Loads()[opened.mSlot].mFlows);
}

/// Guards against resets by a VM that cannot know that an upstream drains,
/// since it has been cut off from the store.
TEST(CookieResetProof, a_refusal_is_no_proof_if_the_upstream_may_have_drained)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  mSteering.SetCurrentAsOf(mNow - mSteering.View().mDrainTime);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
}

/// Guards against resets of the flows of an upstream at its connection limit,
/// which turns new connections away.
TEST(CookieResetProof, an_upstream_that_resets_new_connections_keeps_its_flows)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  mSteering.SetCurrentAsOf(mNow);
  SendUnansweredRequest(flow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::Reset);
  mNow += milliseconds{ 400 };
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  CHECK(verdict.mAction == SteeringAction::Forward);
  LONGS_EQUAL(0, CountResets());
  // New flows go elsewhere.
  for (std::uint16_t port = 60000; port < 60020; ++port) {
    SampleFlow fresh(CallerAt(port));
    CHECK(mSteering.Steer(mNow, fresh.Opening()).mSlot != opened.mSlot);
  }
}

/// Guards against flows that stay open at an upstream that has left.
TEST(CookieResetProof,
     flows_of_a_removed_upstream_that_refuses_a_probe_are_reset)
{
  (void)CompleteRequestAt("a1");
  Drain("a1");
  auto const slot = SlotOf(mSteering.View(), "a1");
  auto const flows = mSteering.Loads()[slot].mFlows;
  mNow += milliseconds{ 400 };
  Remove("a1");
  RunProbes(slot, ConnectResult::Refused);
  mNow += ActiveHealthChecker::kMinBackoff;
  RunProbes(slot, ConnectResult::Refused);
  LONGS_EQUAL(flows, CountResets());
}

/// Guards against resets of the flows of an upstream whose queue of new
/// connections is full when one packet of one flow is lost.
TEST(CookieResetProof, one_lost_packet_and_an_unanswered_probe_reset_no_flow)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto [idle, alsoOpened] = CompleteRequestAt("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  mSteering.SetCurrentAsOf(mNow);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  LONGS_EQUAL(0, CountResets());
  CHECK(IsForwarded(idle, alsoOpened.mCookie));
}

/// Guards against the same by one lost packet every few seconds, whose answers
/// pass through another VM.
TEST(CookieResetProof, packets_lost_seconds_apart_reset_no_flow)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  for (int count = 0; count < 4; ++count) {
    SendUnansweredRequest(flow, opened.mCookie);
    RunProbes(opened.mSlot, ConnectResult::NoAnswer);
    LONGS_EQUAL(0, CountResets());
    mNow += seconds{ 3 };
  }
}

/// Guards against callers that wait out their deadline at an upstream whose
/// crash no probe proves by itself.
TEST(CookieResetProof,
     a_flow_that_retransmits_again_after_a_failed_probe_is_reset)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto [idle, alsoOpened] = CompleteRequestAt("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  mNow += milliseconds{ 400 };
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  CHECK(verdict.mAction == SteeringAction::Reset);
  // The cause may be on the side of this caller.
  LONGS_EQUAL(0, CountResets());
  CHECK(IsForwarded(idle, alsoOpened.mCookie));
}

/// Guards against counting the packets that one timeout of a flow repeats as
/// evidence of their own.
TEST(CookieResetProof, packets_that_are_repeated_together_count_once)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  (void)CompleteRequestAt("a2");
  auto const first = flow.Data(opened.mCookie);
  auto const second = flow.Data(opened.mCookie);
  (void)mSteering.Steer(mNow, first);
  (void)mSteering.Steer(mNow, second);
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, first);
  (void)mSteering.Steer(mNow, second);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  LONGS_EQUAL(0, CountResets());
}

/// Guards against knowledge from before a local pause that seems recent,
/// because the steady clock stood still.
TEST(CookieResetProof, a_refusal_after_a_local_pause_is_no_proof_by_itself)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  mSteering.SetCurrentAsOf(mNow);
  mSteering.HandleLocalPause(mNow);
  SendUnansweredRequest(flow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
}

/// Guards against resets of flows that an upstream opened after it was started
/// again, by a VM that has not heard of the start.
TEST(CookieResetProof, a_refusal_is_no_proof_against_flows_seen_after_it)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  mSteering.SetCurrentAsOf(mNow);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  mNow += milliseconds{ 100 };
  SampleFlow openedElsewhere(CallerAt(mNextPort++));
  CHECK(IsForwarded(openedElsewhere, opened.mCookie));
  CHECK(CountResets() >= 1);
  CHECK(IsForwarded(openedElsewhere, opened.mCookie));
}

/// Guards against resets of flows that an upstream opened after it was started
/// again, when a later probe of it is not answered in time.
TEST(CookieResetProof,
     a_stalled_probe_does_not_extend_a_crash_proof_to_later_flows)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  mSteering.SetCurrentAsOf(mNow);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  CHECK(CountResets() >= 1);
  // Started again under the same id, slow at first; opened through another VM.
  mNow += milliseconds{ 400 };
  SampleFlow openedElsewhere(CallerAt(mNextPort++));
  CHECK(IsForwarded(openedElsewhere, opened.mCookie));
  mNow += milliseconds{ 100 };
  RunProbes(opened.mSlot, ConnectResult::Stalled);
  LONGS_EQUAL(0, CountResets());
  CHECK(IsForwarded(openedElsewhere, opened.mCookie));
}

/// Guards against callers that wait for their deadline at an upstream that
/// ended while it drained and whose registration lapses some seconds later.
TEST(CookieResetProof,
     an_upstream_that_refuses_for_long_is_removed_when_it_lapses)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  Drain("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  std::size_t resets = 0;
  for (int tick = 0; tick < 300; ++tick) {
    if (tick == 50) {
      Remove("a1");
    }
    RunProbes(opened.mSlot, ConnectResult::Refused);
    resets += CountResets();
    mNow += milliseconds{ 100 };
    if (tick % 16 == 0) {
      auto const v = mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
      resets += v.mAction == SteeringAction::Reset;
    }
  }
  CHECK(resets >= 1);
}

/// Guards against resets by an upstream that drains, has closed its port, and
/// still serves its open flows.
TEST(CookieResetProof, a_draining_upstream_that_refuses_twice_keeps_its_flows)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  Drain("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  mSteering.SetCurrentAsOf(mNow);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
  mNow += ActiveHealthChecker::kMinBackoff;
  RunProbes(opened.mSlot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
}

/// Guards against resets by probes of the process that was replaced.
TEST(CookieResetProof, a_probe_of_the_earlier_process_confirms_nothing)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  mSteering.Sweep(mNow);
  auto const slots = mSteering.StartProbeRound(mNow);
  auto registration = SampleUpstream("a2", "a");
  registration.mStartMark += 1;
  mStore.Register(mNow, registration);
  RefreshView();
  mSteering.SetCurrentAsOf(mNow);
  for (auto const slot : slots) {
    (void)mSteering.RecordProbeResult(
      mNow,
      slot,
      slot == opened.mSlot ? ConnectResult::Refused : ConnectResult::Accepted);
  }
  LONGS_EQUAL(0, CountResets());
  SendUnansweredRequest(flow, opened.mCookie);
  LONGS_EQUAL(0, CountResets());
}

/// Guards against callers that wait for their deadline at an upstream that
/// crashed while this VM did not know whether it was leaving.
TEST(CookieResetProof, a_refusal_after_a_local_pause_resets_flows_that_repeat)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto [idle, alsoOpened] = CompleteRequestAt("a1");
  mSteering.HandleLocalPause(mNow);
  SendUnansweredRequest(flow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
  mNow += milliseconds{ 400 };
  auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  CHECK(verdict.mAction == SteeringAction::Reset);
  CHECK(IsForwarded(idle, opened.mCookie));
}
