#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

/// A store that comes back from an older copy of itself: revisions go back and
/// are given out again, and what was written since is written again.
using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr std::uint64_t kHeldRevision = 100;
constexpr std::uint64_t kCopyRevision = 84;

StorePosition
Before(std::uint64_t aRevision)
{
  return { 1, aRevision };
}

StorePosition
After(std::uint64_t aRevision)
{
  return { 2, aRevision };
}

ObjectChange
Entry(UpstreamRegistration const& aRegistration, StorePosition aPosition)
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
Evacuation(char const* aZone, StorePosition aPosition)
{
  return { aZone, aPosition, false, EvacuationRecord{} };
}

/// A VM that holds what the store said up to revision 100 of its first era.
struct Holder
{
  explicit Holder(std::vector<ObjectChange> aUpstreams,
                  std::vector<ObjectChange> aEvacuations = {})
    : mDirectory(SampleSettings())
  {
    ObjectChange const configuration{
      "main", Before(kHeldRevision), false, SampleConfiguration(7)
    };
    List(ObjectKind::Configuration, Before(kHeldRevision), { configuration });
    List(ObjectKind::Upstreams, Before(kHeldRevision), std::move(aUpstreams));
    List(
      ObjectKind::Evacuations, Before(kHeldRevision), std::move(aEvacuations));
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

  /// The store came back older, and this is the list of its copy.
  void ListCopy(std::vector<ObjectChange> aUpstreams)
  {
    List(ObjectKind::Upstreams, After(kCopyRevision), std::move(aUpstreams));
  }

  UpstreamAvailability AvailabilityOf(char const* aName)
  {
    auto const view = mDirectory.BuildView(mNow);
    return view->mUpstreams[SlotOf(*view, aName)].mAvailability;
  }

  bool IsOut(char const* aName)
  {
    (void)mDirectory.ExpireUnconfirmedEvacuations(mNow);
    auto const view = mDirectory.BuildView(mNow);
    return view->mUpstreams[SlotOf(*view, aName)].mEvacuated;
  }

  void Wait(milliseconds aTime) { mNow += aTime; }

  Directory mDirectory;
  TimePoint mNow = kStart;
};

/// Longer than any doubt lasts.
constexpr milliseconds kLong = 2 * Directory::kEvacuationRewriteTimeout;

} // namespace

TEST_GROUP(StoreEra){};

TEST(StoreEra, an_upstream_that_drains_is_not_taken_back_by_an_older_copy)
{
  Holder vm({ Entry(Draining("a1"), Before(90)) });
  vm.ListCopy({ Entry(SampleUpstream("a1", "a"), After(80)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
  vm.Wait(kLong);
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
}

TEST(StoreEra, an_upstream_that_drains_in_the_copy_gets_nothing_new)
{
  Holder vm({ Entry(SampleUpstream("a1", "a"), Before(90)) });
  vm.ListCopy({ Entry(Draining("a1"), After(83)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
}

TEST(StoreEra, what_is_written_in_the_new_era_counts_at_once)
{
  Holder vm({ Entry(Draining("a1"), Before(90)),
              Entry(SampleUpstream("a2", "a"), Before(91)) });
  vm.ListCopy({ Entry(Draining("a1"), After(80)),
                Entry(SampleUpstream("a2", "a"), After(81)) });
  // Its revisions are below those that are held of the former era.
  auto const draining = Draining("a2");
  vm.Event(ObjectKind::Upstreams, Entry(draining, After(85)));
  CHECK(vm.AvailabilityOf("a2") == UpstreamAvailability::Draining);
  auto anew = SampleUpstream("a1", "a");
  anew.mStartMark += 1;
  vm.Event(ObjectKind::Upstreams, Entry(anew, After(86)));
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
  vm.Event(ObjectKind::Upstreams, { "a1", After(87), true, InvalidRecord{} });
  CHECK(vm.AvailabilityOf("a1") != UpstreamAvailability::Serving);
}

TEST(StoreEra, an_upstream_that_the_copy_lacks_is_missing_before_it_is_gone)
{
  Holder vm({ Entry(SampleUpstream("a1", "a"), Before(95)) });
  vm.ListCopy({});
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Missing);
  vm.Wait(Directory::kReregistrationTimeout + milliseconds{ 1 });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Gone);
  vm.Event(ObjectKind::Upstreams, Entry(SampleUpstream("a1", "a"), After(85)));
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
}

TEST(StoreEra, an_upstream_that_had_gone_is_doubted_until_it_must_have_lapsed)
{
  Holder vm({ Entry(SampleUpstream("a1", "a"), Before(80)) });
  vm.Event(ObjectKind::Upstreams, { "a1", Before(101), true, InvalidRecord{} });
  vm.Wait(kLong);
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Gone);
  vm.ListCopy({ Entry(SampleUpstream("a1", "a"), After(80)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Missing);
  // It would have lapsed again by now if it did not live.
  vm.Wait(Directory::kHeartbeatsToLapse * SampleSettings().mHeartbeat);
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
}

TEST(StoreEra, a_copy_from_before_a_restart_does_not_undo_it)
{
  auto anew = SampleUpstream("a1", "a");
  anew.mStartMark += 10;
  anew.mAddress.mPort += 1;
  Holder vm({ Entry(anew, Before(95)) });
  vm.ListCopy({ Entry(Draining("a1"), After(80)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
  auto const view = vm.mDirectory.BuildView(vm.mNow);
  CHECK(view->mUpstreams[SlotOf(*view, "a1")].mRegistration.mAddress ==
        anew.mAddress);
}

TEST(StoreEra, a_zone_stays_out_until_its_evacuation_is_said_again)
{
  Holder vm({ Entry(SampleUpstream("b1", "b"), Before(50)) },
            { Evacuation("b", Before(95)) });
  vm.List(ObjectKind::Evacuations, After(kCopyRevision), {});
  vm.Wait(Directory::kEvacuationRewriteTimeout - milliseconds{ 1 });
  CHECK(vm.IsOut("b1"));
  // A later list of the same era does not show it yet either.
  vm.List(ObjectKind::Evacuations, After(kCopyRevision + 1), {});
  CHECK(vm.IsOut("b1"));
  vm.Event(ObjectKind::Evacuations, Evacuation("b", After(90)));
  vm.Wait(kLong);
  CHECK(vm.IsOut("b1"));
  vm.Event(ObjectKind::Evacuations,
           { "b", After(91), true, EvacuationRecord{} });
  CHECK_FALSE(vm.IsOut("b1"));
}

TEST(StoreEra, a_zone_returns_if_nobody_says_its_evacuation_again)
{
  Holder vm({ Entry(SampleUpstream("b1", "b"), Before(50)) },
            { Evacuation("b", Before(95)) });
  vm.List(ObjectKind::Evacuations, After(kCopyRevision), {});
  vm.Wait(Directory::kEvacuationRewriteTimeout);
  LONGS_EQUAL(1, vm.mDirectory.ExpireUnconfirmedEvacuations(vm.mNow).size());
  CHECK_FALSE(vm.IsOut("b1"));
}

TEST(StoreEra, a_zone_that_is_out_in_the_copy_is_out)
{
  Holder vm({ Entry(SampleUpstream("b1", "b"), Before(50)) });
  vm.List(ObjectKind::Evacuations,
          After(kCopyRevision),
          { Evacuation("b", After(70)) });
  CHECK(vm.IsOut("b1"));
}

TEST(StoreEra, the_configuration_goes_by_its_version_and_never_back)
{
  Holder vm({});
  auto const tell = [&](std::uint64_t aVersion, std::uint64_t aRevision) {
    vm.Event(
      ObjectKind::Configuration,
      { "main", After(aRevision), false, SampleConfiguration(aVersion) });
    return vm.mDirectory.ConfigurationVersion();
  };
  vm.List(ObjectKind::Configuration,
          After(kCopyRevision),
          { { "main", After(kCopyRevision), false, SampleConfiguration(5) } });
  LONGS_EQUAL(7, vm.mDirectory.ConfigurationVersion());
  LONGS_EQUAL(7, tell(7, 85));
  LONGS_EQUAL(9, tell(9, 86));
}

TEST(StoreEra, nothing_of_an_older_era_is_taken_any_more)
{
  Holder vm({ Entry(SampleUpstream("a1", "a"), Before(80)) });
  vm.ListCopy({ Entry(Draining("a1"), After(80)) });
  // A peer that has not heard yet passes on what it holds.
  vm.Event(ObjectKind::Upstreams,
           Entry(SampleUpstream("a1", "a"), Before(kHeldRevision + 50)));
  vm.List(ObjectKind::Upstreams,
          Before(kHeldRevision + 60),
          { Entry(SampleUpstream("a1", "a"), Before(kHeldRevision + 50)) });
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Draining);
}

TEST(StoreEra, a_peer_in_a_newer_era_knows_more_though_its_revisions_are_lower)
{
  Holder behind({ Entry(SampleUpstream("a1", "a"), Before(95)) });
  Holder ahead({ Entry(SampleUpstream("a1", "a"), Before(95)) });
  ahead.ListCopy({ Entry(Draining("a1"), After(80)) });
  ahead.List(ObjectKind::Evacuations, After(kCopyRevision), {});
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

TEST(StoreEra, lists_of_an_older_era_are_not_handed_on)
{
  Holder vm({ Entry(SampleUpstream("a1", "a"), Before(95)) });
  auto const rollback = vm.mDirectory.ObserveEra(2);
  CHECK(rollback.has_value());
  LONGS_EQUAL(1, rollback->mUpstreams);
  CHECK_FALSE(vm.mDirectory.ObserveEra(2).has_value());
  CHECK_FALSE(vm.mDirectory.CompleteTo().IsSet());
  auto const lists = vm.mDirectory.NewerThan({}, vm.mNow);
  CHECK_FALSE(lists.mUpstreams.mPosition.IsSet());
  LONGS_EQUAL(1, lists.mConfiguration.mChanges.size());
  // What it knows stays in use meanwhile.
  CHECK(vm.AvailabilityOf("a1") == UpstreamAvailability::Serving);
}

TEST(StoreEra, doubts_are_handed_on_with_what_is_left_of_them)
{
  Holder vm({ Entry(SampleUpstream("b1", "b"), Before(80)) },
            { Evacuation("b", Before(95)) });
  vm.Event(ObjectKind::Upstreams, { "b1", Before(101), true, InvalidRecord{} });
  vm.ListCopy({ Entry(SampleUpstream("b1", "b"), After(80)) });
  vm.List(ObjectKind::Evacuations, After(kCopyRevision), {});
  vm.Wait(seconds{ 1 });
  auto const lists =
    FromMessage(ToMessage(vm.mDirectory.NewerThan({}, vm.mNow)));
  Directory fresh(SampleSettings());
  auto const take = [&](ObjectKind aKind, ObjectPage const& aPage) {
    (void)fresh.Apply(vm.mNow,
                      { aKind, aPage.mChanges, true, aPage.mPosition });
  };
  take(ObjectKind::Configuration, lists.mConfiguration);
  take(ObjectKind::Upstreams, lists.mUpstreams);
  take(ObjectKind::Evacuations, lists.mEvacuations);
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

TEST(StoreEra, a_peer_of_a_release_without_eras_is_understood_as_era_zero)
{
  wire::KnowledgeUpdate update;
  update.set_after_revision(90);
  update.set_up_to_revision(120);
  auto const span = SpanOf(update);
  CHECK((span.mUpTo == StorePosition{ 0, 120 }));
  // A VM that knows the store's era takes nothing from it; one whose store
  // names none goes by revisions as before.
  CHECK(span.mUpTo < Before(1));
  CHECK((span.mUpTo > StorePosition{ 0, 119 }));
}
