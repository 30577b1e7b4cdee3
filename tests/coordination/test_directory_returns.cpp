#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
/// The service's cold time, and a heartbeat with the delay of reports.
constexpr milliseconds kReturnColdTime{ 2000 };

} // namespace

// Guards against review/8: a VM that starts as a zone is taken back floods the
// zone's upstreams, which may be cold.
TEST_GROUP(DirectoryReturns)
{
  SampleStore mWatching;
  TimePoint mNow = kStart;

  void setup() override
  {
    List(mWatching);
    mNow += seconds{ 20 };
    mWatching.Evacuate(mNow, "b", true);
    mNow += seconds{ 10 };
    mWatching.Evacuate(mNow, "b", false);
  }

  /// Takes all that a peer knows, as after a query.
  void Query(Directory & aVm, Directory & aPeer)
  {
    auto const lists =
      FromMessage(ToMessage(aPeer.NewerThan(aVm.GaplessDigest(), mNow)));
    (void)aVm.ApplyReturns(mNow, lists.mReturns);
    auto const apply =
      [&](ObjectKind aKind, ObjectPage const& aPage, StorePosition aAfter) {
        if (aPage.mPosition.IsSet()) {
          bool const isWhole = !aAfter.IsSet();
          (void)aVm.Apply(
            mNow, { aKind, aPage.mChanges, isWhole, aPage.mPosition, aAfter });
        }
      };
    apply(ObjectKind::Configuration, lists.mConfiguration, {});
    apply(ObjectKind::Upstreams, lists.mUpstreams, lists.mUpstreamsAfter);
    apply(ObjectKind::Evacuations, lists.mEvacuations, {});
  }

  /// Lists all kinds in the store.
  void List(SampleStore & aVm)
  {
    aVm.ListAll(mNow);
    aVm.TargetDirectory().RecordEvacuationList(mNow, false);
    aVm.Configure(mNow, SampleConfiguration());
    aVm.Register(mNow, SampleUpstream("b1", "b"));
  }

  TimePoint ColdUntil(Directory & aVm)
  {
    auto const view = aVm.BuildView(mNow);
    return view->mUpstreams[SlotOf(*view, "b1")].mColdUntil;
  }
};

TEST(DirectoryReturns, a_vm_that_starts_learns_of_a_return_from_its_peer)
{
  auto const returnedAt = mNow;
  mNow += milliseconds{ 300 };
  Directory started(SampleSettings());
  Query(started, mWatching.TargetDirectory());
  CHECK(ColdUntil(started) == returnedAt + kReturnColdTime);
  CHECK(started.KnowsReturns(mNow));
}

TEST(DirectoryReturns, a_peer_that_has_just_started_does_not_vouch_for_returns)
{
  mNow += milliseconds{ 300 };
  SampleStore listed;
  List(listed);
  auto& peer = listed.TargetDirectory();
  mNow += milliseconds{ 300 };
  Directory started(SampleSettings());
  Query(started, peer);
  CHECK_FALSE(started.KnowsReturns(mNow));
  Query(started, mWatching.TargetDirectory());
  CHECK(started.KnowsReturns(mNow));
  CHECK(ColdUntil(started) > mNow);
}

TEST(DirectoryReturns, a_vm_knows_by_itself_once_it_has_watched_long_enough)
{
  SampleStore listed;
  List(listed);
  auto& vm = listed.TargetDirectory();
  CHECK_FALSE(vm.KnowsReturns(mNow + kReturnColdTime - milliseconds{ 1 }));
  CHECK(vm.KnowsReturns(mNow + kReturnColdTime));
  // A list shows no evacuation that began and ended since the last watch.
  mNow += seconds{ 10 };
  List(listed);
  CHECK_FALSE(vm.KnowsReturns(mNow));
}

// Guards against review/14: all VMs start just after a zone was taken back, and
// none of them has watched the evacuation.
TEST(DirectoryReturns, the_history_of_a_list_shows_a_return)
{
  SampleStore listed;
  List(listed);
  auto& vm = listed.TargetDirectory();
  StorePosition const upTo{ 0, 90 };
  (void)vm.Apply(mNow,
                 { ObjectKind::Evacuations,
                   { { "b", { 0, 80 }, true, EvacuationRecord{} } },
                   true,
                   upTo,
                   {},
                   true });
  vm.RecordEvacuationList(mNow, true);
  CHECK(ColdUntil(vm) == mNow + kReturnColdTime);
  // VMs that start later learn of it.
  CHECK(vm.KnowsReturns(mNow));
  mNow += milliseconds{ 300 };
  Directory started(SampleSettings());
  Query(started, vm);
  CHECK(started.KnowsReturns(mNow));
  CHECK(ColdUntil(started) > mNow);
}

TEST(DirectoryReturns, the_end_of_an_evacuation_that_was_never_seen_counts)
{
  SampleStore listed;
  List(listed);
  listed.Evacuate(mNow, "b", false);
  CHECK(ColdUntil(listed.TargetDirectory()) == mNow + kReturnColdTime);
}

TEST(DirectoryReturns, a_peer_does_not_make_a_return_older)
{
  auto const returnedAt = mNow;
  mNow += milliseconds{ 300 };
  auto& vm = mWatching.TargetDirectory();
  (void)vm.ApplyReturns(mNow, { { { "b", seconds{ 1 } } }, seconds{ 30 } });
  CHECK(ColdUntil(vm) == returnedAt + kReturnColdTime);
}

TEST(DirectoryReturns, an_older_program_neither_reports_nor_vouches)
{
  mNow += milliseconds{ 300 };
  auto reply = ToMessage(mWatching.TargetDirectory().NewerThan({}, mNow));
  LONGS_EQUAL(1, reply.returned_zones_size());
  reply.clear_returned_zones();
  reply.clear_returns_known_ms();
  auto const lists = FromMessage(reply);
  CHECK(lists.mReturns.mZones.empty());
  CHECK(lists.mReturns.mKnownFor == milliseconds{ 0 });
}
