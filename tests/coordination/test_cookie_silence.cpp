#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

TEST_GROUP_BASE(CookieSilence, CookieFixture){};

TEST(CookieSilence, a_retransmitted_opening_packet_goes_to_a_second_choice)
{
  SampleFlow flow;
  auto const first = mSteering.Steer(mNow, flow.Opening());
  mNow += milliseconds{ 200 };
  auto const retransmission = mSteering.Steer(mNow, flow.Opening(1));
  CHECK(retransmission.mCause == SteeringCause::SecondChoice);
  CHECK(first.mSlot != retransmission.mSlot);
  // A late answer of the first upstream must not move the flow back to it.
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(retransmission.mCookie));
  mNow += milliseconds{ 8 };
  LONGS_EQUAL(retransmission.mSlot,
              mSteering.Steer(mNow, flow.Acknowledge(first.mCookie)).mSlot);
}

/// Failure pattern *flows that return*: routers move flows to other VMs and
/// back, and the upstream has failed meanwhile.
TEST(CookieSilence, an_answer_that_another_vm_saw_long_ago_is_no_sign_of_health)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto const lastAnswer =
    mSteering.Loads()[opened.mSlot].mPassiveHealth.LastAnswer();
  // The next request and its answer pass through another VM.
  (void)flow.Data(opened.mCookie);
  (void)flow.Acknowledge(opened.mCookie);
  mNow += seconds{ 3 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  auto const& load = mSteering.Loads()[opened.mSlot];
  CHECK(load.mPassiveHealth.LastAnswer() == lastAnswer);
  // An answer that this VM's own packets frame counts as before.
  mNow += milliseconds{ 30 };
  (void)mSteering.Steer(mNow, flow.Acknowledge(opened.mCookie));
  CHECK(load.mPassiveHealth.LastAnswer() == mNow);
}

TEST(CookieSilence, new_flows_avoid_a_crashed_upstream)
{
  std::vector<SampleFlow> flows;
  std::vector<SteeringVerdict> opened;
  for (std::uint16_t port = 42000; port < 42012; ++port) {
    flows.emplace_back(CallerAt(port));
    opened.push_back(CompleteRequest(flows.back()));
  }
  // The next flow opened at a1 gets no answer.
  std::uint16_t port = 43000;
  auto next = [&] {
    return mSteering.Steer(mNow, SampleFlow(CallerAt(port++)).Opening());
  };
  while (UpstreamOf(next()) != "a1") {
  }
  mNow += PassiveHealthTracker::kHandshakeTimeout;
  for (int count = 0; count < 30; ++count) {
    CHECK(UpstreamOf(next()) != "a1");
  }
}

/// Failure pattern *callers that hear nothing*: two callers lost their way back
/// and repeat themselves, while their upstream serves everyone else.
TEST(CookieSilence, a_silent_upstream_keeps_the_flows_that_it_leaves_unanswered)
{
  std::vector<std::pair<SampleFlow, SteeringVerdict>> flows;
  for (std::uint16_t port = 42000; port < 42012; ++port) {
    SampleFlow flow(CallerAt(port));
    auto const verdict = CompleteRequest(flow);
    flows.push_back({ flow, verdict });
  }
  std::vector<std::size_t> sameUpstream;
  std::size_t otherUpstream = 0;
  for (std::size_t index = 0; index < flows.size(); ++index) {
    if (flows[index].second.mSlot == flows[0].second.mSlot) {
      sameUpstream.push_back(index);
    } else {
      otherUpstream = index;
    }
  }
  CHECK(sameUpstream.size() >= 3);
  auto const send = [&](std::size_t aIndex, bool aIsRetransmission) {
    auto& [flow, verdict] = flows[aIndex];
    return mSteering.Steer(mNow, flow.Data(verdict.mCookie, aIsRetransmission));
  };
  // Two requests get no answer; their callers retransmit them.
  (void)send(sameUpstream[0], false);
  (void)send(sameUpstream[1], false);
  mNow += milliseconds{ 200 };
  (void)send(sameUpstream[0], true);
  (void)send(sameUpstream[1], true);
  mNow += milliseconds{ 200 };
  // Another upstream answers, so this VM itself is not cut off.
  auto& [other, verdict] = flows[otherUpstream];
  (void)mSteering.Steer(mNow, other.Data(verdict.mCookie));
  (void)mSteering.Steer(mNow, other.Acknowledge(verdict.mCookie));
  CHECK(HealthOf(flows[0].second.mSlot) == UpstreamHealth::Silent);
  LONGS_EQUAL(0, CountResets());
  CHECK(send(sameUpstream[0], true).mAction == SteeringAction::Forward);
  // Nor is an idle flow lost, whose next request gets no answer either.
  CHECK(send(sameUpstream[2], false).mAction == SteeringAction::Forward);
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, other.Data(verdict.mCookie));
  (void)mSteering.Steer(mNow, other.Acknowledge(verdict.mCookie));
  CHECK(send(sameUpstream[2], true).mAction == SteeringAction::Forward);
  LONGS_EQUAL(0, CountResets());
}

TEST(CookieSilence,
     all_flows_of_a_crashed_upstream_are_reset_including_idle_ones)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto [otherFlow, alsoOpened] = CompleteRequestAt("a1");
  // An idle flow of the same upstream.
  (void)CompleteRequestAt("a1");
  SendUnansweredRequest(flow, opened.mCookie);
  SendUnansweredRequest(otherFlow, alsoOpened.mCookie);
  mSteering.SetCurrentAsOf(mNow);
  std::vector<std::uint32_t> unreachable;
  for (auto const slot : mSteering.StartProbeRound(mNow)) {
    unreachable = mSteering.RecordProbeResult(
      mNow,
      slot,
      slot == opened.mSlot ? ConnectResult::Refused : ConnectResult::Accepted);
  }
  LONGS_EQUAL(1, unreachable.size());
  mSteering.Sweep(mNow);
  auto const& load = mSteering.Loads()[opened.mSlot];
  LONGS_EQUAL(0, load.mFlows);
  CHECK(mSteering.TakeResets().size() >= 3);
  // New flows go to other upstreams until a connection is accepted again.
  for (std::uint16_t port = 60000; port < 60020; ++port) {
    SampleFlow fresh(CallerAt(port));
    CHECK(mSteering.Steer(mNow, fresh.Opening()).mSlot != opened.mSlot);
  }
  (void)mSteering.RecordProbeResult(
    mNow, opened.mSlot, ConnectResult::Accepted);
  CHECK(load.mPassiveHealth.Health(mNow) != UpstreamHealth::Unreachable);
}

TEST(CookieSilence, no_flow_is_reset_while_no_upstream_answers)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  mNow += seconds{ 2 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  for (int count = 0; count < 6; ++count) {
    mNow += milliseconds{ 300 };
    auto const verdict = mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
    CHECK(verdict.mAction == SteeringAction::Forward);
  }
  mSteering.Sweep(mNow);
  LONGS_EQUAL(0, mSteering.TakeResets().size());
}

TEST(CookieSilence, reordered_packets_are_not_retransmissions)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  auto const& tracker = mSteering.Loads()[opened.mSlot].mPassiveHealth;
  // The second packet of a request arrives before the first.
  auto const first = flow.Data(opened.mCookie);
  auto const second = flow.Data(opened.mCookie);
  (void)mSteering.Steer(mNow, second);
  (void)mSteering.Steer(mNow + milliseconds{ 2 }, first);
  LONGS_EQUAL(0, tracker.RetransmittingFlows());
}

TEST(CookieSilence, retransmitted_closing_packets_do_not_affect_health)
{
  // The entry VM of these flows was paused until the callers abandoned them;
  // the callers close the flows through this VM.
  auto const& loadOf = [&](std::uint32_t aSlot) -> UpstreamLoad const& {
    return mSteering.Loads()[aSlot];
  };
  auto [first, opened] = CompleteRequestAt("a1");
  auto [second, alsoOpened] = CompleteRequestAt("a1");
  LONGS_EQUAL(opened.mSlot, alsoOpened.mSlot);
  auto const cookie = opened.mCookie;
  auto const close = [&](SampleFlow& aFlow, bool aIsRetransmission) {
    auto packet = aFlow.Data(cookie, aIsRetransmission);
    packet.mCloses = true;
    return mSteering.Steer(mNow, packet).mAction;
  };
  (void)close(first, false);
  (void)close(second, false);
  for (int count = 0; count < 4; ++count) {
    mNow += milliseconds{ 400 };
    CHECK(close(first, true) == SteeringAction::Forward);
    CHECK(close(second, true) == SteeringAction::Forward);
  }
  CHECK(loadOf(opened.mSlot).mPassiveHealth.Health(mNow) ==
        UpstreamHealth::Answering);
}

TEST(CookieSilence, data_sent_to_another_vm_first_is_not_a_retransmission)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  CookieSteering other(4);
  other.SetView(mStore.View(mNow));
  // The request goes to a VM that is paused. An acknowledgement of the previous
  // answer and then the retransmission arrive at this VM.
  (void)flow.Data(opened.mCookie);
  (void)other.Steer(mNow, flow.Acknowledge(opened.mCookie));
  mNow += milliseconds{ 300 };
  (void)other.Steer(mNow, flow.Data(opened.mCookie, true));
  LONGS_EQUAL(0,
              other.Loads()[opened.mSlot].mPassiveHealth.RetransmittingFlows());
  mNow += milliseconds{ 400 };
  (void)other.Steer(mNow, flow.Data(opened.mCookie, true));
  LONGS_EQUAL(1,
              other.Loads()[opened.mSlot].mPassiveHealth.RetransmittingFlows());
}

TEST(CookieSilence, a_local_pause_does_not_affect_the_health_of_upstreams)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  SampleFlow waiting(CallerAt(45000));
  (void)mSteering.Steer(mNow, waiting.Opening());
  mNow += seconds{ 3 };
  mSteering.HandleLocalPause(mNow);
  for (auto const& load : mSteering.Loads()) {
    CHECK(load.mPassiveHealth.Health(mNow) == UpstreamHealth::Answering);
  }
}

TEST(CookieSilence, opening_packets_queued_during_a_local_pause_are_dropped)
{
  // Found by the soak test, seed 15: the callers had already opened the flows
  // through other VMs, at other upstreams.
  mSteering.HandleLocalPause(mNow);
  SampleFlow flow;
  auto const late = mSteering.Steer(mNow, flow.Opening());
  CHECK(late.mAction == SteeringAction::Drop);
  CHECK(late.mCause == SteeringCause::LateOpening);
  mNow += milliseconds{ 200 };
  auto const retransmission = mSteering.Steer(mNow, flow.Opening(1));
  CHECK(retransmission.mAction == SteeringAction::Forward);
}

// Guards against review/7: only the packets of the first moment after a pause
// were late, however long the backlog was.
TEST(CookieSilence, opening_packets_that_were_queued_for_long_are_dropped)
{
  SampleFlow flow;
  auto const late = mSteering.Steer(mNow, flow.Opening(), milliseconds{ 151 });
  CHECK(late.mCause == SteeringCause::LateOpening);
  auto const prompt = mSteering.Steer(mNow, flow.Opening(), milliseconds{ 99 });
  CHECK(prompt.mAction == SteeringAction::Forward);
  auto const later =
    mSteering.Steer(mNow, flow.FirstData(prompt.mCookie), seconds{ 2 });
  CHECK(later.mAction == SteeringAction::Forward);
}

// One lost packet reset a flow of an upstream that serves, because of other
// flows' losses long before.
TEST(CookieSilence, a_repetition_does_not_revive_expired_ones)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [first, opened] = CompleteRequestAt("a2");
  auto [second, alsoOpened] = CompleteRequestAt("a2");
  for (bool const isRetransmission : { false, true }) {
    (void)mSteering.Steer(mNow, first.Data(opened.mCookie, isRetransmission));
    (void)mSteering.Steer(mNow, second.Data(opened.mCookie, isRetransmission));
    mNow += milliseconds{ 200 };
  }
  // The callers see the answers through other VMs.
  mNow += seconds{ 9 };
  SampleFlow later(CallerAt(mNextPort++));
  (void)mSteering.Steer(mNow, later.Data(opened.mCookie));
  mNow += milliseconds{ 200 };
  Answer(other, elsewhere.mCookie);
  CHECK(mSteering.Steer(mNow, later.Data(opened.mCookie, true)).mAction ==
        SteeringAction::Forward);
}

// Repetitions that a starved VM read late made an upstream silent, and its
// flows were reset although they went on through other VMs.
TEST(CookieSilence, repetitions_queued_during_a_local_pause_are_no_silence)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [first, opened] = CompleteRequestAt("a2");
  auto [second, alsoOpened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, first.Data(opened.mCookie));
  (void)mSteering.Steer(mNow, second.Data(opened.mCookie));
  mNow += seconds{ 2 };
  mSteering.HandleLocalPause(mNow);
  (void)mSteering.Steer(mNow, first.Data(opened.mCookie, true));
  (void)mSteering.Steer(mNow, second.Data(opened.mCookie, true));
  mNow += milliseconds{ 400 };
  Answer(other, elsewhere.mCookie);
  LONGS_EQUAL(0, CountResets());
}

// Two requests that took long, and of which a packet was lost, were reset while
// their upstream worked on them.
TEST(CookieSilence, a_flow_whose_caller_stopped_repeating_is_not_lost)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [first, opened] = CompleteRequestAt("a2");
  auto [second, alsoOpened] = CompleteRequestAt("a2");
  for (bool const isRetransmission : { false, true }) {
    (void)mSteering.Steer(mNow, first.Data(opened.mCookie, isRetransmission));
    (void)mSteering.Steer(mNow, second.Data(opened.mCookie, isRetransmission));
    mNow += milliseconds{ 200 };
  }
  (void)mSteering.RecordProbeResult(
    mNow, opened.mSlot, ConnectResult::Accepted);
  mNow += PassiveHealthTracker::kReachableSilentAfter;
  Answer(other, elsewhere.mCookie);
  LONGS_EQUAL(0, CountResets());
}

// Two callers that hear nothing cost a third one its flow at the first packet
// that it lost, although the upstream accepted connections all the while.
TEST(CookieSilence, callers_that_hear_nothing_do_not_condemn_another_flow)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [first, opened] = CompleteRequestAt("a2");
  auto [second, alsoOpened] = CompleteRequestAt("a2");
  auto [sound, soundOpened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, first.Data(opened.mCookie));
  (void)mSteering.Steer(mNow, second.Data(opened.mCookie));
  for (int const delay : { 200, 400, 800 }) {
    mNow += milliseconds{ delay };
    (void)mSteering.Steer(mNow, first.Data(opened.mCookie, true));
    (void)mSteering.Steer(mNow, second.Data(opened.mCookie, true));
    (void)mSteering.RecordProbeResult(
      mNow, opened.mSlot, ConnectResult::Accepted);
  }
  (void)mSteering.Steer(mNow, sound.Data(opened.mCookie));
  mNow += milliseconds{ 200 };
  Answer(other, elsewhere.mCookie);
  CHECK(mSteering.Loads()[opened.mSlot].mPassiveHealth.Health(mNow) ==
        UpstreamHealth::Silent);
  CHECK(mSteering.Steer(mNow, sound.Data(opened.mCookie, true)).mAction ==
        SteeringAction::Forward);
}

// A second probe is due only some time after an accepted one. Until then, the
// lack of a probe counted as if the upstream had not accepted it.
TEST(CookieSilence, an_upstream_is_not_silent_before_a_probe_was_due)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [first, opened] = CompleteRequestAt("a2");
  auto [second, alsoOpened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, first.Data(opened.mCookie));
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, first.Data(opened.mCookie, true));
  for (auto const slot : mSteering.StartProbeRound(mNow)) {
    (void)mSteering.RecordProbeResult(mNow, slot, ConnectResult::Accepted);
  }
  (void)mSteering.Steer(mNow, first.Acknowledge(opened.mCookie));
  for (int count = 0; count < 3; ++count) {
    mNow += milliseconds{ 200 };
    bool const isRetransmission = count > 0;
    (void)mSteering.Steer(mNow, first.Data(opened.mCookie, isRetransmission));
    (void)mSteering.Steer(mNow, second.Data(opened.mCookie, isRetransmission));
    LONGS_EQUAL(0, mSteering.StartProbeRound(mNow).size());
  }
  Answer(other, elsewhere.mCookie);
  LONGS_EQUAL(0, CountResets());
}

// An upload that lost two packets counted as two flows without an answer.
TEST(CookieSilence, one_flow_that_repeats_twice_does_not_count_as_two)
{
  auto [other, elsewhere] = CompleteRequestAt("a1");
  auto [upload, opened] = CompleteRequestAt("a2");
  for (int count = 0; count < 2; ++count) {
    (void)mSteering.Steer(mNow, upload.Data(opened.mCookie));
    mNow += milliseconds{ 200 };
    (void)mSteering.Steer(mNow, upload.Data(opened.mCookie, true));
  }
  LONGS_EQUAL(
    1, mSteering.Loads()[opened.mSlot].mPassiveHealth.RetransmittingFlows());
  Answer(other, elsewhere.mCookie);
  LONGS_EQUAL(0, CountResets());
}

// A probe sent to a process that had ended was held against its successor.
TEST(CookieSilence, a_probe_of_an_earlier_process_does_not_count)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  auto const probed = mSteering.StartProbeRound(mNow);
  auto successor = SampleUpstream("a2", "a");
  successor.mStartMark = 2;
  mStore.Register(mNow, successor);
  RefreshView();
  for (auto const slot : probed) {
    (void)mSteering.RecordProbeResult(
      mNow,
      slot,
      slot == opened.mSlot ? ConnectResult::Refused : ConnectResult::Accepted);
  }
  // The flow was opened through another VM.
  SampleFlow later(CallerAt(mNextPort++));
  CHECK(mSteering.Steer(mNow, later.Data(opened.mCookie)).mAction ==
        SteeringAction::Forward);
}
