#include "support/cookie_fixture.hpp"

#include <set>

using namespace tarragonsill;
using namespace tarragonsill::Test;

/// The pattern: a zone loses all its upstreams at once, later its links, and
/// gets its upstreams back.
TEST_GROUP_BASE(CookieZoneSilence, CookieFixture)
{
  std::uint16_t mPort = 42000;

  void setup() override
  {
    CookieFixture::setup();
    for (char const* name : { "a4", "a5", "a6" }) {
      mStore.Register(mNow, SampleUpstream(name, "a"));
    }
    for (char const* name : { "b2", "b3", "b4" }) {
      mStore.Register(mNow, SampleUpstream(name, "b"));
    }
    RefreshView();
  }

  /// Opens a flow whose opening packet is not answered; returns the zone of its
  /// upstream.
  char OpenUnanswered()
  {
    SampleFlow const flow(CallerAt(mPort++));
    return UpstreamOf(mSteering.Steer(mNow, flow.Opening())).front();
  }

  /// Opens flows at so many upstreams of zone `a`, none of which answers, that
  /// the zone counts as silent.
  void SilenceOwnZone()
  {
    for (std::size_t flow = 0; flow < ZoneSilenceDetector::kMinUpstreams;
         ++flow) {
      CHECK_EQUAL('a', OpenUnanswered());
    }
    mNow += PassiveHealthTracker::kHandshakeTimeout;
  }

  /// Lets an upstream of zone `a` answer a flow that it already holds.
  void AnswerFromOwnZone(SampleFlow & aFlow, std::uint32_t aCookie)
  {
    (void)mSteering.Steer(mNow, aFlow.Data(aCookie));
    mNow += milliseconds{ 8 };
    (void)mSteering.Steer(mNow, aFlow.Acknowledge(aCookie));
  }
};

TEST(CookieZoneSilence, new_flows_leave_a_zone_of_which_no_upstream_answers)
{
  SilenceOwnZone();
  CHECK(mSteering.OwnZoneReach(mNow) == ZoneReach::Silent);
  // Three upstreams of the zone have not been tried yet.
  for (int flow = 0; flow < 20; ++flow) {
    CHECK_EQUAL('b', OpenUnanswered());
    mSteering.Sweep(mNow);
  }
}

TEST(CookieZoneSilence, without_the_mechanism_each_upstream_is_tried)
{
  CookieSteering steering(1, Mechanisms::Without({ "silent_zones" }).Take());
  steering.SetView(mStore.View(mNow));
  std::set<std::uint32_t> tried;
  for (int flow = 0; flow < 6; ++flow) {
    SampleFlow const unanswered(CallerAt(mPort++));
    auto const verdict = steering.Steer(mNow, unanswered.Opening());
    CHECK_EQUAL('a', UpstreamOf(verdict).front());
    tried.insert(verdict.mSlot);
    mNow += PassiveHealthTracker::kHandshakeTimeout;
  }
  CHECK_EQUAL(6, tried.size());
  CHECK(steering.OwnZoneReach(mNow) == ZoneReach::Unknown);
}

TEST(CookieZoneSilence, unanswered_flows_at_one_upstream_do_not_silence_a_zone)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  for (int request = 0; request < 5; ++request) {
    (void)mSteering.Steer(mNow, flow.Data(opened.mCookie));
    mNow += milliseconds{ 200 };
    (void)mSteering.Steer(mNow, flow.Data(opened.mCookie, true));
  }
  CHECK(mSteering.OwnZoneReach(mNow) != ZoneReach::Silent);
}

TEST(CookieZoneSilence, an_answer_of_any_upstream_ends_the_silence)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  SilenceOwnZone();
  CHECK(mSteering.OwnZoneReach(mNow) == ZoneReach::Silent);
  AnswerFromOwnZone(flow, opened.mCookie);
  CHECK(mSteering.OwnZoneReach(mNow) != ZoneReach::Silent);
  CHECK_EQUAL('a', OpenUnanswered());
}

TEST(CookieZoneSilence, an_old_answer_does_not_show_that_the_zone_answers)
{
  (void)CompleteRequestAt("a1");
  CHECK(mSteering.OwnZoneReach(mNow) == ZoneReach::Answering);
  mNow += ZoneSilenceDetector::kAnswerMaxAge;
  CHECK(mSteering.OwnZoneReach(mNow) == ZoneReach::Unknown);
}

TEST(CookieZoneSilence, a_second_choice_is_in_another_zone_than_the_first)
{
  SampleFlow flow(CallerAt(mPort++));
  CHECK_EQUAL('a', UpstreamOf(mSteering.Steer(mNow, flow.Opening())).front());
  mNow += milliseconds{ 200 };
  CHECK_EQUAL('b', UpstreamOf(mSteering.Steer(mNow, flow.Opening(1))).front());
  // The other zone may be the one that is out of reach.
  mNow += milliseconds{ 400 };
  CHECK_EQUAL('a', UpstreamOf(mSteering.Steer(mNow, flow.Opening(2))).front());
}

TEST(CookieZoneSilence, a_zone_that_falls_silent_is_reported_once)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  SilenceOwnZone();
  auto const silent = mSteering.TakeZoneChanges(mNow);
  LONGS_EQUAL(1, silent.size());
  STRCMP_EQUAL("a", silent.front().mZone.c_str());
  CHECK(silent.front().mIsSilent);
  LONGS_EQUAL(0, mSteering.TakeZoneChanges(mNow).size());
  AnswerFromOwnZone(flow, opened.mCookie);
  auto const answering = mSteering.TakeZoneChanges(mNow);
  LONGS_EQUAL(1, answering.size());
  CHECK_FALSE(answering.front().mIsSilent);
}

TEST(CookieZoneSilence, an_upstream_that_registers_ends_the_silence)
{
  SilenceOwnZone();
  mStore.Register(mNow, SampleUpstream("a7", "a"));
  RefreshView();
  CHECK(mSteering.OwnZoneReach(mNow) != ZoneReach::Silent);
  CHECK_EQUAL('a', OpenUnanswered());
}

TEST(CookieZoneSilence, a_silent_zone_gets_one_trial_flow_per_interval)
{
  SilenceOwnZone();
  int trials = 0;
  auto const end = mNow + 5 * PassiveHealthTracker::kProbationInterval;
  while (mNow < end) {
    mNow += milliseconds{ 20 };
    // Upstreams of zone `b` answer.
    SampleFlow flow(CallerAt(mPort++));
    trials += UpstreamOf(CompleteRequest(flow)).front() == 'a' ? 1 : 0;
    if (mSteering.OwnZoneReach(mNow) == ZoneReach::Silent) {
      continue;
    }
    break; // `CompleteRequest` answered the trial flow.
  }
  CHECK_EQUAL(1, trials);
  CHECK(mSteering.OwnZoneReach(mNow) != ZoneReach::Silent);
}

TEST(CookieZoneSilence, a_local_pause_discards_attempts_without_a_verdict)
{
  CHECK_EQUAL('a', OpenUnanswered());
  CHECK_EQUAL('a', OpenUnanswered());
  mNow += seconds{ 2 };
  mSteering.HandleLocalPause(mNow);
  mNow += milliseconds{ 100 };
  CHECK_EQUAL('a', OpenUnanswered());
  mNow += PassiveHealthTracker::kHandshakeTimeout;
  CHECK(mSteering.OwnZoneReach(mNow) != ZoneReach::Silent);
}
