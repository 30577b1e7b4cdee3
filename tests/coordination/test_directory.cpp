#include "tarragonsill_test.hpp"

#include "support/routing_fixture.hpp"

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

/// A position of a store that names no era.
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

TEST(Directory, an_older_version_never_replaces_a_newer_one)
{
  mStore.Configure(kStart, SampleConfiguration(7));
  mStore.Configure(kStart, SampleConfiguration(5));
  LONGS_EQUAL(7, mStore.View(kStart)->mVersion);
}

TEST(Directory, it_is_complete_once_every_kind_was_listed)
{
  CHECK_FALSE(mStore.Knowledge().IsComplete());
  mStore.ListAll(kStart);
  CHECK_FALSE(mStore.Knowledge().IsComplete());
  mStore.Configure(kStart, SampleConfiguration());
  CHECK(mStore.Knowledge().IsComplete());
}

TEST(Directory, a_stale_list_does_not_undo_newer_events)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Register(kStart, SampleUpstream("a2", "a"));
  // A list from before both entries, which shows the first one still serving.
  (void)mStore.Knowledge().Apply(
    kStart,
    { ObjectKind::Upstreams,
      { { "a1", { 0, 5 }, false, SampleUpstream("a1", "a") } },
      true,
      { 0, 6 },
      {} });
  CHECK(AvailabilityOf(kStart, "a1") == UpstreamAvailability::Draining);
  CHECK(AvailabilityOf(kStart, "a2") == UpstreamAvailability::Serving);
}

TEST(Directory, a_removed_registration_is_missing_first_and_gone_later)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  mStore.Remove(kStart, "a1");
  CHECK(AvailabilityOf(kStart + seconds{ 1 }, "a1") ==
        UpstreamAvailability::Missing);
  CHECK(AvailabilityOf(kStart + seconds{ 3 }, "a1") ==
        UpstreamAvailability::Gone);
}

TEST(Directory, a_drained_upstream_whose_registration_ends_is_gone_at_once)
{
  mStore.Configure(kStart, SampleConfiguration());
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Remove(kStart, "a1");
  CHECK(AvailabilityOf(kStart, "a1") == UpstreamAvailability::Gone);
}

TEST(Directory,
     registrations_that_lapse_in_an_outage_stay_missing_until_it_ends)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  mStore.Knowledge().NoteStore(kStart, false);
  mStore.Remove(kStart, "a1");
  CHECK(AvailabilityOf(kStart + seconds{ 20 }, "a1") ==
        UpstreamAvailability::Missing);
  mStore.Knowledge().NoteStore(kStart + seconds{ 20 }, true);
  CHECK(AvailabilityOf(kStart + seconds{ 21 }, "a1") ==
        UpstreamAvailability::Missing);
  CHECK(AvailabilityOf(kStart + seconds{ 23 }, "a1") ==
        UpstreamAvailability::Gone);
  mStore.Register(kStart + seconds{ 23 }, SampleUpstream("a1", "a"));
  CHECK(AvailabilityOf(kStart + seconds{ 23 }, "a1") ==
        UpstreamAvailability::Serving);
}

TEST(Directory, an_entry_that_cannot_be_read_names_no_upstream)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const changes = mStore.Knowledge().Apply(
    kStart,
    Event(ObjectKind::Upstreams,
          { "a1", { 0, 100 }, false, InvalidRecord{ "state: missing" } }));
  CHECK(!changes.empty());
  CHECK(AvailabilityOf(kStart + seconds{ 3 }, "a1") ==
        UpstreamAvailability::Gone);
  (void)mStore.Knowledge().Apply(
    kStart,
    Event(ObjectKind::Upstreams,
          { "x", { 0, 101 }, false, InvalidRecord{ "address: missing" } }));
  auto const view = mStore.View(kStart);
  CHECK(SlotOf(*view, "x") >= view->mUpstreams.size());
}

TEST(Directory, a_refused_configuration_leaves_the_old_one_in_force)
{
  mStore.Configure(kStart, SampleConfiguration(3));
  auto const changes = mStore.Knowledge().Apply(
    kStart,
    Event(ObjectKind::Configuration,
          { "main", { 0, 90 }, false, InvalidRecord{ "no routes" } }));
  LONGS_EQUAL(1, changes.size());
  LONGS_EQUAL(3, mStore.View(kStart)->mVersion);
}

TEST(Directory, a_peers_lists_bring_a_vm_up_to_date)
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
  auto const lists =
    FromMessage(ToMessage(mStore.Knowledge().NewerThan(fresh.Held(), now)));
  CHECK(fresh.Held().IsBehind(mStore.Knowledge().Digest()));
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
  CHECK_FALSE(fresh.Held().IsBehind(mStore.Knowledge().Digest()));
  auto const view = fresh.BuildView(now);
  LONGS_EQUAL(4, view->mVersion);
  auto const& upstream = view->mUpstreams[SlotOf(*view, "a1")];
  CHECK(upstream.mColdUntil == kStart + seconds{ 3 });
  CHECK(upstream.mRegistration.mIdentity == cold.mIdentity);
  CHECK(view->mUpstreams[SlotOf(*view, "b1")].mEvacuated);
}

TEST(Directory, a_peer_is_told_only_what_is_newer_than_what_it_holds)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration(4));
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const request = ToMessage(mStore.Knowledge().Held());
  mStore.Configure(kStart, SampleConfiguration(5));
  auto const news = mStore.Knowledge().NewerThan(FromMessage(request), kStart);
  LONGS_EQUAL(1, news.mConfiguration.mChanges.size());
  CHECK_FALSE(news.mUpstreams.mPosition.IsSet());
  CHECK_FALSE(news.mEvacuations.mPosition.IsSet());
}

TEST(Directory, a_peer_that_lags_is_told_only_what_changed_and_what_left)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  for (char const* name : { "a1", "a2", "a3", "a4" }) {
    mStore.Register(kStart, SampleUpstream(name, "a"));
  }
  auto& own = mStore.Knowledge();
  Directory peer(SampleSettings());
  auto const give = [&] {
    auto const lists =
      FromMessage(ToMessage(own.NewerThan(peer.Held(), kStart)));
    (void)peer.Apply(kStart,
                     { ObjectKind::Upstreams,
                       lists.mUpstreams.mChanges,
                       !lists.mUpstreamsAfter.IsSet(),
                       lists.mUpstreams.mPosition,
                       lists.mUpstreamsAfter });
    return lists.mUpstreams.mChanges.size();
  };
  LONGS_EQUAL(4, give());
  auto draining = SampleUpstream("a1", "a");
  draining.mDraining = true;
  mStore.Register(kStart, draining);
  mStore.Remove(kStart, "a2");
  LONGS_EQUAL(2, give());
  CHECK_FALSE(peer.Held().mUpstreams < own.Digest().mUpstreams);
  auto const left = peer.NewerThan({}, kStart).mUpstreams.mChanges;
  LONGS_EQUAL(3, left.size());
}

TEST(Directory, other_bounds_hold_from_the_next_view_on)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  auto cold = SampleUpstream("a1", "a");
  cold.mRemainingColdTime = seconds{ 3 };
  mStore.Register(kStart, cold);
  auto const before = mStore.View(kStart);
  auto settings = SampleSettings();
  settings.mBounds.mColdAllowance += 2.0;
  mStore.Knowledge().Adopt(settings);
  CHECK(mStore.Knowledge().HasChanged(kStart));
  auto const after = mStore.View(kStart);
  DOUBLES_EQUAL(before->mUpstreams[0].mColdLimit + 2.0,
                after->mUpstreams[0].mColdLimit,
                1e-9);
}

TEST(Directory, a_lost_change_shows_although_later_ones_arrive)
{
  mStore.ListAll(kStart);
  mStore.Configure(kStart, SampleConfiguration());
  auto draining = SampleUpstream("a1", "a");
  mStore.Register(kStart, draining);
  draining.mDraining = true;
  mStore.Register(kStart, SampleUpstream("a2", "a"));
  auto const held = mStore.Revision();
  auto& own = mStore.Knowledge();
  // A peer passes on what came after a change that got lost.
  StoreUpdate const later{
    ObjectKind::Upstreams,
    { { "a3", At(held + 2), false, SampleUpstream("a3", "a") } },
    false,
    At(held + 2),
    At(held + 1)
  };
  (void)own.Apply(kStart, later);
  KnowledgeDigest const peer{ own.ConfigurationVersion(), At(held + 2), At(1) };
  CHECK(own.Held().IsBehind(peer));
  CHECK(At(held) == own.Held().mUpstreams);
  // The peer's whole list fills the gap.
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
  CHECK_FALSE(own.Held().IsBehind(peer));
  auto const view = mStore.View(kStart);
  CHECK(view->mUpstreams[SlotOf(*view, "a1")].mAvailability ==
        UpstreamAvailability::Draining);
}

TEST(Directory, changes_that_join_leave_no_gap)
{
  mStore.ListAll(kStart);
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  auto const held = mStore.Revision();
  auto& own = mStore.Knowledge();
  (void)own.Apply(
    kStart,
    { ObjectKind::Upstreams,
      { { "a2", At(held + 2), false, SampleUpstream("a2", "a") } },
      false,
      At(held + 4),
      At(held) });
  CHECK(At(held + 4) == own.Held().mUpstreams);
  // The last change may be older than that; peers hear of the change only.
  CHECK(At(held + 2) == own.Digest().mUpstreams);
}

TEST(Directory, slots_are_used_again_only_after_every_flow_must_have_ended)
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

TEST(Directory, it_never_goes_back_under_any_order_of_news)
{
  CheckProperty("monotonic", [] {
    Directory directory(SampleSettings());
    std::uint64_t version = 0;
    std::map<std::string, std::uint64_t> revisions;
    auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(1, 40)));
    for (auto const& [kind, number] : steps) {
      auto const revision = static_cast<std::uint64_t>(number);
      if (kind == 0) {
        (void)directory.Apply(
          kStart,
          Event(
            ObjectKind::Configuration,
            { "main", At(revision), false, SampleConfiguration(revision) }));
        version = std::max(version, revision);
        RC_ASSERT(directory.ConfigurationVersion() == version);
        continue;
      }
      auto registration = SampleUpstream("a" + std::to_string(kind), "a");
      registration.mDraining = number % 2 == 0;
      (void)directory.Apply(
        kStart,
        Event(
          ObjectKind::Upstreams,
          { registration.mName, At(revision), number % 5 == 0, registration }));
      auto& last = revisions[registration.mName];
      last = std::max(last, revision);
      RC_ASSERT(!directory.Digest().mUpstreams.IsSet());
    }
  });
}

TEST(Directory, a_zone_without_usable_upstreams_does_not_serve)
{
  mStore.Configure(kStart, SampleConfiguration());
  mStore.Register(kStart, SampleUpstream("a1", "a"));
  mStore.Register(kStart, SampleUpstream("b1", "b"));
  CHECK(mStore.Knowledge().OwnZoneServes(kStart));
  mStore.Evacuate(kStart, "a", true);
  CHECK_FALSE(mStore.Knowledge().OwnZoneServes(kStart));
  mStore.Evacuate(kStart, "a", false);
  mStore.Remove(kStart, "a1");
  CHECK_FALSE(mStore.Knowledge().OwnZoneServes(kStart + seconds{ 5 }));
}

TEST(Directory, parts_of_the_news_that_peers_pass_on_are_taken_by_revision)
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
  auto const span = SpanOf(updates.front());
  (void)mStore.Knowledge().Apply(
    kStart,
    { ObjectKind::Upstreams,
      ChangesOf(ObjectKind::Upstreams, updates.front()),
      false,
      span.mUpTo,
      span.mAfter });
  CHECK(AvailabilityOf(kStart, "a1") == UpstreamAvailability::Draining);
}
