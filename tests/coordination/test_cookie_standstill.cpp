#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Failure pattern *standstill*: an upstream stops for some seconds, keeps its
/// flows, and then answers all that is queued. Its kernel accepts connections
/// until the queue of new connections is full.
TEST_GROUP_BASE(CookieStandstill, CookieFixture)
{
  using Flow = std::pair<SampleFlow, SteeringVerdict>;

  /// Opens flows at the upstream that will stand still.
  std::vector<Flow> OpenFlows(std::size_t aCount)
  {
    std::vector<Flow> flows;
    while (flows.size() < aCount) {
      flows.push_back(CompleteRequestAt("a2"));
    }
    return flows;
  }

  /// Sends a request of each flow, or repeats it. Returns how many packets were
  /// not forwarded.
  std::size_t SendAll(std::vector<Flow> & aFlows, bool aIsRetransmission)
  {
    std::size_t lost = 0;
    for (auto& [flow, opened] : aFlows) {
      auto const packet = flow.Data(opened.mCookie, aIsRetransmission);
      auto const verdict = mSteering.Steer(mNow, packet);
      lost += verdict.mAction == SteeringAction::Forward ? 0 : 1;
    }
    return lost;
  }

  /// Lets callers repeat their requests for 4.6 s while another upstream
  /// answers. Returns how many flows were reset.
  std::size_t CountResetsDuringStandstill(std::vector<Flow> & aFlows,
                                          ConnectResult aProbeResult)
  {
    auto other = CompleteRequestAt("a1");
    auto const slot = aFlows.front().second.mSlot;
    auto resets = SendAll(aFlows, false);
    for (int const delay : { 200, 400, 800, 1600, 1600 }) {
      mNow += milliseconds{ delay };
      mSteering.SetCurrentAsOf(mNow);
      resets += SendAll(aFlows, true);
      Answer(other.first, other.second.mCookie);
      RunProbes(slot, aProbeResult);
      resets += CountResets();
    }
    return resets;
  }
};

/// Guards against resets of flows whose upstream accepts connections but stands
/// still.
TEST(CookieStandstill, an_upstream_that_answers_nothing_keeps_its_flows)
{
  auto flows = OpenFlows(3);
  LONGS_EQUAL(0, CountResetsDuringStandstill(flows, ConnectResult::Accepted));
  // New flows go elsewhere, except for one on trial.
  std::size_t newFlows = 0;
  for (std::uint16_t port = 60000; port < 60020; ++port) {
    auto const verdict =
      mSteering.Steer(mNow, SampleFlow(CallerAt(port)).Opening());
    newFlows += verdict.mSlot == flows.front().second.mSlot ? 1 : 0;
  }
  CHECK(newFlows <= 1);
}

/// Guards against resets, also of idle flows, at an upstream whose queue of new
/// connections is filled by the probes of many VMs.
TEST(CookieStandstill, an_upstream_that_answers_no_probe_keeps_its_flows)
{
  auto [idle, opened] = CompleteRequestAt("a2");
  auto flows = OpenFlows(3);
  LONGS_EQUAL(0, CountResetsDuringStandstill(flows, ConnectResult::Stalled));
  CHECK(HealthOf(opened.mSlot) == UpstreamHealth::Unreachable);
  CHECK(IsForwarded(idle, opened.mCookie));
}

/// Guards against resets of the flows of an upstream that stands still for so
/// long that its registration lapses.
TEST(CookieStandstill, an_upstream_whose_registration_lapses_keeps_its_flows)
{
  auto flows = OpenFlows(3);
  Drain("a2");
  Remove("a2");
  LONGS_EQUAL(0, CountResetsDuringStandstill(flows, ConnectResult::Stalled));
}

/// Guards against resets after one refusal by an upstream whose registration
/// lapsed and which has closed its port but not left yet.
TEST(CookieStandstill, one_refusal_after_a_lapse_resets_no_flow)
{
  auto flows = OpenFlows(2);
  auto const slot = flows.front().second.mSlot;
  Drain("a2");
  Remove("a2");
  mNow += milliseconds{ 400 };
  RunProbes(slot, ConnectResult::Refused);
  LONGS_EQUAL(0, CountResets());
  mNow += ActiveHealthChecker::kMinBackoff;
  RunProbes(slot, ConnectResult::Refused);
  LONGS_EQUAL(2, CountResets());
}

/// Guards against resets of flows whose upstream has not refused a probe and
/// whose host answers.
TEST(CookieStandstill, no_flow_is_reset_while_its_host_answers)
{
  auto const& upstreams = mSteering.View().mUpstreams;
  auto const slot = SlotOf(mSteering.View(), "a2");
  auto const cookie = upstreams[slot].mCookie;
  auto const other = upstreams[SlotOf(mSteering.View(), "a1")].mCookie;
  CheckProperty("a host that answers", [&](std::vector<std::uint8_t> aDraws) {
    std::vector<Flow> flows;
    for (int count = 0; count < 3; ++count) {
      flows.push_back({ SampleFlow(CallerAt(mNextPort++)), {} });
      flows.back().second.mCookie = cookie;
    }
    SampleFlow answered(CallerAt(mNextPort++));
    auto resets = SendAll(flows, false);
    for (auto const draw : aDraws) {
      mNow += milliseconds{ 100 * (draw % 8) };
      mSteering.SetCurrentAsOf(mNow);
      resets += SendAll(flows, draw % 16 < 12);
      Answer(answered, other);
      constexpr ConnectResult kResults[] = { ConnectResult::Accepted,
                                             ConnectResult::Stalled,
                                             ConnectResult::Reset };
      RunProbes(slot, kResults[draw / 16 % 3]);
      resets += CountResets();
    }
    RC_ASSERT(resets == 0U);
  });
}

/// Guards against callers that wait for their deadline at an upstream whose
/// host has lost power.
TEST(CookieStandstill, flows_of_a_silent_host_are_reset)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  auto [waiting, alsoOpened] = CompleteRequestAt("a2");
  (void)mSteering.Steer(mNow, waiting.Data(opened.mCookie));
  SendUnansweredRequest(flow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  LONGS_EQUAL(0, CountResets());
  mNow += ActiveHealthChecker::kMinBackoff;
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  LONGS_EQUAL(2, CountResets());
}

/// Guards against resets because of lost probes, of which one was answered in
/// between.
TEST(CookieStandstill,
     a_host_that_answers_between_two_lost_probes_is_not_silent)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  for (auto const result : { ConnectResult::NoAnswer,
                             ConnectResult::Stalled,
                             ConnectResult::NoAnswer }) {
    RunProbes(opened.mSlot, result);
    LONGS_EQUAL(0, CountResets());
    mNow += CrashDetector::kMaxConfirmationInterval - milliseconds{ 100 };
  }
}

/// Guards against resets of the flows of a draining upstream whose registration
/// lapses while it still serves and its queue of new connections is full.
TEST(CookieStandstill,
     a_draining_upstream_whose_registration_lapses_keeps_flows)
{
  (void)CompleteRequestAt("a1");
  Drain("a1");
  auto const slot = SlotOf(mSteering.View(), "a1");
  mNow += milliseconds{ 400 };
  Remove("a1");
  RunProbes(slot, ConnectResult::Stalled);
  mNow += milliseconds{ 600 };
  (void)CompleteRequestAt("a2");
  RunProbes(slot, ConnectResult::Stalled);
  LONGS_EQUAL(0, CountResets());
}

/// Guards against a proof that is put together from before and after a local
/// pause, of which the steady clock counts nothing.
TEST(CookieStandstill,
     a_local_pause_between_two_unanswered_probes_confirms_nothing)
{
  auto [idle, alsoOpened] = CompleteRequestAt("a2");
  auto [flow, opened] = CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  mNow += ActiveHealthChecker::kMinBackoff;
  mSteering.HandleLocalPause(mNow);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  LONGS_EQUAL(0, CountResets());
  CHECK(IsForwarded(idle, opened.mCookie));
}

/// Guards against resets by two lost probes, between which the upstream
/// answered a flow.
TEST(CookieStandstill,
     an_answer_between_two_unanswered_probes_refutes_the_first)
{
  auto [idle, alsoOpened] = CompleteRequestAt("a2");
  auto [flow, opened] = CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  mNow += milliseconds{ 100 };
  Answer(idle, opened.mCookie);
  SendUnansweredRequest(flow, opened.mCookie);
  mNow += milliseconds{ 200 };
  CHECK(HealthOf(opened.mSlot) != UpstreamHealth::Unreachable);
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  LONGS_EQUAL(0, CountResets());
}

/// Guards against resets by a failed probe from before a local pause.
TEST(CookieStandstill, a_proof_from_before_a_local_pause_resets_no_flow)
{
  auto [idle, alsoOpened] = CompleteRequestAt("a2");
  auto [flow, opened] = CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  (void)mSteering.Steer(mNow, idle.Data(opened.mCookie));
  RunProbes(opened.mSlot, ConnectResult::NoAnswer);
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, idle.Data(opened.mCookie, true));
  mSteering.HandleLocalPause(mNow);
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, idle.Data(opened.mCookie, true));
  LONGS_EQUAL(0, CountResets());
}

/// Guards against flows at a host that lost power, seen by this VM after its
/// third probe.
TEST(CookieStandstill, a_silent_host_stays_confirmed)
{
  auto [flow, opened] = CompleteRequestAt("a2");
  SendUnansweredRequest(flow, opened.mCookie);
  std::size_t resets = 0;
  for (int tick = 0; tick < 40; ++tick) {
    RunProbes(opened.mSlot, ConnectResult::NoAnswer);
    resets += CountResets();
    mNow += milliseconds{ 100 };
  }
  CHECK(resets >= 1);
  SampleFlow later(CallerAt(mNextPort++));
  CHECK(IsForwarded(later, opened.mCookie));
  resets = 0;
  for (int tick = 0; tick < 100; ++tick) {
    mNow += milliseconds{ 100 };
    RunProbes(opened.mSlot, ConnectResult::NoAnswer);
    resets += CountResets();
  }
  LONGS_EQUAL(1, resets);
}
