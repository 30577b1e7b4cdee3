#include "support/cookie_fixture.hpp"

#include <map>
#include <memory>

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// Guards against resets by an upstream that answers an opening packet after
/// the flow has opened at another one: a VM that has never seen the flow takes
/// the caller's cookie for that of the upstream that holds it (review/11).
TEST_GROUP_BASE(CookieLateAnswer, CookieFixture)
{
  /// The cookies that upstreams answer with: each received it last.
  std::map<std::uint32_t, std::uint32_t> mAnswerCookies;
  std::vector<std::byte> const mBytes{ std::byte{ 1 }, std::byte{ 2 } };

  /// Forwards a packet as the packet thread does.
  SteeringVerdict Steer(FlowPacket const& aPacket)
  {
    auto const verdict = mSteering.Steer(mNow, aPacket);
    mSteering.KeepOpening(mNow, aPacket, verdict, mBytes);
    if (verdict.mAction == SteeringAction::Forward) {
      mAnswerCookies[verdict.mSlot] = verdict.mCookie;
    }
    return verdict;
  }

  /// Sends the copies that are due; returns the upstreams that get one.
  std::vector<std::uint32_t> SendCopies()
  {
    std::vector<std::uint32_t> slots;
    for (auto const& copy : mSteering.TakeOpeningCopies()) {
      CHECK(copy.mBytes == mBytes);
      mAnswerCookies[copy.mVerdict.mSlot] = copy.mVerdict.mCookie;
      slots.push_back(copy.mVerdict.mSlot);
    }
    return slots;
  }

  /// Offers a flow to two upstreams, because the first one does not answer in
  /// time.
  std::pair<SteeringVerdict, SteeringVerdict> OfferTwice(
    SampleFlow const& aFlow)
  {
    auto const first = Steer(aFlow.Opening());
    mNow += milliseconds{ 200 };
    auto const second = Steer(aFlow.Opening(1));
    CHECK(first.mSlot != second.mSlot);
    mNow += milliseconds{ 8 };
    return { first, second };
  }

  /// Returns the upstream to which a VM that has never seen a flow forwards it.
  std::uint32_t SlotByOtherVm(FlowPacket const& aPacket)
  {
    CookieSteering otherVm(2);
    otherVm.SetView(mStore.View(mNow));
    return otherVm.Steer(mNow, aPacket).mSlot;
  }
};

TEST(CookieLateAnswer, the_upstream_that_lost_names_the_one_that_holds_the_flow)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  (void)Steer(flow.FirstData(second.mCookie));
  LONGS_EQUAL(1, SendCopies().size());
  // The late answer of the first upstream reaches the caller just before
  // routers send the flow to another VM.
  auto const lateCookie = mAnswerCookies[first.mSlot];
  LONGS_EQUAL(second.mSlot, SlotByOtherVm(flow.Data(lateCookie)));
}

TEST(CookieLateAnswer,
     the_second_upstream_names_the_first_one_if_that_was_sooner)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  (void)Steer(flow.FirstData(first.mCookie));
  LONGS_EQUAL(1, SendCopies().size());
  auto const lateCookie = mAnswerCookies[second.mSlot];
  LONGS_EQUAL(first.mSlot, SlotByOtherVm(flow.Data(lateCookie)));
}

TEST(CookieLateAnswer,
     an_upstream_that_another_vm_chose_is_corrected_as_it_answers)
{
  auto const otherSlot = SlotOf(mSteering.View(), "b1");
  auto const otherCookie = mSteering.View().mUpstreams[otherSlot].mCookie;
  SampleFlow flow;
  auto const opened = Steer(flow.Opening(1));
  (void)Steer(flow.FirstData(opened.mCookie));
  LONGS_EQUAL(0, SendCopies().size());
  mNow += milliseconds{ 300 };
  (void)Steer(flow.Data(otherCookie));
  CHECK(SendCopies() == std::vector{ otherSlot });
  LONGS_EQUAL(opened.mCookie, mAnswerCookies[otherSlot]);
}

TEST(CookieLateAnswer,
     a_copy_that_was_lost_is_repeated_after_the_next_late_answer)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  (void)Steer(flow.FirstData(second.mCookie));
  LONGS_EQUAL(1, SendCopies().size());
  (void)Steer(flow.Acknowledge(second.mCookie));
  LONGS_EQUAL(0, SendCopies().size());
  mNow += milliseconds{ 400 };
  (void)Steer(flow.Data(first.mCookie));
  CHECK(SendCopies() == std::vector{ first.mSlot });
}

TEST(CookieLateAnswer, an_upstream_that_gave_up_gets_no_copy)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  (void)Steer(flow.FirstData(second.mCookie));
  (void)SendCopies();
  mNow += OfferedOpenings::kMaxAnswerAge;
  (void)Steer(flow.Data(first.mCookie));
  LONGS_EQUAL(0, SendCopies().size());
}

TEST(CookieLateAnswer, a_process_that_started_meanwhile_gets_no_copy)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  auto restarted = mSteering.View().mUpstreams[first.mSlot].mRegistration;
  ++restarted.mStartMark;
  mStore.Register(mNow, restarted);
  RefreshView();
  (void)Steer(flow.FirstData(second.mCookie));
  LONGS_EQUAL(0, SendCopies().size());
}

TEST(CookieLateAnswer, an_upstream_that_began_to_drain_gets_no_copy_late)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  Drain(mSteering.View().mUpstreams[first.mSlot].mRegistration.mName);
  mNow += milliseconds{ 600 };
  (void)Steer(flow.FirstData(second.mCookie));
  LONGS_EQUAL(0, SendCopies().size());
}

TEST(CookieLateAnswer, a_flow_that_was_offered_once_needs_no_copy)
{
  SampleFlow flow;
  auto const opened = Steer(flow.Opening());
  (void)Steer(flow.FirstData(opened.mCookie));
  LONGS_EQUAL(0, SendCopies().size());
}

/// Guards against a late answer of an upstream that another VM chose, which the
/// VM that saw the flow open does not know (seed 649 of the soak).
TEST(CookieLateAnswer, a_vm_that_offered_a_flow_first_corrects_its_upstream)
{
  SampleFlow flow;
  auto const first = Steer(flow.Opening());
  CookieSteering otherVm(2);
  otherVm.SetView(mStore.View(mNow));
  mNow += milliseconds{ 200 };
  auto const cookie =
    mSteering.View().mUpstreams[SlotOf(mSteering.View(), "b1")].mCookie;
  auto const copy = flow.Opening(1);
  otherVm.KeepOpening(mNow, copy, otherVm.Steer(mNow, copy), mBytes);
  mNow += milliseconds{ 8 };
  (void)otherVm.Steer(mNow, flow.FirstData(cookie));
  auto const held = otherVm.TakeHeldOpenings();
  LONGS_EQUAL(1, held.size());
  CHECK(held.front().mPacket == mBytes);
  mSteering.RecordHeldOpening(
    mNow, copy, held.front().mPacket, held.front().mCookie);
  CHECK(SendCopies() == std::vector{ first.mSlot });
  LONGS_EQUAL(cookie, mAnswerCookies[first.mSlot]);
  // It is told once.
  (void)otherVm.Steer(mNow, flow.Data(cookie));
  LONGS_EQUAL(0, otherVm.TakeHeldOpenings().size());
}

TEST(CookieLateAnswer, a_vm_that_was_told_of_a_flow_keeps_it_at_its_upstream)
{
  SampleFlow flow;
  auto const [first, second] = OfferTwice(flow);
  (void)Steer(flow.FirstData(second.mCookie));
  auto const held = mSteering.TakeHeldOpenings();
  CookieSteering otherVm(2);
  otherVm.SetView(mStore.View(mNow));
  otherVm.RecordHeldOpening(
    mNow, flow.Opening(1), held.front().mPacket, held.front().mCookie);
  auto const verdict = otherVm.Steer(mNow, flow.Data(first.mCookie));
  LONGS_EQUAL(second.mSlot, verdict.mSlot);
  LONGS_EQUAL(second.mCookie, verdict.mCookie);
  // The late answer shows that the upstream needs another copy.
  auto const copies = otherVm.TakeOpeningCopies();
  LONGS_EQUAL(1, copies.size());
  LONGS_EQUAL(first.mSlot, copies.front().mVerdict.mSlot);
}

TEST(CookieLateAnswer,
     a_report_of_an_earlier_flow_from_the_same_port_is_ignored)
{
  SampleFlow flow;
  auto earlier = flow.Opening(1);
  earlier.mSequence += 1000000000U;
  auto const other = SlotOf(mSteering.View(), "b1");
  mSteering.RecordHeldOpening(
    mNow, earlier, mBytes, mSteering.View().mUpstreams[other].mCookie);
  auto const opened = Steer(flow.Opening());
  CHECK(opened.mSlot != other);
  LONGS_EQUAL(opened.mSlot, Steer(flow.FirstData(opened.mCookie)).mSlot);
}

TEST(CookieLateAnswer, a_flow_that_goes_on_through_a_vm_is_kept_there)
{
  // Guards against a late cookie at a VM that has not seen the flow open.
  auto const lateCookie =
    mSteering.View().mUpstreams[SlotOf(mSteering.View(), "b1")].mCookie;
  SampleFlow flow;
  auto const opened = CompleteRequest(flow);
  std::destroy_at(&mSteering);
  std::construct_at(&mSteering, 2U);
  RefreshView();
  (void)Steer(flow.Data(opened.mCookie));
  mNow += milliseconds{ 300 };
  (void)CompleteRequestAt(UpstreamOf(opened));
  LONGS_EQUAL(opened.mSlot, Steer(flow.Acknowledge(lateCookie)).mSlot);
}
