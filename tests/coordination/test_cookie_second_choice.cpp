#include "support/cookie_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Flows whose opening packet reaches two upstreams.
TEST_GROUP_BASE(CookieSecondChoice, CookieFixture)
{
  using Verdicts = std::pair<SteeringVerdict, SteeringVerdict>;

  /// Opens a flow whose first upstream does not answer; it opens at a second
  /// one. Returns the verdicts of both opening packets.
  Verdicts OfferTwice(SampleFlow const& aFlow)
  {
    auto const first = mSteering.Steer(mNow, aFlow.Opening());
    mNow += milliseconds{ 200 };
    return { first, mSteering.Steer(mNow, aFlow.Opening(1)) };
  }
};

/// Guards against a second upstream for an open flow by a copy of its opening
/// packet that was overtaken.
TEST(CookieSecondChoice, a_copy_that_arrives_after_the_flow_opened_is_dropped)
{
  SampleFlow flow;
  auto const opened = mSteering.Steer(mNow, flow.Opening());
  mNow += milliseconds{ 200 };
  (void)mSteering.Steer(mNow, flow.FirstData(opened.mCookie));
  auto const copy = mSteering.Steer(mNow, flow.Opening(1));
  CHECK(copy.mAction == SteeringAction::Drop);
}

/// Guards against a third upstream for a flow that opened at the first of two.
TEST(CookieSecondChoice, a_copy_after_a_late_answer_is_dropped)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  CHECK(first.mSlot != second.mSlot);
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(first.mCookie));
  auto const copy = mSteering.Steer(mNow, flow.Opening(2));
  CHECK(copy.mAction == SteeringAction::Drop);
}

/// Guards against a refusal of a caller that uses its port again.
TEST(CookieSecondChoice, a_new_flow_from_a_reused_port_is_not_a_copy)
{
  SampleFlow former;
  auto const opened = CompleteRequest(former);
  auto closing = former.Data(opened.mCookie);
  closing.mCloses = true;
  (void)mSteering.Steer(mNow, closing);
  // The first opening packet of the new flow was lost.
  auto const copy = mSteering.Steer(mNow, SampleFlow().Opening(1));
  CHECK(copy.mAction == SteeringAction::Forward);
  // The end of another flow passed through another VM.
  SampleFlow unseen(CallerAt(41000));
  (void)CompleteRequest(unseen);
  auto later = SampleFlow(CallerAt(41000)).Opening(1);
  later.mSequence += 1000000;
  CHECK(mSteering.Steer(mNow, later).mAction == SteeringAction::Forward);
  CHECK(mSteering.Steer(mNow, unseen.Opening()).mAction ==
        SteeringAction::Forward);
}

/// Guards against a late answer to the first opening packet after a third one.
TEST(CookieSecondChoice, a_third_opening_packet_keeps_the_flow_pinned)
{
  SampleFlow flow;
  auto const first = mSteering.Steer(mNow, flow.Opening());
  mNow += milliseconds{ 200 };
  auto const second = mSteering.Steer(mNow, flow.Opening(1));
  for (char const* name : { "a1", "a2", "a3", "b1" }) {
    auto draining = mSteering.View().mUpstreams[SlotOf(mSteering.View(), name)];
    draining.mRegistration.mDraining = UpstreamOf(second) != name;
    mStore.Register(mNow, draining.mRegistration);
  }
  RefreshView();
  mNow += milliseconds{ 400 };
  (void)mSteering.Steer(mNow, flow.Opening(2));
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(second.mCookie));
  auto const verdict = mSteering.Steer(mNow, flow.Acknowledge(first.mCookie));
  LONGS_EQUAL(second.mSlot, verdict.mSlot);
}

/// Guards against a late answer to an opening packet that went to another
/// upstream through another VM.
TEST(CookieSecondChoice,
     a_flow_opened_by_a_copy_keeps_the_upstream_of_its_caller)
{
  auto const firstSlot = SlotOf(mSteering.View(), "b1");
  auto const firstCookie = mSteering.View().mUpstreams[firstSlot].mCookie;
  SampleFlow flow;
  auto const second = mSteering.Steer(mNow, flow.Opening(1));
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(second.mCookie));
  auto const verdict = mSteering.Steer(mNow, flow.Acknowledge(firstCookie));
  LONGS_EQUAL(second.mSlot, verdict.mSlot);
}

/// Guards against a late answer to a copy that went through another VM.
TEST(CookieSecondChoice, a_flow_opened_by_its_first_packet_keeps_its_upstream)
{
  auto const otherSlot = SlotOf(mSteering.View(), "b1");
  auto const otherCookie = mSteering.View().mUpstreams[otherSlot].mCookie;
  SampleFlow flow;
  auto const opened = CompleteRequest(flow);
  CHECK(opened.mSlot != otherSlot);
  auto const verdict = mSteering.Steer(mNow, flow.Data(otherCookie));
  LONGS_EQUAL(opened.mSlot, verdict.mSlot);
  // The caller gets the right cookie again.
  LONGS_EQUAL(opened.mCookie, verdict.mCookie);
}

/// Guards against a flow held at the upstream of its opening packet although a
/// copy opened it elsewhere, through another VM.
TEST(CookieSecondChoice, a_flow_opened_elsewhere_moves_to_its_upstream)
{
  auto const otherSlot = SlotOf(mSteering.View(), "b1");
  auto const otherCookie = mSteering.View().mUpstreams[otherSlot].mCookie;
  SampleFlow flow;
  auto const first = mSteering.Steer(mNow, flow.Opening());
  CHECK(first.mSlot != otherSlot);
  mNow += milliseconds{ 208 };
  auto const moved = mSteering.Steer(mNow, flow.FirstData(otherCookie));
  LONGS_EQUAL(otherSlot, moved.mSlot);
  auto const kept = mSteering.Steer(mNow, flow.Acknowledge(first.mCookie));
  LONGS_EQUAL(otherSlot, kept.mSlot);
}

/// Guards against packets of a new flow at the upstream of a former one whose
/// end, and the new flow's opening packet, passed through other VMs.
TEST(CookieSecondChoice, a_new_flow_from_a_reused_port_follows_its_cookie)
{
  auto const otherSlot = SlotOf(mSteering.View(), "b1");
  auto const otherCookie = mSteering.View().mUpstreams[otherSlot].mCookie;
  SampleFlow former;
  CHECK(CompleteRequest(former).mSlot != otherSlot);
  auto packet = SampleFlow().Data(otherCookie);
  packet.mSequence += 3000000000U;
  packet.mAcknowledged += 1000000;
  LONGS_EQUAL(otherSlot, mSteering.Steer(mNow, packet).mSlot);
  packet.mDataBytes = 0;
  packet.mCloses = true;
  LONGS_EQUAL(otherSlot, mSteering.Steer(mNow, packet).mSlot);
}

/// Guards against a flow held at an upstream where it never opened.
TEST(CookieSecondChoice, a_flow_whose_second_upstream_never_answers_stays)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  CHECK(first.mSlot != second.mSlot);
  mNow += milliseconds{ 8 };
  for (int count = 0; count < 3; ++count) {
    auto const data = flow.Data(first.mCookie);
    LONGS_EQUAL(first.mSlot, mSteering.Steer(mNow, data).mSlot);
    mNow += milliseconds{ 20 };
    auto const late = flow.Acknowledge(second.mCookie);
    LONGS_EQUAL(first.mSlot, mSteering.Steer(mNow, late).mSlot);
  }
}

/// Guards against a late answer to an opening packet after routers have sent
/// the flow to another VM.
TEST(CookieSecondChoice, a_flow_from_another_vm_keeps_the_upstream_that_answers)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(second.mCookie));
  CookieSteering newVm(2);
  newVm.SetView(mStore.View(mNow));
  (void)newVm.Steer(mNow, flow.Data(second.mCookie));
  mNow += milliseconds{ 20 };
  (void)newVm.Steer(mNow, flow.Acknowledge(second.mCookie));
  auto const verdict = newVm.Steer(mNow, flow.Data(first.mCookie));
  LONGS_EQUAL(second.mSlot, verdict.mSlot);
}

/// Guards against a flow held at an upstream that never answered it, because a
/// late cookie was the first that a VM saw.
TEST(CookieSecondChoice, a_flow_from_another_vm_leaves_a_late_cookie)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(second.mCookie));
  CookieSteering newVm(2);
  newVm.SetView(mStore.View(mNow));
  (void)newVm.Steer(mNow, flow.Data(first.mCookie));
  mNow += milliseconds{ 200 };
  (void)newVm.Steer(mNow, flow.Data(first.mCookie, true));
  // The answer to an earlier request brings the right cookie.
  auto const verdict = newVm.Steer(mNow, flow.Acknowledge(second.mCookie));
  LONGS_EQUAL(second.mSlot, verdict.mSlot);
}

/// Guards against a flow held at an upstream that never answered it, because
/// this VM knew the opening packet and saw a late cookie first.
TEST(CookieSecondChoice, a_flow_that_went_on_elsewhere_leaves_a_late_cookie)
{
  auto const otherSlot = SlotOf(mSteering.View(), "b1");
  auto const otherCookie = mSteering.View().mUpstreams[otherSlot].mCookie;
  SampleFlow flow;
  auto const first = mSteering.Steer(mNow, flow.Opening());
  CHECK(first.mSlot != otherSlot);
  // A copy went through another VM, and so did the first request.
  (void)flow.FirstData(otherCookie);
  (void)flow.Acknowledge(otherCookie);
  mNow += milliseconds{ 400 };
  (void)mSteering.Steer(mNow, flow.Data(first.mCookie));
  auto const verdict = mSteering.Steer(mNow, flow.Acknowledge(otherCookie));
  LONGS_EQUAL(otherSlot, verdict.mSlot);
}

/// Guards against a late answer to an opening packet while the upstream that
/// opened the flow stands still in its turn.
TEST(CookieSecondChoice, a_flow_from_another_vm_waits_for_its_upstream)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  mNow += milliseconds{ 8 };
  (void)mSteering.Steer(mNow, flow.FirstData(second.mCookie));
  CookieSteering newVm(2);
  newVm.SetView(mStore.View(mNow));
  (void)newVm.Steer(mNow, flow.Data(second.mCookie));
  mNow += milliseconds{ 200 };
  auto const verdict = newVm.Steer(mNow, flow.Data(first.mCookie, true));
  LONGS_EQUAL(second.mSlot, verdict.mSlot);
}
