#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// The pattern: the own zone `a` is evacuated, and openings that its VMs
/// forward to the zones `b` and `c` are lost.
TEST_GROUP_BASE(CookieOutboundReach, CookieFixture)
{
  std::uint16_t mPort = 42000;

  void setup() override
  {
    CookieFixture::setup();
    for (char const* name : { "b2", "b3" }) {
      mStore.Register(mNow, SampleUpstream(name, "b"));
    }
    for (char const* name : { "c1", "c2", "c3" }) {
      mStore.Register(mNow, SampleUpstream(name, "c"));
    }
    mStore.Evacuate(mNow, "a", true);
    RefreshView();
  }

  ZoneReach ReachNow()
  {
    mSteering.Sweep(mNow);
    return mSteering.OutboundReach();
  }

  /// Opens flows that nobody answers, each with a copy, until no zone is left.
  void LoseAllOpenings(CookieSteering & aSteering)
  {
    for (int count = 0; count < 6; ++count) {
      SampleFlow flow(CallerAt(mPort++));
      (void)aSteering.Steer(mNow, flow.Opening());
      mNow += milliseconds{ 200 };
      (void)aSteering.Steer(mNow, flow.Opening(1));
    }
    mNow += PassiveHealthTracker::kHandshakeTimeout;
    aSteering.Sweep(mNow);
  }

  void FinishProbes(ConnectResult aResult)
  {
    for (auto const slot : mSteering.StartProbeRound(mNow)) {
      (void)mSteering.RecordProbeResult(mNow, slot, aResult);
    }
  }
};

TEST(CookieOutboundReach, is_lost_when_no_other_zone_answers)
{
  CHECK(ReachNow() == ZoneReach::Unknown);
  LoseAllOpenings(mSteering);
  CHECK(mSteering.OutboundReach() == ZoneReach::Silent);
}

TEST(CookieOutboundReach, a_zone_that_answers_keeps_the_vm_in_reach)
{
  SampleFlow flow(CallerAt(mPort++));
  (void)CompleteRequest(flow);
  CHECK(ReachNow() == ZoneReach::Answering);
}

TEST(CookieOutboundReach, an_upstream_that_registers_does_not_end_the_loss)
{
  LoseAllOpenings(mSteering);
  mStore.Register(mNow, SampleUpstream("b4", "b"));
  mStore.Register(mNow, SampleUpstream("c4", "c"));
  RefreshView();
  CHECK(ReachNow() == ZoneReach::Silent);
}

TEST(CookieOutboundReach, a_probe_finds_the_recovery_without_any_caller)
{
  LoseAllOpenings(mSteering);
  FinishProbes(ConnectResult::NoAnswer);
  CHECK(ReachNow() == ZoneReach::Silent);
  auto const healed = mNow;
  while (ReachNow() == ZoneReach::Silent) {
    mNow += milliseconds{ 100 };
    CHECK(mNow < healed + seconds{ 1 });
    FinishProbes(ConnectResult::Accepted);
  }
  CHECK(mSteering.OutboundReach() == ZoneReach::Answering);
}

TEST(CookieOutboundReach, evacuated_zones_are_neither_counted_nor_probed)
{
  mStore.Evacuate(mNow, "c", true);
  RefreshView();
  LoseAllOpenings(mSteering);
  CHECK(ReachNow() == ZoneReach::Silent);
  auto const end = mNow + seconds{ 10 };
  for (; mNow < end; mNow += milliseconds{ 100 }) {
    mSteering.Sweep(mNow);
    for (auto const slot : mSteering.StartProbeRound(mNow)) {
      CHECK_EQUAL(
        'b', mSteering.View().mUpstreams[slot].mRegistration.mName.front());
      (void)mSteering.RecordProbeResult(mNow, slot, ConnectResult::NoAnswer);
    }
  }
}

TEST(CookieOutboundReach, without_the_mechanism_nothing_is_observed)
{
  CookieSteering steering(1, Mechanisms::Without({ "outbound_reach" }).Take());
  steering.SetView(mStore.View(mNow));
  LoseAllOpenings(steering);
  CHECK(steering.OutboundReach() == ZoneReach::Unknown);
}
