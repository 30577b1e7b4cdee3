#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

/// A position in a store that names no era.
StorePosition
At(std::uint64_t aRevision)
{
  return { 0, aRevision };
}

StoreUpdate
Event(ObjectKind aKind, ObjectChange aChange)
{
  auto const position = aChange.mPosition;
  return { aKind, { std::move(aChange) }, false, position, {} };
}

} // namespace

TEST_GROUP(Directory)
{
  SampleStore mStore;

  UpstreamAvailability AvailabilityOf(TimePoint aNow, std::string const& aName)
  {
    auto const view = mStore.View(aNow);
    return view->mUpstreams[SlotOf(*view, aName)].mAvailability;
  }
};

TEST(Directory, an_older_configuration_never_replaces_a_newer_one)
{
  mStore.Configure(kStart, SampleConfiguration(7));
  mStore.Configure(kStart, SampleConfiguration(5));
  LONGS_EQUAL(7, mStore.View(kStart)->mVersion);
}

TEST(Directory, a_directory_is_complete_once_every_kind_has_been_listed)
{
  CHECK_FALSE(mStore.TargetDirectory().IsComplete());
  mStore.ListAll(kStart);
  CHECK_FALSE(mStore.TargetDirectory().IsComplete());
  mStore.Configure(kStart, SampleConfiguration());
  CHECK(mStore.TargetDirectory().IsComplete());
}

TEST(Directory, a_stale_list_does_not_undo_newer_events)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Register(kStart, SampleUpstream("a2", "a"));
  // The list is older than both registrations and shows the first upstream as
  // serving.
  (void)mStore.TargetDirectory().Apply(
    kStart,
    { ObjectKind::Upstreams,
      { { "a1", { 0, 5 }, false, SampleUpstream("a1", "a") } },
      true,
      { 0, 6 },
      {} });
  CHECK(AvailabilityOf(kStart, "a1") == UpstreamAvailability::Draining);
  CHECK(AvailabilityOf(kStart, "a2") == UpstreamAvailability::Serving);
}

TEST(Directory, a_removed_upstream_is_missing_at_first_and_gone_later)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  mStore.Remove(kStart, "a1");
  CHECK(AvailabilityOf(kStart + seconds{ 1 }, "a1") ==
        UpstreamAvailability::Missing);
  CHECK(AvailabilityOf(kStart + seconds{ 3 }, "a1") ==
        UpstreamAvailability::Gone);
}

TEST(Directory,
     a_draining_upstream_is_gone_as_soon_as_its_registration_is_removed)
{
  mStore.Configure(kStart, SampleConfiguration());
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Remove(kStart, "a1");
  CHECK(AvailabilityOf(kStart, "a1") == UpstreamAvailability::Gone);
}

TEST(Directory,
     upstreams_whose_registration_lapses_in_a_store_outage_stay_missing)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  mStore.TargetDirectory().RecordStoreAvailability(kStart, false);
  mStore.Remove(kStart, "a1");
  CHECK(AvailabilityOf(kStart + seconds{ 20 }, "a1") ==
        UpstreamAvailability::Missing);
  mStore.TargetDirectory().RecordStoreAvailability(kStart + seconds{ 20 },
                                                   true);
  CHECK(AvailabilityOf(kStart + seconds{ 21 }, "a1") ==
        UpstreamAvailability::Missing);
  CHECK(AvailabilityOf(kStart + seconds{ 23 }, "a1") ==
        UpstreamAvailability::Gone);
  mStore.Register(kStart + seconds{ 23 }, SampleUpstream("a1", "a"));
  CHECK(AvailabilityOf(kStart + seconds{ 23 }, "a1") ==
        UpstreamAvailability::Serving);
}

TEST(Directory, an_invalid_registration_yields_no_upstream)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const changes = mStore.TargetDirectory().Apply(
    kStart,
    Event(ObjectKind::Upstreams,
          { "a1", { 0, 100 }, false, InvalidRecord{ "state: missing" } }));
  CHECK(!changes.empty());
  CHECK(AvailabilityOf(kStart + seconds{ 3 }, "a1") ==
        UpstreamAvailability::Gone);
  (void)mStore.TargetDirectory().Apply(
    kStart,
    Event(ObjectKind::Upstreams,
          { "x", { 0, 101 }, false, InvalidRecord{ "address: missing" } }));
  auto const view = mStore.View(kStart);
  CHECK(SlotOf(*view, "x") >= view->mUpstreams.size());
}

TEST(Directory, an_invalid_configuration_leaves_the_last_one_in_force)
{
  mStore.Configure(kStart, SampleConfiguration(3));
  auto const changes = mStore.TargetDirectory().Apply(
    kStart,
    Event(ObjectKind::Configuration,
          { "main", { 0, 90 }, false, InvalidRecord{ "no routes" } }));
  LONGS_EQUAL(1, changes.size());
  LONGS_EQUAL(3, mStore.View(kStart)->mVersion);
}

TEST(Directory, lists_from_a_peer_bring_a_new_vm_up_to_date)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration(4));
  auto cold = SampleUpstream("a1", "a");
  cold.mRemainingColdTime = seconds{ 3 };
  mStore.Register(kStart, cold);
  mStore.Register(kStart, SampleUpstream("b1", "b"));
  mStore.Evacuate(kStart, "b", true);
  auto const now = kStart + seconds{ 1 };
  Directory fresh(SampleSettings());
  auto const lists = FromMessage(
    ToMessage(mStore.TargetDirectory().NewerThan(fresh.GaplessDigest(), now)));
  CHECK(fresh.GaplessDigest().IsBehind(mStore.TargetDirectory().Digest()));
  (void)fresh.Apply(now,
                    { ObjectKind::Configuration,
                      lists.mConfiguration.mChanges,
                      true,
                      lists.mConfiguration.mPosition,
                      {} });
  (void)fresh.Apply(now,
                    { ObjectKind::Upstreams,
                      lists.mUpstreams.mChanges,
                      true,
                      lists.mUpstreams.mPosition,
                      {} });
  (void)fresh.Apply(now,
                    { ObjectKind::Evacuations,
                      lists.mEvacuations.mChanges,
                      true,
                      lists.mEvacuations.mPosition,
                      {} });
  CHECK(fresh.IsComplete());
  CHECK_FALSE(
    fresh.GaplessDigest().IsBehind(mStore.TargetDirectory().Digest()));
  auto const view = fresh.BuildView(now);
  LONGS_EQUAL(4, view->mVersion);
  auto const& upstream = view->mUpstreams[SlotOf(*view, "a1")];
  CHECK(upstream.mColdUntil == kStart + seconds{ 3 });
  CHECK(upstream.mRegistration.mIdentity == cold.mIdentity);
  CHECK(view->mUpstreams[SlotOf(*view, "b1")].mEvacuated);
}

TEST(Directory, a_peer_gets_only_kinds_that_are_newer_than_its_digest)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration(4));
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const request = ToMessage(mStore.TargetDirectory().GaplessDigest());
  mStore.Configure(kStart, SampleConfiguration(5));
  auto const lists =
    mStore.TargetDirectory().NewerThan(FromMessage(request), kStart);
  LONGS_EQUAL(1, lists.mConfiguration.mChanges.size());
  CHECK_FALSE(lists.mUpstreams.mPosition.IsSet());
  CHECK_FALSE(lists.mEvacuations.mPosition.IsSet());
}

TEST(Directory, a_peer_that_lags_gets_only_changed_and_removed_upstreams)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  for (char const* name : { "a1", "a2", "a3", "a4" }) {
    mStore.Register(kStart, SampleUpstream(name, "a"));
  }
  auto& own = mStore.TargetDirectory();
  Directory peer(SampleSettings());
  auto const sendLists = [&] {
    auto const lists =
      FromMessage(ToMessage(own.NewerThan(peer.GaplessDigest(), kStart)));
    (void)peer.Apply(kStart,
                     { ObjectKind::Upstreams,
                       lists.mUpstreams.mChanges,
                       !lists.mUpstreamsAfter.IsSet(),
                       lists.mUpstreams.mPosition,
                       lists.mUpstreamsAfter });
    return lists.mUpstreams.mChanges.size();
  };
  LONGS_EQUAL(4, sendLists());
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Remove(kStart, "a2");
  LONGS_EQUAL(2, sendLists());
  CHECK_FALSE(peer.GaplessDigest().mUpstreams < own.Digest().mUpstreams);
  auto const remaining = peer.NewerThan({}, kStart).mUpstreams.mChanges;
  LONGS_EQUAL(3, remaining.size());
}

TEST(Directory, new_bounds_apply_from_the_next_view_on)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  auto cold = SampleUpstream("a1", "a");
  cold.mRemainingColdTime = seconds{ 3 };
  mStore.Register(kStart, cold);
  auto const before = mStore.View(kStart);
  auto settings = SampleSettings();
  settings.mBounds.mColdAllowance += 2.0;
  mStore.TargetDirectory().ApplySettings(settings);
  CHECK(mStore.TargetDirectory().HasChanged(kStart));
  auto const after = mStore.View(kStart);
  DOUBLES_EQUAL(before->mUpstreams[0].mColdLimit + 2.0,
                after->mUpstreams[0].mColdLimit,
                1e-9);
}

TEST(Directory, a_lost_change_is_detected_although_later_ones_arrive)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  auto draining = SampleUpstream("a1", "a");
  mStore.Register(kStart, draining);
  draining.mDraining = true;
  mStore.Register(kStart, SampleUpstream("a2", "a"));
  auto const held = mStore.Revision();
  auto& own = mStore.TargetDirectory();
  // A peer relays a change that follows a lost one.
  StoreUpdate const later{
    ObjectKind::Upstreams,
    { { "a3", At(held + 2), false, SampleUpstream("a3", "a") } },
    false,
    At(held + 2),
    At(held + 1)
  };
  (void)own.Apply(kStart, later);
  KnowledgeDigest const peer{ own.ConfigurationVersion(), At(held + 2), At(1) };
  CHECK(own.GaplessDigest().IsBehind(peer));
  CHECK(At(held) == own.GaplessDigest().mUpstreams);
  // The peer's whole list closes the gap.
  StoreUpdate const list{
    ObjectKind::Upstreams,
    { { "a1", At(held + 1), false, draining },
      { "a2", At(held), false, SampleUpstream("a2", "a") },
      { "a3", At(held + 2), false, SampleUpstream("a3", "a") } },
    true,
    At(held + 2),
    {}
  };
  (void)own.Apply(kStart, list);
  CHECK_FALSE(own.GaplessDigest().IsBehind(peer));
  auto const view = mStore.View(kStart);
  CHECK(view->mUpstreams[SlotOf(*view, "a1")].mAvailability ==
        UpstreamAvailability::Draining);
}

TEST(Directory, contiguous_changes_leave_no_gap)
{
  mStore.ListAll(kStart);
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const held = mStore.Revision();
  auto& own = mStore.TargetDirectory();
  (void)own.Apply(
    kStart,
    { ObjectKind::Upstreams,
      { { "a2", At(held + 2), false, SampleUpstream("a2", "a") } },
      false,
      At(held + 4),
      At(held) });
  CHECK(At(held + 4) == own.GaplessDigest().mUpstreams);
  // The digest announces the last change, which may be older than that.
  CHECK(At(held + 2) == own.Digest().mUpstreams);
}

TEST(Directory, slots_are_reused_only_after_all_their_flows_must_have_ended)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const slot = SlotOf(*mStore.View(kStart), "a1");
  mStore.Remove(kStart, "a1");
  mStore.Register(kStart + seconds{ 70 }, SampleUpstream("a2", "a"));
  CHECK(SlotOf(*mStore.View(kStart + seconds{ 70 }), "a2") != slot);
  auto const later = kStart + seconds{ 121 };
  mStore.Register(later, SampleUpstream("a3", "a"));
  LONGS_EQUAL(slot, SlotOf(*mStore.View(later), "a3"));
}

TEST(Directory, updates_in_any_order_never_revert_the_state)
{
  CheckProperty("monotonic", [] {
    Directory directory(SampleSettings());
    std::uint64_t version = 0;
    std::map<std::string, std::uint64_t> lastRevisions;
    std::uint64_t lastEvacuation = 0;
    // The content follows from the revision, as in one store.
    auto const isRemoved = [](std::uint64_t aRevision) {
      return aRevision % 5 == 0;
    };
    auto const isDraining = [](std::uint64_t aRevision) {
      return aRevision % 2 == 0;
    };
    auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 5), rc::gen::inRange(1, 40)));
    for (auto const& [kind, number] : steps) {
      auto const revision = static_cast<std::uint64_t>(number);
      ObjectChange change{ "", At(revision), isRemoved(revision), {} };
      auto objects = ObjectKind::Upstreams;
      if (kind == 0) {
        objects = ObjectKind::Configuration;
        change = { "main", At(revision), false, SampleConfiguration(revision) };
        version = std::max(version, revision);
      } else if (kind == 1) {
        objects = ObjectKind::Evacuations;
        change.mName = "a";
        change.mContent = EvacuationRecord{};
        lastEvacuation = std::max(lastEvacuation, revision);
      } else {
        auto registration = SampleUpstream("a" + std::to_string(kind), "a");
        registration.mDraining = isDraining(revision);
        change.mName = registration.mName;
        change.mContent = registration;
        auto& last = lastRevisions[registration.mName];
        last = std::max(last, revision);
      }
      (void)directory.Apply(kStart, Event(objects, change));

      RC_ASSERT(directory.ConfigurationVersion() == version);
      if (version == 0) {
        continue; // Without a configuration there are no upstreams to route to.
      }
      auto const view = directory.BuildView(kStart);
      bool const isEvacuated = lastEvacuation > 0 && !isRemoved(lastEvacuation);
      for (auto const& [name, last] : lastRevisions) {
        auto const slot = SlotOf(*view, name);
        bool const isKnown = slot < view->mUpstreams.size();
        auto const availability = isKnown ? view->mUpstreams[slot].mAvailability
                                          : UpstreamAvailability::Gone;
        if (isRemoved(last)) {
          bool const isOut = availability == UpstreamAvailability::Missing ||
                             availability == UpstreamAvailability::Gone;
          RC_ASSERT(isOut);
          continue;
        }
        RC_ASSERT(isKnown);
        RC_ASSERT(availability == (isDraining(last)
                                     ? UpstreamAvailability::Draining
                                     : UpstreamAvailability::Serving));
        RC_ASSERT(view->mUpstreams[slot].mEvacuated == isEvacuated);
      }
    }
  });
}

TEST(Directory, the_own_zone_does_not_serve_without_usable_upstreams)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  mStore.Register(kStart, SampleUpstream("b1", "b"));
  CHECK(mStore.TargetDirectory().OwnZoneServes(kStart));
  mStore.Evacuate(kStart, "a", true);
  CHECK_FALSE(mStore.TargetDirectory().OwnZoneServes(kStart));
  mStore.Evacuate(kStart, "a", false);
  mStore.Remove(kStart, "a1");
  CHECK_FALSE(mStore.TargetDirectory().OwnZoneServes(kStart + seconds{ 5 }));
}

TEST(Directory, an_update_that_a_peer_relays_is_applied)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const revision = mStore.Revision();
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  auto const updates =
    ToUpdates(ObjectKind::Upstreams,
              { { "a1", At(revision + 1), false, draining } },
              { At(revision), At(revision + 1) });
  LONGS_EQUAL(1, updates.size());
  auto const span = RangeOf(updates.front());
  (void)mStore.TargetDirectory().Apply(
    kStart,
    { ObjectKind::Upstreams,
      ChangesOf(ObjectKind::Upstreams, updates.front()),
      false,
      span.mUpTo,
      span.mAfter });
  CHECK(AvailabilityOf(kStart, "a1") == UpstreamAvailability::Draining);
}
