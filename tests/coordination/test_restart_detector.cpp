#include "support/cookie_fixture.hpp"
#include "tarragonsill/coordination/tarragonsill_restart_detector.hpp"
#include "tarragonsill/coordination/tarragonsill_restart_relay.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr milliseconds kColdTime{ 2000 };

} // namespace

TEST_GROUP(RestartDetector)
{
  RestartDetector mDetector;
  TimePoint mNow = kStart;

  void Lose()
  {
    mDetector.RecordLost(mNow, kColdTime, true);
    mNow += milliseconds{ 300 };
  }

  bool MayBeCold() const
  {
    return mNow < mDetector.ColdUntil();
  }
};

TEST(RestartDetector, an_upstream_that_runs_again_may_be_cold_for_its_cold_time)
{
  CHECK_FALSE(MayBeCold());
  Lose();
  CHECK(MayBeCold());
  mNow += seconds{ 10 };
  CHECK(MayBeCold());
  mDetector.RecordRunning(mNow);
  mDetector.RecordRunning(mNow + milliseconds{ 500 });
  CHECK(mDetector.ColdUntil() == mNow + kColdTime);
}

TEST(RestartDetector, an_answer_to_a_flow_from_before_shows_the_same_process)
{
  Lose();
  mDetector.RecordRunning(mNow);
  // This answer may have been on its way.
  mDetector.RecordFlowAnswer(kStart - seconds{ 1 }, kStart - milliseconds{ 1 });
  CHECK(MayBeCold());
  // This flow was opened since.
  mDetector.RecordFlowAnswer(mNow, mNow + milliseconds{ 1 });
  CHECK(MayBeCold());
  mDetector.RecordFlowAnswer(kStart - seconds{ 1 }, mNow);
  CHECK_FALSE(MayBeCold());
}

TEST(RestartDetector, a_registration_written_since_shows_the_same_process)
{
  Lose();
  mDetector.RecordRunning(mNow);
  // It may have been written before and come late.
  mDetector.RecordRegistration({ 0, 80 });
  CHECK(MayBeCold());
  mDetector.RecordCurrentState(kStart - milliseconds{ 1 }, { 0, 80 });
  mDetector.RecordRegistration({ 0, 81 });
  CHECK(MayBeCold());
  mDetector.RecordCurrentState(mNow, { 0, 81 });
  mDetector.RecordRegistration({ 0, 81 });
  CHECK(MayBeCold());
  mDetector.RecordRegistration({ 0, 82 });
  CHECK_FALSE(MayBeCold());
}

TEST(RestartDetector, a_second_loss_keeps_what_the_first_one_showed)
{
  Lose();
  mDetector.RecordRunning(mNow);
  auto const openedSince = mNow;
  mNow += milliseconds{ 300 };
  mDetector.RecordLost(mNow, kColdTime, false);
  mDetector.RecordRunning(mNow + milliseconds{ 500 });
  mDetector.RecordFlowAnswer(openedSince, mNow + milliseconds{ 501 });
  CHECK(MayBeCold());
  CHECK(mDetector.IsShown(mNow));
}

/// Upstreams whose process ends and starts again while the store does not
/// answer, so that their registrations are those of earlier processes.
TEST_GROUP_BASE(CookieRestarts, CookieFixture)
{
  std::uint32_t mSlot = 0;

  void setup() override
  {
    CookieFixture::setup();
    mSlot = SlotOf(mSteering.View(), "a1");
    SetAdmittingVms({ mStore.TargetDirectory().Era() + 1 });
  }

  /// This VM is the first of the list.
  void SetAdmittingVms(std::vector<std::uint64_t> const& aVms)
  {
    mStore.TargetDirectory().SetAdmittingVms(aVms, 1);
    RefreshView();
  }

  /// A probe of an upstream that another flow suspects.
  void Probe(ConnectResult aResult)
  {
    SampleFlow flow(CallerAt(mNextPort++));
    do {
      flow = SampleFlow(CallerAt(mNextPort++));
    } while (mSteering.Steer(mNow, flow.Opening()).mSlot != mSlot);
    mNow += milliseconds{ 100 };
    RunProbes(mSlot, aResult);
  }

  /// Opens flows at the same time; returns how many reach the upstream.
  int CountFlows()
  {
    int count = 0;
    for (int flow = 0; flow < 60; ++flow) {
      auto const verdict =
        mSteering.Steer(mNow, SampleFlow(CallerAt(mNextPort++)).Opening());
      bool const isForwarded = verdict.mAction == SteeringAction::Forward;
      count += isForwarded && verdict.mSlot == mSlot ? 1 : 0;
    }
    return count;
  }
};

/// Guards against a flood of a new process whose registration is still that of
/// the earlier one (review/15).
TEST(CookieRestarts, an_upstream_that_refused_and_accepts_again_counts_as_cold)
{
  CHECK(CountFlows() > 4);
  Probe(ConnectResult::Refused);
  mNow += milliseconds{ 600 };
  RunProbes(mSlot, ConnectResult::Accepted);
  // Half of the limit of 8 flows in a second.
  CHECK(CountFlows() <= 4);
  auto const restarts = mSteering.Restarts(mNow);
  LONGS_EQUAL(1, restarts.size());
  STRCMP_EQUAL("a1", restarts.front().mUpstream.c_str());
  CHECK(restarts.front().mIsRunning);
  mNow += kColdTime;
  CHECK(mSteering.Restarts(mNow).empty());
}

TEST(CookieRestarts, other_vms_send_nothing_to_an_upstream_that_may_be_cold)
{
  SetAdmittingVms({});
  Probe(ConnectResult::Refused);
  mNow += milliseconds{ 600 };
  RunProbes(mSlot, ConnectResult::Accepted);
  LONGS_EQUAL(0, CountFlows());
}

TEST(CookieRestarts, a_flow_that_goes_on_ends_the_suspicion)
{
  auto [flow, opened] = CompleteRequestAt("a1");
  Probe(ConnectResult::Refused);
  mNow += milliseconds{ 600 };
  RunProbes(mSlot, ConnectResult::Accepted);
  Answer(flow, opened.mCookie);
  CHECK(mSteering.Restarts(mNow).empty());
  CHECK(mSteering.Loads()[mSlot].mMayBeColdUntil == TimePoint{});
}

TEST(CookieRestarts, the_registration_of_the_new_process_ends_the_suspicion)
{
  Probe(ConnectResult::Refused);
  auto restarted = SampleUpstream("a1", "a");
  ++restarted.mStartMark;
  mStore.Register(mNow, restarted);
  RefreshView();
  CHECK(mSteering.Loads()[mSlot].mMayBeColdUntil == TimePoint{});
}

TEST(CookieRestarts, a_report_of_another_vm_makes_an_upstream_cold)
{
  auto& directory = mStore.TargetDirectory();
  auto const mark = SampleUpstream("a1", "a").mStartMark;
  UpstreamRestart const restart{ "a1", mark, false, kColdTime };
  CHECK(directory.RecordRestart(mNow, restart));
  // It arrives by another way as well, and must not go round.
  CHECK_FALSE(directory.RecordRestart(mNow + milliseconds{ 60 }, restart));
  CHECK(directory.RecordRestart(mNow + milliseconds{ 600 }, restart));
  SetAdmittingVms({});
  LONGS_EQUAL(0, CountFlows());
  // A VM that starts now takes it from the list of this one.
  for (auto const& change : directory.NewerThan({}, mNow).mUpstreams.mChanges) {
    auto const& registration = std::get<UpstreamRegistration>(change.mContent);
    bool const isCold = registration.mRemainingColdTime > milliseconds{ 0 };
    CHECK(isCold == (change.mName == "a1"));
  }
  UpstreamRestart const other{ "a2", mark + 7, false, kColdTime };
  CHECK_FALSE(directory.RecordRestart(mNow, other));
}

TEST_GROUP(RestartRelay){
  static Member Vm(std::string const& aName,
                   std::string const& aZone){ Member member;
member.mName = aName;
member.mZone = aZone;
member.mStage = MemberStage::Serving;
return member;
}

static std::vector<Member>
Members()
{
  std::vector<Member> members;
  for (char const* zone : { "a", "b", "c" }) {
    for (int index = 0; index < 5; ++index) {
      members.push_back(Vm(zone + std::to_string(index), zone));
    }
  }
  return members;
}
}
;

TEST(RestartRelay, two_vms_of_the_zone_tell_all_of_it_and_some_of_other_zones)
{
  auto const members = Members();
  auto const relays = RestartRelay::Recipients(members, "c0", "i-1", "a");
  LONGS_EQUAL(RestartRelay::kRelays, relays.size());
  for (auto const& relay : relays) {
    auto const told =
      RestartRelay::Recipients(members, relay.mName, "i-1", "a");
    LONGS_EQUAL(4 + 2 * RestartRelay::kPerOtherZone, told.size());
  }
}

// Guards against a VM that took its state from a peer just before the report.
TEST(RestartRelay, a_vm_of_the_zone_that_is_starting_is_told)
{
  auto members = Members();
  auto const relay =
    RestartRelay::Recipients(members, "c0", "i-1", "a").front().mName;
  members.push_back(Vm("a5", "a"));
  members.back().mStage = MemberStage::Joining;
  auto const told = RestartRelay::Recipients(members, relay, "i-1", "a");
  LONGS_EQUAL(5 + 2 * RestartRelay::kPerOtherZone, told.size());
}

TEST(RestartRelay, each_state_of_a_process_is_reported_once)
{
  RestartRelay relay;
  UpstreamRestart restart{ "i-1", 7, false, kColdTime };
  LONGS_EQUAL(1, relay.TakeNew({ restart }).size());
  LONGS_EQUAL(0, relay.TakeNew({ restart }).size());
  restart.mIsRunning = true;
  LONGS_EQUAL(1, relay.TakeNew({ restart }).size());
  LONGS_EQUAL(0, relay.TakeNew({ restart }).size());
  LONGS_EQUAL(0, relay.TakeNew({}).size());
  restart.mIsRunning = false;
  LONGS_EQUAL(1, relay.TakeNew({ restart }).size());
}
