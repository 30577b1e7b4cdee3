#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

/// Store rollbacks: the store is restored from an older copy. Revisions restart
/// from that copy and are assigned again, and lost objects are written again.
using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr std::uint64_t kKnownRevision = 100;
constexpr std::uint64_t kCopyRevision = 84;

StorePosition
FirstEra(std::uint64_t aRevision)
{
  return { 1, aRevision };
}

StorePosition
SecondEra(std::uint64_t aRevision)
{
  return { 2, aRevision };
}

ObjectChange
Registered(UpstreamRegistration const& aRegistration, StorePosition aPosition)
{
  return { aRegistration.mName, aPosition, false, aRegistration };
}

UpstreamRegistration
Draining(char const* aName)
{
  auto registration = SampleUpstream(aName, "a");
  registration.mDraining = true;
  return registration;
}

ObjectChange
Evacuated(char const* aZone, StorePosition aPosition)
{
  return { aZone, aPosition, false, EvacuationRecord{} };
}

/// A VM that is complete up to revision 100 of the store's first era.
struct RollbackVm
{
  explicit RollbackVm(std::vector<ObjectChange> aUpstreams,
                      std::vector<ObjectChange> aEvacuations = {})
    : mDirectory(SampleSettings())
  {
    ObjectChange const configuration{
      "main", FirstEra(kKnownRevision), false, SampleConfiguration(7)
    };
    List(
      ObjectKind::Configuration, FirstEra(kKnownRevision), { configuration });
    List(
      ObjectKind::Upstreams, FirstEra(kKnownRevision), std::move(aUpstreams));
    List(ObjectKind::Evacuations,
         FirstEra(kKnownRevision),
         std::move(aEvacuations));
  }

  void List(ObjectKind aKind,
            StorePosition aUpTo,
            std::vector<ObjectChange> aChanges)
  {
    (void)mDirectory.Apply(mNow, { aKind, std::move(aChanges), true, aUpTo });
  }

  void Event(ObjectKind aKind, ObjectChange aChange)
  {
    auto const position = aChange.mPosition;
    StorePosition const after{ position.mEra, position.mRevision - 1 };
    (void)mDirectory.Apply(
      mNow, { aKind, { std::move(aChange) }, false, position, after });
  }

  /// Applies the list of a copy from which the store was restored.
  void ListCopy(std::vector<ObjectChange> aUpstreams)
  {
    List(
      ObjectKind::Upstreams, SecondEra(kCopyRevision), std::move(aUpstreams));
  }

  UpstreamAvailability AvailabilityOf(char const* aName)
  {
    auto const view = mDirectory.BuildView(mNow);
    return view->mUpstreams[SlotOf(*view, aName)].mAvailability;
  }

  bool IsEvacuated(char const* aName)
  {
    (void)mDirectory.ExpireUnconfirmedEvacuations(mNow);
    auto const view = mDirectory.BuildView(mNow);
    return view->mUpstreams[SlotOf(*view, aName)].mEvacuated;
  }

  void Advance(milliseconds aTime) { mNow += aTime; }

  Directory mDirectory;
  TimePoint mNow = kStart;
};

/// Longer than any unconfirmed state lasts.
constexpr milliseconds kAfterAllTimeouts =
  2 * Directory::kEvacuationRewriteTimeout;

} // namespace

TEST_GROUP(StoreEra){};

TEST(StoreEra, a_draining_upstream_keeps_draining_after_a_rollback)
{
  RollbackVm vm({ Registered(Draining("a1"), FirstEra(90)) });
  vm.ListCopy({ Registered(SampleUpstream("a1", "a"), SecondEra(80)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
  vm.Advance(kAfterAllTimeouts);
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
}

TEST(StoreEra, an_upstream_that_drains_in_the_restored_copy_is_draining)
{
  RollbackVm vm({ Registered(SampleUpstream("a1", "a"), FirstEra(90)) });
  vm.ListCopy({ Registered(Draining("a1"), SecondEra(83)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
}

TEST(StoreEra, changes_of_the_new_era_apply_at_once)
{
  RollbackVm vm({ Registered(Draining("a1"), FirstEra(90)),
                  Registered(SampleUpstream("a2", "a"), FirstEra(91)) });
  vm.ListCopy({ Registered(Draining("a1"), SecondEra(80)),
                Registered(SampleUpstream("a2", "a"), SecondEra(81)) });
  // Revisions of the new era are lower than the known ones of the former era.
  auto const draining = Draining("a2");
  vm.Event(ObjectKind::Upstreams, Registered(draining, SecondEra(85)));
  CHECK(vm.AvailabilityOf("a2") == UpstreamAvailability::Draining);
  auto restarted = SampleUpstream("a1", "a");
  restarted.mStartMark += 1;
  vm.Event(ObjectKind::Upstreams, Registered(restarted, SecondEra(86)));
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
  vm.Event(ObjectKind::Upstreams,
           { "a1", SecondEra(87), true, InvalidRecord{} });
  CHECK(vm.AvailabilityOf("a1") != UpstreamAvailability::Serving);
}

TEST(StoreEra,
     an_upstream_that_the_restored_copy_lacks_is_missing_before_it_is_gone)
{
  RollbackVm vm({ Registered(SampleUpstream("a1", "a"), FirstEra(95)) });
  vm.ListCopy({});
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Missing);
  vm.Advance(Directory::kReregistrationTimeout + milliseconds{ 1 });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Gone);
  vm.Event(ObjectKind::Upstreams,
           Registered(SampleUpstream("a1", "a"), SecondEra(85)));
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
}

TEST(StoreEra,
     a_restored_upstream_that_was_gone_is_missing_until_it_would_have_lapsed)
{
  RollbackVm vm({ Registered(SampleUpstream("a1", "a"), FirstEra(80)) });
  vm.Event(ObjectKind::Upstreams,
           { "a1", FirstEra(101), true, InvalidRecord{} });
  vm.Advance(kAfterAllTimeouts);
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Gone);
  vm.ListCopy({ Registered(SampleUpstream("a1", "a"), SecondEra(80)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Missing);
  // Its registration would have lapsed by now if it were not running.
  vm.Advance(Directory::kHeartbeatsToLapse * SampleSettings().mHeartbeat);
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
}

TEST(StoreEra, a_restored_copy_does_not_revert_a_restart_of_an_upstream)
{
  auto restarted = SampleUpstream("a1", "a");
  restarted.mStartMark += 10;
  restarted.mAddress.mPort += 1;
  RollbackVm vm({ Registered(restarted, FirstEra(95)) });
  vm.ListCopy({ Registered(Draining("a1"), SecondEra(80)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
  auto const view = vm.mDirectory.BuildView(vm.mNow);
  CHECK(view->mUpstreams[SlotOf(*view, "a1")].mRegistration.mAddress ==
        restarted.mAddress);
}

TEST(StoreEra, a_zone_stays_evacuated_until_its_evacuation_is_written_again)
{
  RollbackVm vm({ Registered(SampleUpstream("b1", "b"), FirstEra(50)) },
                { Evacuated("b", FirstEra(95)) });
  vm.List(ObjectKind::Evacuations, SecondEra(kCopyRevision), {});
  vm.Advance(Directory::kEvacuationRewriteTimeout - milliseconds{ 1 });
  CHECK(vm.IsEvacuated("b1"));
  // A later list of the same era does not show the evacuation yet either.
  vm.List(ObjectKind::Evacuations, SecondEra(kCopyRevision + 1), {});
  CHECK(vm.IsEvacuated("b1"));
  vm.Event(ObjectKind::Evacuations, Evacuated("b", SecondEra(90)));
  vm.Advance(kAfterAllTimeouts);
  CHECK(vm.IsEvacuated("b1"));
  vm.Event(ObjectKind::Evacuations,
           { "b", SecondEra(91), true, EvacuationRecord{} });
  CHECK_FALSE(vm.IsEvacuated("b1"));
}

TEST(StoreEra, a_zone_returns_if_its_evacuation_is_not_written_again)
{
  RollbackVm vm({ Registered(SampleUpstream("b1", "b"), FirstEra(50)) },
                { Evacuated("b", FirstEra(95)) });
  vm.List(ObjectKind::Evacuations, SecondEra(kCopyRevision), {});
  vm.Advance(Directory::kEvacuationRewriteTimeout);
  LONGS_EQUAL(1, vm.mDirectory.ExpireUnconfirmedEvacuations(vm.mNow).size());
  CHECK_FALSE(vm.IsEvacuated("b1"));
}

TEST(StoreEra, a_zone_that_is_evacuated_in_the_restored_copy_is_evacuated)
{
  RollbackVm vm({ Registered(SampleUpstream("b1", "b"), FirstEra(50)) });
  vm.List(ObjectKind::Evacuations,
          SecondEra(kCopyRevision),
          { Evacuated("b", SecondEra(70)) });
  CHECK(vm.IsEvacuated("b1"));
}

TEST(StoreEra, the_configuration_version_never_decreases)
{
  RollbackVm vm({});
  auto const configure = [&](std::uint64_t aVersion, std::uint64_t aRevision) {
    vm.Event(
      ObjectKind::Configuration,
      { "main", SecondEra(aRevision), false, SampleConfiguration(aVersion) });
    return vm.mDirectory.ConfigurationVersion();
  };
  vm.List(
    ObjectKind::Configuration,
    SecondEra(kCopyRevision),
    { { "main", SecondEra(kCopyRevision), false, SampleConfiguration(5) } });
  LONGS_EQUAL(7, vm.mDirectory.ConfigurationVersion());
  LONGS_EQUAL(7, configure(7, 85));
  LONGS_EQUAL(9, configure(9, 86));
}

TEST(StoreEra, updates_of_an_older_era_are_ignored)
{
  RollbackVm vm({ Registered(SampleUpstream("a1", "a"), FirstEra(80)) });
  vm.ListCopy({ Registered(Draining("a1"), SecondEra(80)) });
  // A peer that has not observed the new era relays its state.
  vm.Event(
    ObjectKind::Upstreams,
    Registered(SampleUpstream("a1", "a"), FirstEra(kKnownRevision + 50)));
  vm.List(
    ObjectKind::Upstreams,
    FirstEra(kKnownRevision + 60),
    { Registered(SampleUpstream("a1", "a"), FirstEra(kKnownRevision + 50)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
}

TEST(StoreEra, a_peer_in_a_newer_era_is_ahead_despite_lower_revisions)
{
  RollbackVm behind({ Registered(SampleUpstream("a1", "a"), FirstEra(95)) });
  RollbackVm ahead({ Registered(SampleUpstream("a1", "a"), FirstEra(95)) });
  ahead.ListCopy({ Registered(Draining("a1"), SecondEra(80)) });
  ahead.List(ObjectKind::Evacuations, SecondEra(kCopyRevision), {});
  CHECK(behind.mDirectory.GaplessDigest().IsBehind(ahead.mDirectory.Digest()));
  CHECK_FALSE(
    ahead.mDirectory.GaplessDigest().IsBehind(behind.mDirectory.Digest()));
  auto const lists = FromMessage(ToMessage(
    ahead.mDirectory.NewerThan(behind.mDirectory.GaplessDigest(), ahead.mNow)));
  CHECK_FALSE(lists.mUpstreamsAfter.IsSet());
  behind.List(ObjectKind::Upstreams,
              lists.mUpstreams.mPosition,
              lists.mUpstreams.mChanges);
  CHECK(behind.AvailabilityOf("a1") == UpstreamAvailability::Draining);
  LONGS_EQUAL(2, behind.mDirectory.Era());
  CHECK(behind.mDirectory.GaplessDigest().mUpstreams ==
        ahead.mDirectory.GaplessDigest().mUpstreams);
}

TEST(StoreEra, lists_of_an_older_era_are_not_sent_to_peers)
{
  RollbackVm vm({ Registered(SampleUpstream("a1", "a"), FirstEra(95)) });
  auto const rollback = vm.mDirectory.ObserveEra(2);
  CHECK(rollback.has_value());
  LONGS_EQUAL(1, rollback->mUpstreams);
  CHECK_FALSE(vm.mDirectory.ObserveEra(2).has_value());
  CHECK_FALSE(vm.mDirectory.CompleteTo().IsSet());
  auto const lists = vm.mDirectory.NewerThan({}, vm.mNow);
  CHECK_FALSE(lists.mUpstreams.mPosition.IsSet());
  LONGS_EQUAL(1, lists.mConfiguration.mChanges.size());
  // Known upstreams stay in use meanwhile.
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
}

TEST(StoreEra, unconfirmed_state_is_sent_to_peers_with_its_remaining_time)
{
  RollbackVm vm({ Registered(SampleUpstream("b1", "b"), FirstEra(80)) },
                { Evacuated("b", FirstEra(95)) });
  vm.Event(ObjectKind::Upstreams,
           { "b1", FirstEra(101), true, InvalidRecord{} });
  vm.ListCopy({ Registered(SampleUpstream("b1", "b"), SecondEra(80)) });
  vm.List(ObjectKind::Evacuations, SecondEra(kCopyRevision), {});
  vm.Advance(seconds{ 1 });
  auto const lists =
    FromMessage(ToMessage(vm.mDirectory.NewerThan({}, vm.mNow)));
  Directory fresh(SampleSettings());
  auto const apply = [&](ObjectKind aKind, ObjectPage const& aPage) {
    (void)fresh.Apply(vm.mNow,
                      { aKind, aPage.mChanges, true, aPage.mPosition });
  };
  apply(ObjectKind::Configuration, lists.mConfiguration);
  apply(ObjectKind::Upstreams, lists.mUpstreams);
  apply(ObjectKind::Evacuations, lists.mEvacuations);
  auto const view = fresh.BuildView(vm.mNow);
  auto const& upstream = view->mUpstreams[SlotOf(*view, "b1")];
  CHECK(upstream.mAvailability == UpstreamAvailability::Missing);
  CHECK(upstream.mEvacuated);
  LONGS_EQUAL(0,
              fresh
                .ExpireUnconfirmedEvacuations(
                  vm.mNow + Directory::kEvacuationRewriteTimeout - seconds{ 2 })
                .size());
  LONGS_EQUAL(1,
              fresh
                .ExpireUnconfirmedEvacuations(
                  vm.mNow + Directory::kEvacuationRewriteTimeout - seconds{ 1 })
                .size());
}

TEST(StoreEra, an_update_without_an_era_has_era_zero)
{
  wire::KnowledgeUpdate update;
  update.set_after_revision(90);
  update.set_up_to_revision(120);
  auto const span = RangeOf(update);
  CHECK((span.mUpTo == StorePosition{ 0, 120 }));
  // A VM that has observed an era ignores the update. A VM whose store names no
  // era compares revisions alone.
  CHECK(span.mUpTo < FirstEra(1));
  CHECK((span.mUpTo > StorePosition{ 0, 119 }));
}
