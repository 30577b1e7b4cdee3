#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"

#include <algorithm>
#include <functional>
#include <memory>
#include <set>

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr std::uint16_t kPort = 7720;

/// Several VMs in one process that exchange messages without delay.
class PeerGroup
{
public:
  /// Returns whether a message may pass from one VM to another.
  using Link = std::function<bool(std::size_t, std::size_t)>;

  void Add(std::string const& aZone, std::uint64_t aIncarnation = 1)
  {
    auto const index = mPeers.size();
    mPeers.push_back(Make(index, aZone, aIncarnation));
    mZones.push_back(aZone);
  }

  void Restart(std::size_t aIndex, std::uint64_t aIncarnation)
  {
    mPeers[aIndex] = Make(aIndex, mZones[aIndex], aIncarnation);
  }
  void Kill(std::size_t aIndex) { mPeers[aIndex].reset(); }
  NodePeers& At(std::size_t aIndex) { return *mPeers[aIndex]; }

  void Run(Duration aTime, Link const& aLink = {})
  {
    auto const end = mNow + aTime;
    while (mNow < end) {
      mNow += milliseconds{ 50 };
      for (std::size_t index = 0; index < mPeers.size(); ++index) {
        Outbox outbox;
        if (mPeers[index]) {
          mPeers[index]->Tick(mNow, outbox);
          Deliver(index, outbox, aLink, 0);
        }
      }
    }
  }
  TimePoint Now() const { return mNow; }

  /// Lets a VM observe a flow at an upstream.
  void Observe(std::size_t aIndex)
  {
    Outbox outbox;
    mPeers[aIndex]->RecordObservations(mNow, { { 77, 1, 1, 1, 1.0 } }, outbox);
    Deliver(aIndex, outbox, {}, 0);
  }
  std::uint64_t Count(Counter aCounter) const
  {
    return mCounters.Value(aCounter);
  }
  Mechanisms mMechanisms;

private:
  static Endpoint AddressOf(std::size_t aIndex)
  {
    return { { 0x0A010001 + static_cast<std::uint32_t>(aIndex) }, kPort };
  }

  std::unique_ptr<NodePeers> Make(std::size_t aIndex,
                                  std::string const& aZone,
                                  std::uint64_t aIncarnation)
  {
    Member self;
    self.mName = "vm-" + std::to_string(aIndex);
    self.mZone = aZone;
    self.mControl = AddressOf(aIndex);
    self.mData = { AddressOf(aIndex).mAddress, 2 };
    self.mCalls = { AddressOf(aIndex).mAddress, 3 };
    self.mIncarnation = aIncarnation;
    auto peers = std::make_unique<NodePeers>(
      self,
      std::vector<Endpoint>{ AddressOf(0), AddressOf(1), AddressOf(90) },
      aIndex,
      mCounters,
      mMechanisms);
    peers->SetStage(MemberStage::Serving);
    return peers;
  }

  void Deliver(std::size_t aFrom, Outbox& aOutbox, Link const& aLink, int aHops)
  {
    constexpr int kMaxHops = 6;
    if (aHops > kMaxHops) {
      return;
    }
    mPeers[aFrom]->FillCommonFields(mNow, aOutbox);
    for (auto const& outgoing : aOutbox) {
      auto const to =
        outgoing.mTo.mAddress.mValue - AddressOf(0).mAddress.mValue;
      if (to >= mPeers.size() || !mPeers[to] || (aLink && !aLink(aFrom, to))) {
        continue;
      }
      Outbox answers;
      mPeers[to]->Handle(mNow, outgoing.mMessage, answers);
      Deliver(to, answers, aLink, aHops + 1);
    }
  }

  Counters mCounters;
  std::vector<std::unique_ptr<NodePeers>> mPeers;
  std::vector<std::string> mZones;
  TimePoint mNow = kStart;
};

} // namespace

TEST_GROUP(NodePeers)
{
  PeerGroup mGroup;

  void setup() override
  {
    for (char const* zone : { "a", "b", "a", "a", "b", "c" }) {
      mGroup.Add(zone);
    }
  }
};

TEST(NodePeers, each_vm_finds_all_others_through_a_few_seeds)
{
  mGroup.Run(seconds{ 5 });
  for (std::size_t index = 0; index < 6; ++index) {
    LONGS_EQUAL(6, mGroup.At(index).Members().Members().size());
  }
}

TEST(NodePeers,
     the_vms_of_a_zone_agree_on_the_admitting_vms_after_the_join_time)
{
  mGroup.Run(milliseconds{ 500 });
  CHECK(mGroup.At(2).AdmittingVms(mGroup.Now()).empty());
  mGroup.Run(seconds{ 5 });
  auto const admittingVms = mGroup.At(2).AdmittingVms(mGroup.Now());
  LONGS_EQUAL(3, admittingVms.size());
  CHECK(admittingVms == mGroup.At(3).AdmittingVms(mGroup.Now()));
  LONGS_EQUAL(1, mGroup.At(5).AdmittingVms(mGroup.Now()).size());
}

/// Guards against state that is taken for current by reports that were queued
/// while this VM was suspended.
TEST(NodePeers, a_watch_report_is_as_old_as_it_was_queued)
{
  StorePosition const position{ 0, 9 };
  Counters counters;
  Member self;
  self.mZone = "a";
  self.mName = "watcher";
  NodePeers watcher(self, {}, 1, counters);
  self.mName = "suspended";
  NodePeers suspended(self, {}, 2, counters);
  watcher.SetCompleteTo(position);
  watcher.RecordConfirmed({ position, kStart });
  watcher.SetLastWatchAnswer(kStart);
  Outbox report;
  (void)AddMessage(report, {});
  watcher.FillCommonFields(kStart, report);
  Outbox answers;
  auto const handledAt = kStart + seconds{ 3 };
  suspended.Handle(handledAt, report.front().mMessage, answers, seconds{ 2 });
  CHECK(suspended.Freshness().CurrentAsOf(position) == kStart + seconds{ 1 });
}

/// Guards against reports with too low an age, as the steady clock stopped.
TEST(NodePeers, a_vm_that_was_suspended_does_not_report_confirmed_positions)
{
  auto& vm = mGroup.At(0);
  vm.RecordConfirmed({ { 0, 9 }, kStart });
  vm.SetLastWatchAnswer(kStart);
  vm.ForgetConfirmed();
  CHECK_FALSE(vm.Freshness().Newest().has_value());
  Outbox report;
  (void)AddMessage(report, {});
  vm.FillCommonFields(kStart, report);
  CHECK_FALSE(report.front().mMessage.has_watch());
}

/// Guards against review/8 with two VMs that start at once: neither can tell
/// the other which zones returned before.
TEST(NodePeers, a_vm_that_may_miss_returns_of_zones_queries_the_oldest_peers)
{
  mGroup.Run(seconds{ 3 });
  mGroup.Restart(2, 1000);
  mGroup.Restart(3, 1001);
  mGroup.Run(seconds{ 3 });
  auto& started = mGroup.At(2);
  std::vector<std::string> queried;
  auto const query = [&] {
    for (int interval = 0; interval < 8; ++interval) {
      if (auto const peer = started.NextPeerToQuery(mGroup.Now(), true)) {
        queried.push_back(peer->mName);
      }
      mGroup.Run(KnowledgeSync::kQueryInterval);
    }
  };
  query();
  CHECK(queried.empty());
  started.SetKnowsReturns(false);
  query();
  LONGS_EQUAL(3, std::set(queried.begin(), queried.end()).size());
  LONGS_EQUAL(3, queried.size());
  LONGS_EQUAL(0, std::count(queried.begin(), queried.end(), "vm-3"));
  started.SetKnowsReturns(true);
  started.SetKnowsReturns(false);
  started.SetFirstStart(true);
  query();
  LONGS_EQUAL(3, queried.size());
}

TEST(NodePeers, a_vm_without_state_queries_a_peer_that_has_it)
{
  mGroup.At(0).SetDigest({ 4, { 0, 20 }, { 0, 1 } },
                         { 4, { 0, 20 }, { 0, 1 } });
  mGroup.Run(seconds{ 3 });
  auto const peer = mGroup.At(3).NextPeerToQuery(mGroup.Now(), false);
  CHECK(peer.has_value());
  STRCMP_EQUAL("vm-0", peer->mName.c_str());
  // The next query follows only after the minimum interval.
  CHECK_FALSE(mGroup.At(3).NextPeerToQuery(mGroup.Now(), false).has_value());
}

TEST(NodePeers, a_vm_that_keeps_up_with_steady_changes_sends_no_queries)
{
  KnowledgeSync sync("vm-1");
  std::uint64_t revision = 100;
  int queries = 0;
  for (int step = 0; step < 100; ++step) {
    auto const now = kStart + milliseconds{ 50 } * step;
    // Changes arrive steadily, and reach this VM 150 ms after its peer.
    revision += 1;
    sync.RecordReport("vm-2", { 1, { 0, revision }, { 0, 1 } });
    KnowledgeDigest const held{ 1, { 0, revision - 3 }, { 0, 1 } };
    queries += sync.NextPeerToQuery(now, held, true) ? 1 : 0;
  }
  LONGS_EQUAL(0, queries);
  // A VM that stays behind queries the peer whose name follows its own.
  KnowledgeDigest const stale{ 1, { 0, revision }, { 0, 1 } };
  auto const later = kStart + seconds{ 10 };
  for (char const* name : { "vm-0", "vm-2", "vm-3" }) {
    sync.RecordReport(name, { 1, { 0, revision + 9 }, { 0, 1 } });
  }
  CHECK_FALSE(sync.NextPeerToQuery(later, stale, true).has_value());
  auto const queried =
    sync.NextPeerToQuery(later + KnowledgeSync::kLagTolerance, stale, true);
  CHECK(queried.has_value());
  STRCMP_EQUAL("vm-2", queried->c_str());
}

TEST(NodePeers, a_vm_that_restarts_in_a_network_cut_finds_its_remaining_peers)
{
  mGroup.At(2).SetDigest({ 4, { 0, 20 }, { 0, 1 } },
                         { 4, { 0, 20 }, { 0, 1 } });
  mGroup.Run(seconds{ 5 });
  mGroup.Kill(3);
  // Zone a is cut off without its seed vm-0: vm-2 and vm-3 reach only each
  // other.
  auto const isInside = [](std::size_t aIndex) {
    return aIndex == 2 || aIndex == 3;
  };
  auto const cut = [&](std::size_t aFrom, std::size_t aTo) {
    return isInside(aFrom) == isInside(aTo);
  };
  mGroup.Run(seconds{ 4 }, cut);
  mGroup.Restart(3, 2);
  mGroup.Run(seconds{ 4 }, cut);
  auto const peer = mGroup.At(3).NextPeerToQuery(mGroup.Now(), false);
  CHECK(peer.has_value());
  STRCMP_EQUAL("vm-2", peer->mName.c_str());
}

TEST(NodePeers, a_vm_whose_clock_jumped_back_rejoins_after_its_restart)
{
  mGroup.Restart(4, 50);
  mGroup.Run(seconds{ 5 });
  mGroup.Restart(4, 10);
  mGroup.Run(seconds{ 5 });
  auto const* member = mGroup.At(0).Members().Find("vm-4");
  CHECK(member != nullptr);
  CHECK(member->mIncarnation > 50);
  CHECK(member->mHealth == MemberHealth::Alive);
}

TEST(NodePeers, a_vm_may_leave_only_while_half_of_its_zone_serves_without_it)
{
  mGroup.Run(seconds{ 5 });
  CHECK(mGroup.At(2).MayLeave());
  mGroup.At(0).SetStage(MemberStage::Leaving);
  mGroup.Run(seconds{ 1 });
  CHECK_FALSE(mGroup.At(2).MayLeave());
  mGroup.Kill(0);
  mGroup.Run(seconds{ 3 });
  CHECK_FALSE(mGroup.At(2).MayLeave());
  mGroup.Restart(0, 2);
  mGroup.Run(seconds{ 3 });
  CHECK(mGroup.At(2).MayLeave());
  // The only VM of a zone may always leave.
  CHECK(mGroup.At(5).MayLeave());
}

namespace {

/// Returns whether sender and receiver are both inside or both outside of zone
/// a.
bool
LinkWithZoneACutOff(std::size_t aFrom, std::size_t aTo)
{
  auto const isInZoneA = [](std::size_t aIndex) {
    return aIndex == 0 || aIndex == 2 || aIndex == 3;
  };
  return isInZoneA(aFrom) == isInZoneA(aTo);
}

} // namespace

TEST(NodePeers, a_cut_of_a_zone_and_its_end_are_detected_within_two_seconds)
{
  mGroup.Run(seconds{ 5 });
  CHECK_FALSE(mGroup.At(2).IsZoneCutOff(mGroup.Now()));
  mGroup.Run(seconds{ 2 }, LinkWithZoneACutOff);
  CHECK(mGroup.At(2).IsZoneCutOff(mGroup.Now()));
  mGroup.Run(seconds{ 2 });
  CHECK_FALSE(mGroup.At(2).IsZoneCutOff(mGroup.Now()));
}

/// Failure pattern *restart in a cut zone*, found on inyange-kigali-grown:
/// during a rolling restart in an evacuated zone that is cut off, each
/// restarted VM becomes ready and attracts the zone's callers, whom no upstream
/// can serve.
TEST(NodePeers,
     a_vm_that_starts_in_a_cut_zone_detects_the_cut_through_its_peers)
{
  mGroup.Run(seconds{ 5 });
  mGroup.Run(seconds{ 3 }, LinkWithZoneACutOff);
  mGroup.Restart(2, 2);
  mGroup.Run(milliseconds{ 100 }, LinkWithZoneACutOff);
  CHECK(mGroup.At(2).IsZoneCutOff(mGroup.Now()));
  mGroup.Run(seconds{ 3 }, LinkWithZoneACutOff);
  CHECK(mGroup.At(2).IsZoneCutOff(mGroup.Now()));
  mGroup.Run(seconds{ 2 });
  CHECK_FALSE(mGroup.At(2).IsZoneCutOff(mGroup.Now()));
}

/// Failure pattern *restart in a dark zone*: a zone loses all upstreams and
/// then its links. A VM that restarts there has tried no upstream yet.
TEST(NodePeers, a_vm_that_starts_in_a_silent_zone_learns_that_from_its_zone)
{
  mGroup.Run(seconds{ 5 });
  mGroup.At(0).SetZoneReach(ZoneReach::Silent);
  mGroup.At(3).SetZoneReach(ZoneReach::Silent);
  mGroup.At(1).SetZoneReach(ZoneReach::Answering); // A VM of another zone.
  mGroup.Run(seconds{ 3 }, LinkWithZoneACutOff);
  mGroup.Restart(2, 2);
  mGroup.Run(milliseconds{ 100 }, LinkWithZoneACutOff);
  CHECK(mGroup.At(2).IsZoneSilent(mGroup.Now()));
  mGroup.At(2).SetZoneReach(ZoneReach::Answering);
  CHECK_FALSE(mGroup.At(2).IsZoneSilent(mGroup.Now()));
}

/// Failure pattern *one way out*, found on yardline-tx-grown: nothing gets out
/// of an evacuated zone for 6.6 s, while messages from other zones arrive. Its
/// VMs stay ready, and hold callers whom VMs of other zones could serve.
TEST(NodePeers, all_vms_of_a_zone_learn_that_nothing_gets_out_of_it)
{
  auto const nothingLeavesZoneA = [](std::size_t aFrom, std::size_t aTo) {
    return LinkWithZoneACutOff(aFrom, aTo) || LinkWithZoneACutOff(aTo, 0);
  };
  mGroup.Run(seconds{ 5 });
  for (std::size_t const vm : { 1, 4, 5 }) {
    mGroup.At(vm).SetZoneReach(ZoneReach::Answering); // VMs of other zones.
  }
  for (auto const end = mGroup.Now() + seconds{ 2 }; mGroup.Now() < end;) {
    mGroup.At(0).SetOutboundReach(mGroup.Now(), ZoneReach::Silent);
    mGroup.Run(milliseconds{ 50 }, nothingLeavesZoneA);
  }
  for (std::size_t const vm : { 0, 2, 3 }) {
    CHECK_FALSE(mGroup.At(vm).IsZoneCutOff(mGroup.Now()));
    CHECK(mGroup.At(vm).IsOutboundLost(mGroup.Now()));
  }
  CHECK_FALSE(mGroup.At(1).IsOutboundLost(mGroup.Now()));
  mGroup.At(0).SetOutboundReach(mGroup.Now(), ZoneReach::Answering);
  mGroup.Run(seconds{ 2 });
  for (std::size_t const vm : { 0, 2, 3 }) {
    CHECK_FALSE(mGroup.At(vm).IsOutboundLost(mGroup.Now()));
  }
}

namespace {

/// Relays one change of a revision and returns the revision after which the
/// receivers take the update for complete.
std::uint64_t
RelayedAfter(NodePeers& aPeers, std::uint64_t aAfter, std::uint64_t aRevision)
{
  StoreUpdate const update{
    ObjectKind::Upstreams,
    { { "i-1", { 0, aRevision }, true, InvalidRecord{} } },
    false,
    { 0, aRevision },
    { 0, aAfter }
  };
  Outbox outbox;
  aPeers.RelayUpdate(update, outbox);
  CHECK(!outbox.empty());
  return outbox.front().mMessage.knowledge().after_revision();
}

/// Handles an answer to a watch without changes.
void
RelayNothing(NodePeers& aPeers, std::uint64_t aAfter, std::uint64_t aUpTo)
{
  Outbox outbox;
  aPeers.RelayUpdate(
    { ObjectKind::Upstreams, {}, false, { 0, aUpTo }, { 0, aAfter } }, outbox);
  CHECK(outbox.empty());
}

} // namespace

TEST(NodePeers, a_new_watcher_does_not_vouch_for_changes_it_never_relayed)
{
  // Guards against a VM that misses a drain for good: the watcher that read it
  // was killed, and the first update of its successor seemed to cover it.
  mGroup.Run(seconds{ 5 });
  auto& watcher = mGroup.At(2);
  LONGS_EQUAL(39, RelayedAfter(watcher, 39, 40));
  // Nothing changed between two updates of one watch.
  RelayNothing(watcher, 40, 45);
  LONGS_EQUAL(40, RelayedAfter(watcher, 45, 46));
  // The watch went on from a position that peers had relayed.
  LONGS_EQUAL(60, RelayedAfter(watcher, 60, 61));
  RelayNothing(watcher, 70, 75);
  LONGS_EQUAL(70, RelayedAfter(watcher, 75, 76));
}

/// A zone of nine VMs beside three others, all with the state up to revision 9.
TEST_GROUP(WatchersOfAZone)
{
  static constexpr StorePosition kCompleteTo{ 0, 9 };
  static constexpr std::size_t kAllVms = 12;
  std::vector<std::size_t> const mZone = { 0, 2, 3, 6, 7, 8, 9, 10, 11 };
  PeerGroup mGroup;
  /// Whether some of the store's answers have to be current.
  bool mIsConfirmed = true;

  void setup() override
  {
    for (char const* zone : { "a", "b", "a", "a", "b", "c" }) {
      mGroup.Add(zone);
    }
    for (int count = 0; count < 6; ++count) {
      mGroup.Add("a");
    }
  }

  void SetComplete()
  {
    for (std::size_t index = 0; index < kAllVms; ++index) {
      mGroup.At(index).SetDigest({ 1, kCompleteTo, { 0, 1 } },
                                 { 1, kCompleteTo, { 0, 1 } });
      mGroup.At(index).SetCompleteTo(kCompleteTo);
    }
  }

  /// Lets the store answer each VM that watches, and returns how many of the
  /// zone do.
  std::size_t AnswerWatches()
  {
    std::size_t count = 0;
    for (std::size_t index = 0; index < kAllVms; ++index) {
      auto const role = mGroup.At(index).Role(mGroup.Now());
      bool const watches = role != WatchRole::ReliesOnPeers;
      mGroup.At(index).SetLastWatchAnswer(watches ? std::optional(mGroup.Now())
                                                  : std::nullopt);
      if (mIsConfirmed && role == WatchRole::ConfirmingWatcher) {
        mGroup.At(index).RecordConfirmed({ kCompleteTo, mGroup.Now() });
      }
      bool const isInZone = std::count(mZone.begin(), mZone.end(), index) > 0;
      count += watches && isInZone ? 1 : 0;
    }
    return count;
  }

  void RunWithAnswers(int aSteps)
  {
    for (int step = 0; step < aSteps; ++step) {
      mGroup.Run(milliseconds{ 100 });
      (void)AnswerWatches();
    }
  }
};

TEST(WatchersOfAZone, answers_of_unknown_age_let_standby_watchers_watch)
{
  // Guards against VMs that rely on watchers whose answers arrive in time but
  // come from lagging replicas.
  SetComplete();
  RunWithAnswers(60);
  LONGS_EQUAL(2, AnswerWatches());
  mIsConfirmed = false;
  RunWithAnswers(30);
  LONGS_EQUAL(2 + WatchRelay::kMaxStandbyWatchers, AnswerWatches());
}

TEST(WatchersOfAZone, all_vms_learn_the_confirmed_position_from_their_watchers)
{
  SetComplete();
  RunWithAnswers(60);
  for (auto const index : mZone) {
    auto const currentAsOf =
      mGroup.At(index).Freshness().CurrentAsOf(kCompleteTo);
    CHECK(mGroup.Now() - currentAsOf < seconds{ 1 });
  }
  // A position that is only passed on among the VMs grows old.
  mIsConfirmed = false;
  RunWithAnswers(30);
  for (auto const index : mZone) {
    auto const currentAsOf =
      mGroup.At(index).Freshness().CurrentAsOf(kCompleteTo);
    CHECK(mGroup.Now() - currentAsOf >= seconds{ 3 });
  }
}

TEST(WatchersOfAZone, two_vms_watch_the_store_and_the_others_rely_on_them)
{
  // Peers are asked first, but none of them has any state.
  LONGS_EQUAL(0, AnswerWatches());
  mGroup.Run(WatchRelay::kSeedTimeout + milliseconds{ 50 });
  LONGS_EQUAL(9, AnswerWatches());
  SetComplete();
  RunWithAnswers(60);
  LONGS_EQUAL(2, AnswerWatches());
  // The watchers lose the store, so no VM gets reports of fresh watches.
  for (auto const index : mZone) {
    mGroup.At(index).SetLastWatchAnswer(std::nullopt);
  }
  mGroup.Run(WatchTimes{}.mFreshFor + milliseconds{ 100 });
  LONGS_EQUAL(9, AnswerWatches());
  std::size_t fallbackWatchers = 0;
  for (auto const index : mZone) {
    auto const role = mGroup.At(index).Role(mGroup.Now());
    fallbackWatchers += role == WatchRole::FallbackWatcher ? 1 : 0;
  }
  LONGS_EQUAL(7, fallbackWatchers);
}

TEST(NodePeers, the_parts_of_a_relayed_update_have_no_gap)
{
  mGroup.Run(seconds{ 5 });
  std::vector<ObjectChange> changes;
  for (std::uint64_t revision = 11; revision <= 35; ++revision) {
    changes.push_back({ "i-" + std::to_string(revision),
                        { 2, revision },
                        true,
                        InvalidRecord{} });
  }
  auto const updates =
    ToUpdates(ObjectKind::Upstreams, changes, { { 2, 10 }, { 2, 40 } });
  CHECK(updates.size() > 1);
  std::uint64_t reached = 10;
  for (auto const& update : updates) {
    LONGS_EQUAL(2, update.store_era());
    LONGS_EQUAL(reached, update.after_revision());
    reached = update.up_to_revision();
  }
  LONGS_EQUAL(40, reached);
}

TEST(NodePeers, updates_that_watchers_relay_reach_every_vm_of_their_zone)
{
  mGroup.Run(seconds{ 5 });
  std::set<std::uint32_t> receivers;
  StoreUpdate const update{ ObjectKind::Upstreams,
                            { { "i-1", { 0, 9 }, true, InvalidRecord{} } },
                            false,
                            { 0, 9 },
                            { 0, 5 } };
  for (std::size_t const index : { 0U, 2U, 3U }) {
    Outbox outbox;
    mGroup.At(index).RelayUpdate(update, outbox);
    for (auto const& outgoing : outbox) {
      auto const relayed =
        ChangesOf(ObjectKind::Upstreams, outgoing.mMessage.knowledge());
      LONGS_EQUAL(1, relayed.size());
      CHECK(relayed.front().mRemoved);
      LONGS_EQUAL(9, outgoing.mMessage.knowledge().up_to_revision());
      receivers.insert(outgoing.mTo.mAddress.mValue);
    }
  }
  LONGS_EQUAL(3, receivers.size());
}
TEST(NodePeers, the_vms_of_a_zone_know_the_loads_that_the_others_observe)
{
  for (int round = 0; round < 8; ++round) {
    mGroup.Run(milliseconds{ 500 });
    for (std::size_t index = 0; index < 6; ++index) {
      mGroup.Observe(index);
    }
  }
  // The VMs 0, 2 and 3 are in one zone, VM 5 is alone in another.
  auto const loads = mGroup.At(2).TakeSharedLoads(mGroup.Now());
  LONGS_EQUAL(2, loads->mReporters);
  LONGS_EQUAL(2, loads->mByProcess.at(77).mFlows);
  LONGS_EQUAL(0, mGroup.At(5).TakeSharedLoads(mGroup.Now())->mReporters);
  CHECK(mGroup.Count(Counter::LoadReportsReceived) > 0);
}

TEST(NodePeers, without_load_reports_none_is_sent_or_used)
{
  mGroup.mMechanisms = Mechanisms::Without({ "load_reports" }).Take();
  for (std::size_t index = 0; index < 6; ++index) {
    mGroup.Restart(index, 2);
  }
  for (int round = 0; round < 8; ++round) {
    mGroup.Run(milliseconds{ 500 });
    mGroup.Observe(2);
  }
  LONGS_EQUAL(0, mGroup.Count(Counter::LoadReportsSent));
  CHECK(mGroup.At(2).TakeSharedLoads(mGroup.Now()) == nullptr);
}
