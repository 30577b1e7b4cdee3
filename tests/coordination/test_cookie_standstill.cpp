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
  LONGS_EQUAL(0, CountResetsDuringStandstill(flows, ConnectResult::NoAnswer));
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
  LONGS_EQUAL(0, CountResetsDuringStandstill(flows, ConnectResult::NoAnswer));
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

/// Guards against resets for any other reason than a refused connection.
TEST(CookieStandstill, no_flow_is_reset_unless_its_upstream_refuses)
{
  CheckProperty(
    "only refusals reset flows", [&](std::vector<std::uint8_t> const& aDraws) {
      auto flows = OpenFlows(3);
      auto other = CompleteRequestAt("a1");
      auto const slot = flows.front().second.mSlot;
      std::size_t resets = SendAll(flows, false);
      for (auto const draw : aDraws) {
        mNow += milliseconds{ 100 * (draw % 8) };
        mSteering.SetCurrentAsOf(mNow);
        resets += SendAll(flows, draw % 16 < 12);
        Answer(other.first, other.second.mCookie);
        constexpr ConnectResult kResults[] = { ConnectResult::Accepted,
                                               ConnectResult::NoAnswer,
                                               ConnectResult::Reset };
        RunProbes(slot, kResults[draw / 16 % 3]);
        resets += CountResets();
      }
      RC_ASSERT(resets == 0U);
      // The upstream goes on, and the flows of this case expire.
      mNow += 2 * ActiveHealthChecker::kMaxBackoff;
      RunProbes(slot, ConnectResult::Accepted);
      for (auto& [flow, opened] : flows) {
        Answer(flow, opened.mCookie);
      }
      mNow += 2 * mSteering.View().mIdleTimeout;
      mSteering.Sweep(mNow);
    });
}
