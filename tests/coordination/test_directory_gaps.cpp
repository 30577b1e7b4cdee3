#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
/// The position up to which all VMs know everything at first.
constexpr std::uint64_t kListed = 50;

StorePosition
At(std::uint64_t aRevision)
{
  return { 0, aRevision };
}

ObjectChange
Registered(std::string const& aName,
           std::uint64_t aRevision,
           bool aIsDraining = false)
{
  auto registration = SampleUpstream(aName, "a");
  registration.mDraining = aIsDraining;
  return { aName, At(aRevision), false, registration };
}

ObjectChange
Removed(std::string const& aName, std::uint64_t aRevision)
{
  return { aName, At(aRevision), true, InvalidRecord{} };
}

/// The directory of a VM that has not listed any upstreams.
class Vm
{
public:
  Vm()
  {
    List(ObjectKind::Configuration,
         kListed,
         { { "main", At(kListed), false, SampleConfiguration() } });
  }

  /// Lists the upstreams `a1` and `a2`.
  void ListUpstreams()
  {
    List(ObjectKind::Upstreams,
         kListed,
         { Registered("a1", kListed - 1), Registered("a2", kListed) });
  }

  void List(ObjectKind aKind,
            std::uint64_t aUpTo,
            std::vector<ObjectChange> aObjects)
  {
    (void)mDirectory.Apply(kStart,
                           { aKind, std::move(aObjects), true, At(aUpTo), {} });
  }

  /// Applies changes of upstreams that a watch brought or a peer relayed.
  void Update(std::uint64_t aAfter,
              std::uint64_t aUpTo,
              std::vector<ObjectChange> aChanges)
  {
    (void)mDirectory.Apply(kStart,
                           { ObjectKind::Upstreams,
                             std::move(aChanges),
                             false,
                             At(aUpTo),
                             At(aAfter) });
  }

  /// Takes what a peer knows, as after a query.
  void Query(Vm& aPeer)
  {
    auto const lists = FromMessage(ToMessage(
      aPeer.mDirectory.NewerThan(mDirectory.GaplessDigest(), kStart)));
    (void)mDirectory.Apply(kStart,
                           { ObjectKind::Upstreams,
                             lists.mUpstreams.mChanges,
                             !lists.mUpstreamsAfter.IsSet(),
                             lists.mUpstreams.mPosition,
                             lists.mUpstreamsAfter });
  }

  /// Takes the report of a watcher that misses nothing up to a position.
  void HearWatcher(Vm& aWatcher, std::uint64_t aCompleteTo)
  {
    mDirectory.AdvanceCompleteTo(aWatcher.mDirectory.Digest(), At(aCompleteTo));
  }

  bool IsBehind(Vm& aPeer)
  {
    return mDirectory.GaplessDigest().IsBehind(aPeer.mDirectory.Digest());
  }

  UpstreamAvailability AvailabilityOf(std::string const& aName)
  {
    auto const view = mDirectory.BuildView(kStart + seconds{ 10 });
    return view->mUpstreams[SlotOf(*view, aName)].mAvailability;
  }

  Directory mDirectory{ SampleSettings() };
};

} // namespace

// Guards against state of peers that is taken for complete though they miss a
// change (review/6: a VM sends flows to an upstream that drains).
TEST_GROUP(DirectoryGaps)
{
  Vm mWatcher;
  Vm mRelying;

  void setup() override
  {
    mWatcher.ListUpstreams();
    mRelying.ListUpstreams();
  }

  /// The watcher reads that `a1` drains and that `a3` is added; the relying VM
  /// hears only of the latter.
  void MissDrain()
  {
    mWatcher.List(
      ObjectKind::Upstreams,
      kListed + 1,
      { Registered("a1", kListed + 1, true), Registered("a2", kListed) });
    auto const added = Registered("a3", kListed + 2);
    mWatcher.Update(kListed + 1, kListed + 2, { added });
    mRelying.Update(kListed + 1, kListed + 2, { added });
  }

  void CheckMissesUntilQuery(Vm & aVm)
  {
    CHECK(aVm.IsBehind(mWatcher));
    CHECK(aVm.mDirectory.MissingChanges(ObjectKind::Upstreams).has_value());
    aVm.HearWatcher(mWatcher, kListed + 9);
    CHECK(aVm.IsBehind(mWatcher));
    aVm.Query(mWatcher);
    CHECK(aVm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
    CHECK_FALSE(aVm.IsBehind(mWatcher));
    CHECK_FALSE(
      aVm.mDirectory.MissingChanges(ObjectKind::Upstreams).has_value());
  }
};

TEST(DirectoryGaps, the_whole_list_of_a_peer_with_a_gap_leaves_that_gap)
{
  MissDrain();
  Vm started;
  started.Query(mRelying);
  CheckMissesUntilQuery(started);
}

TEST(DirectoryGaps, the_changes_of_a_peer_with_a_gap_leave_that_gap)
{
  MissDrain();
  Vm other;
  other.ListUpstreams();
  other.Query(mRelying);
  CheckMissesUntilQuery(other);
}

TEST(DirectoryGaps, two_vms_that_start_together_do_not_confirm_each_other)
{
  MissDrain();
  Vm first;
  Vm second;
  first.Query(mRelying);
  second.Query(first);
  first.Query(second);
  CheckMissesUntilQuery(first);
  CheckMissesUntilQuery(second);
}

TEST(DirectoryGaps, a_change_relayed_before_the_first_list_hides_no_other)
{
  MissDrain();
  Vm unaware;
  unaware.ListUpstreams();
  Vm started;
  started.Update(kListed + 1, kListed + 2, { Registered("a3", kListed + 2) });
  started.Query(unaware);
  CheckMissesUntilQuery(started);
}

TEST(DirectoryGaps, a_removal_with_the_revision_before_it_is_not_skipped)
{
  mWatcher.Update(kListed, kListed + 5, { Removed("a1", kListed - 1) });
  mRelying.HearWatcher(mWatcher, kListed + 9);
  CHECK(mRelying.IsBehind(mWatcher));
  mRelying.Query(mWatcher);
  CHECK(mRelying.AvailabilityOf("a1") == UpstreamAvailability::Gone);
  CHECK_FALSE(mRelying.IsBehind(mWatcher));
}

TEST(DirectoryGaps, a_removal_that_only_a_list_shows_is_not_skipped)
{
  mWatcher.List(
    ObjectKind::Upstreams, kListed + 5, { Registered("a2", kListed) });
  mRelying.HearWatcher(mWatcher, kListed + 9);
  CHECK(mRelying.IsBehind(mWatcher));
  mRelying.Query(mWatcher);
  CHECK(mRelying.AvailabilityOf("a1") == UpstreamAvailability::Gone);
}

TEST(DirectoryGaps, a_lost_datagram_with_removals_alone_is_noticed)
{
  // Many registrations lapse at once; each removal carries the revision of the
  // change before it, and the changes fill several datagrams.
  constexpr std::size_t kRemovals = 30;
  std::vector<ObjectChange> removals(kRemovals, Removed("a2", kListed));
  removals[kRemovals / 2] = Removed("a1", kListed - 1);
  mWatcher.Update(kListed, kListed + kRemovals, removals);
  auto const updates = ToUpdates(
    ObjectKind::Upstreams, removals, { At(kListed), At(kListed + kRemovals) });
  LONGS_EQUAL(3, updates.size());
  for (auto const index : { 0, 2 }) {
    auto const range = RangeOf(updates[index]);
    mRelying.Update(range.mAfter.mRevision,
                    range.mUpTo.mRevision,
                    ChangesOf(ObjectKind::Upstreams, updates[index]));
  }
  mRelying.HearWatcher(mWatcher, kListed + kRemovals);
  CHECK(mRelying.IsBehind(mWatcher));
  mRelying.Query(mWatcher);
  CHECK(mRelying.AvailabilityOf("a1") == UpstreamAvailability::Gone);
}
