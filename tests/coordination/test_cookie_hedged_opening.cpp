#include "support/cookie_fixture.hpp"

#include <array>
#include <memory>

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Opening packets that the VM offers to a second upstream by itself.
TEST_GROUP_BASE(CookieHedgedOpening, CookieFixture)
{
  using Hedges = std::vector<KeptOpening>;

  void setup() override
  {
    CookieFixture::setup();
    mSteering.SetMaxHedgeShare(0.2);
    CompleteRequests();
  }

  /// Lets all upstreams answer.
  void CompleteRequests()
  {
    for (int count = 0; count < 50; ++count) {
      SampleFlow flow(CallerAt(mNextPort++));
      auto const opened = Open(flow);
      mNow += milliseconds{ 8 };
      (void)mSteering.Steer(mNow, flow.FirstData(opened.mCookie));
      mNow += milliseconds{ 20 };
      auto closing = flow.Acknowledge(opened.mCookie);
      closing.mCloses = true;
      (void)mSteering.Steer(mNow, closing);
    }
    (void)mSteering.TakeLogEntries();
  }

  /// Steers an opening packet as the packet thread does.
  SteeringVerdict Open(SampleFlow const& aFlow,
                       std::uint32_t aRetransmissions = 0)
  {
    auto const packet = aFlow.Opening(aRetransmissions);
    auto const verdict = mSteering.Steer(mNow, packet);
    std::array<std::byte, 36> const bytes{ std::byte{ 1 } };
    mSteering.KeepOpening(mNow, packet, verdict, bytes);
    return verdict;
  }

  /// Opens flows until one is offered to the given upstream, which does not
  /// answer.
  SteeringVerdict OpenAt(std::uint32_t aSlot)
  {
    for (int count = 0; count < 100; ++count) {
      SampleFlow flow(CallerAt(mNextPort++));
      auto const opened = Open(flow);
      if (opened.mSlot == aSlot) {
        return opened;
      }
      mNow += milliseconds{ 8 };
      (void)mSteering.Steer(mNow, flow.FirstData(opened.mCookie));
    }
    FAIL("no flow reached the upstream");
    return {};
  }

  /// Lets an upstream other than the given one answer an open flow.
  void AnswerElsewhere(std::uint32_t aSlot)
  {
    for (int count = 0; count < 100; ++count) {
      SampleFlow flow(CallerAt(mNextPort++));
      auto const opened = mSteering.Steer(mNow, flow.Opening());
      if (opened.mSlot != aSlot) {
        mNow += milliseconds{ 7 };
        (void)mSteering.Steer(mNow, flow.FirstData(opened.mCookie));
        return;
      }
    }
    FAIL("no flow reached another upstream");
  }

  Hedges HedgesAfter(milliseconds aTime)
  {
    mNow += aTime;
    return mSteering.TakeHedgedOpenings(mNow);
  }

  /// Opens a flow at an upstream that does not answer while others do.
  std::pair<SteeringVerdict, Hedges> OpenAtSilentUpstream(
    SampleFlow const& aFlow)
  {
    auto const first = Open(aFlow);
    AnswerElsewhere(first.mSlot);
    return { first, HedgesAfter(milliseconds{ 60 }) };
  }

  SteeringVerdict Hedged(SampleFlow const& aFlow, SteeringVerdict& aFirst)
  {
    auto const [first, hedges] = OpenAtSilentUpstream(aFlow);
    aFirst = first;
    LONGS_EQUAL(1, hedges.size());
    return hedges.front().mVerdict;
  }
};

TEST(CookieHedgedOpening, a_late_opening_is_offered_to_a_second_upstream)
{
  SampleFlow flow;
  auto const [first, hedges] = OpenAtSilentUpstream(flow);
  LONGS_EQUAL(1, hedges.size());
  auto const& second = hedges.front().mVerdict;
  CHECK(second.mCause == SteeringCause::HedgedOpening);
  CHECK(first.mSlot != second.mSlot);
  CHECK(UpstreamOf(second).front() == 'a'); // Of the own zone.
  LONGS_EQUAL(36, hedges.front().mBytes.size());
  auto const entry = mSteering.TakeLogEntries().back();
  LONGS_EQUAL(first.mSlot, entry.mHedge->mSlot);
  LONGS_EQUAL(67, entry.mHedge->mWaited.count());
  CHECK(HedgesAfter(milliseconds{ 60 }).empty());
}

TEST(CookieHedgedOpening, the_packet_thread_knows_when_a_hedge_is_due)
{
  CHECK_FALSE(mSteering.NextHedgeDue().has_value());
  SampleFlow flow;
  auto const opened = Open(flow);
  CHECK(*mSteering.NextHedgeDue() == mNow + milliseconds{ 60 });
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(opened.mCookie));
  CHECK_FALSE(mSteering.NextHedgeDue().has_value());
}

TEST(CookieHedgedOpening, nothing_is_kept_or_hedged_with_a_share_of_0)
{
  mSteering.SetMaxHedgeShare(0.0);
  CHECK(OpenAtSilentUpstream(SampleFlow()).second.empty());
  CHECK_FALSE(mSteering.NextHedgeDue().has_value());
}

TEST(CookieHedgedOpening, nothing_is_hedged_with_the_mechanism_off)
{
  std::destroy_at(&mSteering);
  std::construct_at(
    &mSteering, 1U, Mechanisms::Without({ "hedged_openings" }).Take());
  RefreshView();
  mSteering.SetMaxHedgeShare(0.2);
  CompleteRequests();
  CHECK(OpenAtSilentUpstream(SampleFlow()).second.empty());
}

TEST(CookieHedgedOpening,
     flows_of_requests_that_may_not_run_twice_are_not_hedged)
{
  auto next = SampleConfiguration(2);
  next.mRoutes.front().mKind = RequestKind::NotIdempotent;
  mStore.Configure(mNow, next);
  RefreshView();
  CHECK(OpenAtSilentUpstream(SampleFlow()).second.empty());
}

TEST(CookieHedgedOpening, a_route_that_changes_its_kind_meanwhile_is_not_hedged)
{
  auto const first = Open(SampleFlow());
  AnswerElsewhere(first.mSlot);
  auto next = SampleConfiguration(2);
  next.mRoutes.front().mKind = RequestKind::NotIdempotent;
  mStore.Configure(mNow, next);
  RefreshView();
  CHECK(HedgesAfter(milliseconds{ 60 }).empty());
}

TEST(CookieHedgedOpening, a_removed_route_is_not_hedged)
{
  auto const first = Open(SampleFlow());
  AnswerElsewhere(first.mSlot);
  RemoveRoute();
  CHECK(HedgesAfter(milliseconds{ 60 }).empty());
}

TEST(CookieHedgedOpening, an_opening_whose_copy_has_come_is_not_hedged)
{
  SampleFlow flow;
  auto const first = Open(flow);
  AnswerElsewhere(first.mSlot);
  mNow += milliseconds{ 20 };
  (void)Open(flow, 1);
  CHECK(HedgesAfter(milliseconds{ 60 }).empty());
  CHECK(HedgesAfter(milliseconds{ 60 }).empty());
}

/// Guards against a late cookie (KNOWN-RED.txt, entry 14): an upstream that
/// answers others may still answer this flow.
TEST(CookieHedgedOpening, an_upstream_that_answered_another_flow_is_not_hedged)
{
  auto [other, otherOpened] = CompleteRequestAt("a1");
  for (bool const answersOther : { true, false }) {
    auto const first = OpenAt(otherOpened.mSlot);
    AnswerElsewhere(first.mSlot);
    if (answersOther) {
      Answer(other, otherOpened.mCookie);
    }
    LONGS_EQUAL(answersOther ? 0 : 1, HedgesAfter(milliseconds{ 60 }).size());
  }
}

TEST(CookieHedgedOpening, a_second_upstream_serves_new_flows_and_is_healthy)
{
  auto const first = Open(SampleFlow());
  AnswerElsewhere(first.mSlot);
  for (char const* name : { "a1", "a2", "a3" }) {
    if (name != UpstreamOf(first)) {
      Drain(name);
    }
  }
  mStore.Evacuate(mNow, "b", true);
  RefreshView();
  CHECK(HedgesAfter(milliseconds{ 60 }).empty());
}

/// Guards against a late cookie: an opening is not hedged while all upstreams
/// are slow.
TEST(CookieHedgedOpening, nothing_is_hedged_while_all_upstreams_are_slow)
{
  for (int count = 0; count < 8; ++count) {
    (void)Open(SampleFlow(CallerAt(mNextPort++)));
  }
  CHECK(HedgesAfter(milliseconds{ 60 }).empty());
}

TEST(CookieHedgedOpening, the_flow_opens_at_the_second_upstream)
{
  SampleFlow flow;
  SteeringVerdict first;
  auto const second = Hedged(flow, first);
  mNow += milliseconds{ 8 };
  auto const opened = mSteering.Steer(mNow, flow.FirstData(second.mCookie));
  LONGS_EQUAL(second.mSlot, opened.mSlot);
  LONGS_EQUAL(1, mSteering.TakeHedgesAnsweredFirst());
  LONGS_EQUAL(0, mSteering.TakeHedgesAnsweredFirst());
}

/// Guards against packets at an upstream that does not hold the flow, after a
/// late answer.
TEST(CookieHedgedOpening,
     a_flow_stays_at_its_second_upstream_after_a_late_cookie)
{
  SampleFlow flow;
  SteeringVerdict first;
  auto const second = Hedged(flow, first);
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(second.mCookie));
  for (int count = 0; count < 3; ++count) {
    mNow += milliseconds{ 20 };
    auto const late = mSteering.Steer(mNow, flow.Data(first.mCookie));
    LONGS_EQUAL(second.mSlot, late.mSlot);
    LONGS_EQUAL(second.mCookie, late.mCookie);
  }
}

TEST(CookieHedgedOpening, a_flow_whose_first_upstream_answers_later_stays_there)
{
  SampleFlow flow;
  SteeringVerdict first;
  auto const second = Hedged(flow, first);
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(first.mCookie));
  mNow += milliseconds{ 20 };
  auto const later = mSteering.Steer(mNow, flow.Data(second.mCookie));
  LONGS_EQUAL(first.mSlot, later.mSlot);
  LONGS_EQUAL(0, mSteering.TakeHedgesAnsweredFirst());
}

/// Guards against a third upstream for one opening packet.
TEST(CookieHedgedOpening, the_callers_copy_goes_to_the_second_upstream_too)
{
  SampleFlow flow;
  SteeringVerdict first;
  auto const second = Hedged(flow, first);
  mNow += milliseconds{ 130 };
  auto const copy = Open(flow, 1);
  LONGS_EQUAL(second.mSlot, copy.mSlot);
  CHECK(copy.mCause == SteeringCause::OpeningCopy);
}

/// The pattern of upstreams going dark one after the other under a crowd.
TEST(CookieHedgedOpening, the_share_holds_while_an_upstream_is_dark)
{
  int openings = 0;
  int hedges = 0;
  auto const dark = SlotOf(mSteering.View(), "a1");
  for (int round = 0; round < 400; ++round) {
    SampleFlow flow(CallerAt(mNextPort++));
    auto const opened = Open(flow);
    ++openings;
    mNow += milliseconds{ 8 };
    if (opened.mSlot != dark) {
      (void)mSteering.Steer(mNow, flow.FirstData(opened.mCookie));
    }
    hedges += static_cast<int>(HedgesAfter(milliseconds{ 12 }).size());
    CHECK(hedges <= 0.2 * (openings + 50));
  }
  CHECK(hedges > 0);
}
