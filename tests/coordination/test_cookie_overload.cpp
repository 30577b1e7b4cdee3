#include "support/cookie_fixture.hpp"

#include <memory>

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Openings while the upstreams of a service cannot serve all that arrive.
TEST_GROUP_BASE(CookieOverload, CookieFixture)
{
  /// The route of ordinary requests; `kWebRoute` is urgent.
  static constexpr Endpoint kOrdinaryRoute = kLabelRoute;

  static constexpr milliseconds kUsualTime{ 50 };

  void setup() override
  {
    CookieFixture::setup();
    Remove("b1");
    auto configuration = SampleConfiguration(2);
    configuration.mRoutes[0].mPriority = 1;
    configuration.mRoutes[1].mPriority = 2;
    configuration.mRoutes[1].mShares = configuration.mRoutes[0].mShares;
    mStore.Configure(mNow, configuration);
    RefreshView();
  }

  SampleFlow NewFlow(Endpoint aRoute)
  {
    return SampleFlow(CallerAt(mNextPort++), aRoute);
  }

  /// Completes a request of a new flow, whose answer takes the given time, or
  /// the usual time in another zone.
  void CompleteIn(milliseconds aTime, Endpoint aRoute = kWebRoute)
  {
    auto flow = NewFlow(aRoute);
    auto const opened = mSteering.Steer(mNow, flow.Opening());
    (void)mSteering.Steer(mNow, flow.FirstData(opened.mCookie));
    bool const isOwnZone = UpstreamOf(opened).front() == 'a';
    mNow += isOwnZone ? aTime : kUsualTime;
    (void)mSteering.Steer(mNow, flow.Acknowledge(opened.mCookie));
    auto closing = flow.Data(opened.mCookie);
    closing.mCloses = true;
    (void)mSteering.Steer(mNow, closing);
  }

  /// Sets what the other VMs of the zone have in progress at each upstream.
  void ShareLoads(double aInProgress)
  {
    SharedLoads loads;
    for (auto const& upstream : mSteering.View().mUpstreams) {
      loads.mByProcess[ProcessKey(upstream.mRegistration)] = {
        0.0, aInProgress, 0.0, 1.0, mNow
      };
    }
    mSteering.SetSharedLoads(std::make_shared<SharedLoads const>(loads));
  }

  /// Lets answers be slow for two seconds, at 5 requests for each slot.
  void BringShortage(int aOrdinaryAnswers = 100)
  {
    for (int count = 0; count < 100; ++count) {
      CompleteIn(kUsualTime);
    }
    for (int count = 0; count < aOrdinaryAnswers; ++count) {
      CompleteIn(kUsualTime, kOrdinaryRoute);
    }
    for (auto const end = mNow + seconds{ 3 }; mNow < end;) {
      CompleteIn(milliseconds{ 200 });
      ShareLoads(20.0);
      (void)mSteering.Steer(mNow, NewFlow(kOrdinaryRoute).Opening());
      mSteering.Sweep(mNow);
    }
  }

  /// How many of 50 openings are reset.
  int CountRejected(Endpoint aRoute, std::uint32_t aRetransmissions = 0)
  {
    int rejected = 0;
    for (int count = 0; count < 50; ++count) {
      auto const verdict =
        mSteering.Steer(mNow, NewFlow(aRoute).Opening(aRetransmissions));
      rejected += verdict.mAction == SteeringAction::Reset ? 1 : 0;
      CHECK((verdict.mAction == SteeringAction::Reset) ==
            (verdict.mCause == SteeringCause::Overload));
    }
    return rejected;
  }
};

TEST(CookieOverload, ordinary_openings_are_reset_and_urgent_ones_are_not)
{
  BringShortage();
  CHECK(CountRejected(kOrdinaryRoute) > 25);
  LONGS_EQUAL(0, CountRejected(kWebRoute));
  LONGS_EQUAL(1, mSteering.ServicesShort());
}

/// Its callers would take the reset for a missing route.
TEST(CookieOverload, openings_of_a_route_that_is_not_in_use_yet_are_not_reset)
{
  BringShortage(10);
  LONGS_EQUAL(0, CountRejected(kOrdinaryRoute));
}

/// The flow of a copy may be open at an upstream by another VM.
TEST(CookieOverload, copies_of_opening_packets_are_never_reset)
{
  BringShortage();
  LONGS_EQUAL(0, CountRejected(kOrdinaryRoute, 1));
}

TEST(CookieOverload, a_packet_that_was_forwarded_is_not_reset_when_it_repeats)
{
  auto const flow = NewFlow(kOrdinaryRoute);
  CHECK(mSteering.Steer(mNow, flow.Opening()).mAction ==
        SteeringAction::Forward);
  BringShortage();
  CHECK(mSteering.Steer(mNow, flow.Opening()).mAction ==
        SteeringAction::Forward);
}

TEST(CookieOverload, open_flows_are_served_during_a_shortage)
{
  auto flow = NewFlow(kOrdinaryRoute);
  auto const opened = CompleteRequest(flow);
  BringShortage();
  CHECK(IsForwarded(flow, opened.mCookie));
}

TEST(CookieOverload, nothing_is_rejected_while_another_zone_may_have_room)
{
  mStore.Register(mNow, SampleUpstream("b1", "b"));
  RefreshView();
  BringShortage();
  LONGS_EQUAL(0, CountRejected(kOrdinaryRoute));
}

TEST(CookieOverload, nothing_is_rejected_by_own_counts_alone)
{
  BringShortage();
  mSteering.SetSharedLoads(nullptr);
  for (int count = 0; count < 10; ++count) {
    CompleteIn(milliseconds{ 200 });
    mSteering.Sweep(mNow);
  }
  LONGS_EQUAL(0, CountRejected(kOrdinaryRoute));
}

TEST(CookieOverload, nothing_is_rejected_with_reports_that_are_old)
{
  BringShortage();
  mNow += milliseconds{ 2500 };
  for (int count = 0; count < 10; ++count) {
    CompleteIn(milliseconds{ 200 });
    mSteering.Sweep(mNow);
  }
  LONGS_EQUAL(0, CountRejected(kOrdinaryRoute));
}

/// Packets that were queued meanwhile may have copies that opened the flow.
TEST(CookieOverload, nothing_is_rejected_soon_after_a_local_pause)
{
  BringShortage();
  mSteering.HandleLocalPause(mNow);
  mNow += milliseconds{ 100 };
  LONGS_EQUAL(0, CountRejected(kOrdinaryRoute));
}

TEST(CookieOverload, nothing_is_rejected_while_the_mechanism_is_off)
{
  std::destroy_at(&mSteering);
  std::construct_at(
    &mSteering, 1, Mechanisms::Without({ "priority_admission" }).Take());
  RefreshView();
  BringShortage();
  LONGS_EQUAL(0, CountRejected(kOrdinaryRoute));
  CHECK(mSteering.TakeShortageEvents().empty());
}

TEST(CookieOverload, a_shortage_is_told_with_bounded_lines)
{
  BringShortage();
  CHECK(CountRejected(kOrdinaryRoute) > 25);
  mSteering.Sweep(mNow);
  auto const events = mSteering.TakeShortageEvents();
  CHECK(events.front().mKind == ShortageEvent::Kind::Began);
  CHECK(events.size() <= 5);
  CHECK(events.back().mIsShared);
  // No line for each opening that is rejected.
  for (auto const& entry : mSteering.TakeLogEntries()) {
    CHECK(entry.mCause != SteeringCause::Overload);
  }
}
