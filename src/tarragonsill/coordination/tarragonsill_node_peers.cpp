#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Periods of member requests to the seeds: while no serving peer is known, and
/// otherwise to find members that gossip has missed.
constexpr milliseconds kIsolatedSeedPeriod{ 400 };
constexpr milliseconds kSeedRefreshPeriod{ 10000 };
/// All peers that can be reached are found within this time after the start.
constexpr milliseconds kJoinTime{ 2000 };
/// Period in which a watching VM reports the age of its watches.
constexpr milliseconds kReportPeriod{ 500 };
/// Messages from VMs of other zones arrive several times a second. If none
/// arrives for this long, the zone is cut off.
constexpr milliseconds kCutOffTimeout{ 1200 };
/// Datagrams about flows that several upstreams may answer.
constexpr double kHeldOpeningMessagesPerSecond = 64.0;
constexpr double kHeldOpeningMessagesBurst = 256.0;
/// Peers that may have started together with this VM cannot tell it which zones
/// returned before, so a few are queried.
constexpr std::size_t kMaxReturnsQueries = 3;
/// Keeps an answer below the usual MTU.
constexpr std::size_t kMembersPerAnswer = 16;
/// Added to an incarnation that peers reject as outdated because it was taken
/// from a clock that had jumped back.
constexpr std::uint64_t kIncarnationStepMs = 60'000;

Membership::Options
OptionsFor(std::uint64_t aSeed)
{
  Membership::Options options;
  options.mSeed = aSeed;
  return options;
}

/// Returns an age as messages carry it.
std::uint32_t
MillisecondsSince(TimePoint aNow, TimePoint aAt)
{
  auto const age = std::chrono::duration_cast<milliseconds>(aNow - aAt);
  return static_cast<std::uint32_t>(
    std::max<milliseconds::rep>(0, age.count()));
}

wire::ZoneReach
ToWire(ZoneReach aReach)
{
  switch (aReach) {
    case ZoneReach::Answering:
      return wire::ZONE_REACH_ANSWERING;
    case ZoneReach::Silent:
      return wire::ZONE_REACH_SILENT;
    case ZoneReach::Unknown:
      break;
  }
  return wire::ZONE_REACH_UNKNOWN;
}

/// Values of newer programs count as unknown.
ZoneReach
ZoneReachOf(wire::ZoneReach aReach)
{
  switch (aReach) {
    case wire::ZONE_REACH_ANSWERING:
      return ZoneReach::Answering;
    case wire::ZONE_REACH_SILENT:
      return ZoneReach::Silent;
    default:
      return ZoneReach::Unknown;
  }
}

} // namespace

NodePeers::NodePeers(Member aSelf,
                     std::vector<Endpoint> aSeeds,
                     std::uint64_t aSeed,
                     Counters& aCounters,
                     Mechanisms aMechanisms)
  : mMembership(OptionsFor(aSeed), std::move(aSelf), aCounters)
  , mSeeds(std::move(aSeeds))
  , mFreshness(mMembership.Self().mName)
  , mSync(mMembership.Self().mName)
  , mRelay(aMechanisms)
  , mCounters(aCounters)
  , mUsesLoadReports(aMechanisms.Uses(Mechanism::LoadReports))
  , mLoadExchange(
      { mMembership.Self().NameHash(), mMembership.Self().mIncarnation })
  , mHeldOpeningsBudget(kHeldOpeningMessagesPerSecond,
                        kHeldOpeningMessagesBurst)
{
}

void
NodePeers::Tick(TimePoint aNow, Outbox& aOutbox)
{
  if (mStarted == TimePoint{}) {
    mStarted = aNow;
  }
  if (mMembership.IsDeclaredGone()) {
    auto const stage = mMembership.Self().mStage;
    mMembership.Rejoin(mMembership.Self().mIncarnation + kIncarnationStepMs);
    mMembership.SetSelfStage(stage);
  }
  // The operator assigns configuration versions; a store rollback does not
  // reset them, so they need no era.
  mMembership.SetConfiguration({ 0, mDigest.mConfiguration });
  mMembership.Tick(aNow, aOutbox);
  if (aNow >= mNextMemberRequest) {
    RequestMembers(aNow, aOutbox);
  }
  if (mLastWatchAnswer && aNow >= mNextReport) {
    ReportWatches(aNow, aOutbox);
  }
}

std::vector<Member>
NodePeers::ZoneMembers() const
{
  auto members = mMembership.Members();
  std::erase_if(members, [&](Member const& aMember) {
    return aMember.mZone != mMembership.Self().mZone;
  });
  return members;
}

void
NodePeers::ReportWatches(TimePoint aNow, Outbox& aOutbox)
{
  mNextReport = aNow + kReportPeriod;
  auto const& self = mMembership.Self().mName;
  for (auto const& member :
       WatchRelay::Recipients(mMembership.Members(), self, mRole)) {
    (void)AddMessage(aOutbox, member.mControl);
  }
}

WatchRole
NodePeers::Role(TimePoint aNow)
{
  WatchRelay::RoleInputs inputs;
  inputs.mHasLists =
    mGaplessDigest.mUpstreams.IsSet() && mGaplessDigest.mEvacuations.IsSet();
  inputs.mHasCompletePeer = mSync.HasCompletePeer();
  inputs.mIsFirstStart = mIsFirstStart;
  mRole =
    mRelay.Role(aNow, mMembership.Members(), mMembership.Self().mName, inputs);
  return mRole;
}

void
NodePeers::RelayUpdate(StoreUpdate const& aUpdate, Outbox& aOutbox)
{
  auto& chain = mRelayChains[aUpdate.mKind];
  if (aUpdate.mIsWholeList) {
    // A whole list is too large for datagrams. VMs that lack a part of it
    // detect that from the digest and query a peer.
    chain = { aUpdate.mUpTo, aUpdate.mUpTo };
    return;
  }
  // Without an earlier update, or after a jump to a position that peers
  // relayed, there may be changes before this update that this VM has not
  // relayed.
  bool const continues = aUpdate.mAfter == chain.mWatchedTo;
  chain.mRelayedTo = continues ? chain.mRelayedTo : aUpdate.mAfter;
  chain.mWatchedTo = std::max(aUpdate.mAfter, aUpdate.mUpTo);
  if (aUpdate.mChanges.empty()) {
    return;
  }
  auto const after = chain.mRelayedTo;
  auto const& self = mMembership.Self().mName;
  auto const recipients =
    WatchRelay::Recipients(mMembership.Members(), self, mRole);
  for (auto const& update :
       ToUpdates(aUpdate.mKind, aUpdate.mChanges, { after, aUpdate.mUpTo })) {
    for (auto const& member : recipients) {
      *AddMessage(aOutbox, member.mControl).mutable_knowledge() = update;
    }
  }
  chain.mRelayedTo = chain.mWatchedTo;
}

bool
NodePeers::HasServingPeer() const
{
  auto const members = mMembership.Members();
  return std::any_of(
    members.begin(), members.end(), [&](Member const& aMember) {
      return aMember.IsServing() && aMember.mName != mMembership.Self().mName;
    });
}

void
NodePeers::RequestMembers(TimePoint aNow, Outbox& aOutbox)
{
  bool const isIsolated = !HasServingPeer();
  mNextMemberRequest =
    aNow + (isIsolated ? kIsolatedSeedPeriod : kSeedRefreshPeriod);
  for (auto const& seed : mSeeds) {
    if (seed == mMembership.Self().mControl) {
      continue;
    }
    AddMessage(aOutbox, seed).mutable_join_request()->set_offset(0);
  }
}

void
NodePeers::Handle(TimePoint aNow,
                  wire::PeerMessage const& aMessage,
                  Outbox& aOutbox,
                  Duration aMaxAge)
{
  if (!mMembership.Handle(aNow, aMessage, aOutbox)) {
    return;
  }
  auto const& sender = aMessage.sender().name();
  auto const* from = mMembership.Find(sender);
  if (from == nullptr) {
    return;
  }
  mSync.RecordReport(
    sender,
    { aMessage.configuration_version(),
      { aMessage.upstreams_era(), aMessage.upstreams_revision() },
      { aMessage.evacuations_era(), aMessage.evacuations_revision() } });
  bool const isOwnZone = from->mZone == mMembership.Self().mZone;
  if (isOwnZone) {
    mZoneReach.RecordReport(aNow, sender, ZoneReachOf(aMessage.zone_reach()));
    if (aMessage.has_load_report()) {
      HandleLoadReport(aNow, *from, aMessage.load_report(), aOutbox);
    }
    mOutboundReach.RecordZonePeer(
      aNow, sender, ZoneReachOf(aMessage.outbound_reach()));
  } else {
    mOtherZonesSeenAt = aNow;
    mOutboundReach.RecordOtherZone(aNow, ZoneReachOf(aMessage.zone_reach()));
  }
  // Watchers in an older era know nothing of the store's current state.
  if (aMessage.has_watch() && aMessage.store_era() >= mEra) {
    HandleWatchReport(aNow, aNow - aMaxAge, aMessage, isOwnZone);
  }
  if (aMessage.has_join_request()) {
    AnswerJoinRequest(*from, aMessage.join_request().offset(), aOutbox);
  }
  if (aMessage.has_join_ack() && aMessage.join_ack().next_offset() > 0) {
    AddMessage(aOutbox, from->mControl)
      .mutable_join_request()
      ->set_offset(aMessage.join_ack().next_offset());
  }
}

void
NodePeers::HandleWatchReport(TimePoint aNow,
                             TimePoint aSentAt,
                             wire::PeerMessage const& aMessage,
                             bool aIsOwnZone)
{
  auto const& report = aMessage.watch();
  mFreshness.RecordReport(
    { { report.confirmed_era(), report.confirmed_revision() },
      aSentAt - milliseconds{ report.confirmed_age_ms() },
      report.confirmation() });
  if (!aIsOwnZone) {
    return; // Watchers of other zones relay nothing to this VM.
  }
  // The age that the peer reports is that of its last answers, which may come
  // from lagging replicas.
  auto const currentAsOf = mFreshness.CurrentAsOf(
    { report.complete_to_era(), report.complete_to_revision() });
  mRelay.RecordReport(
    aNow,
    aMessage.sender().name(),
    std::chrono::duration_cast<milliseconds>(aNow - currentAsOf));
}

void
NodePeers::ForgetConfirmed()
{
  mFreshness = StoreFreshness(mMembership.Self().mName);
  mLastWatchAnswer.reset();
}

void
NodePeers::AnswerJoinRequest(Member const& aFrom,
                             std::uint32_t aOffset,
                             Outbox& aOutbox) const
{
  auto* answer = AddMessage(aOutbox, aFrom.mControl).mutable_join_ack();
  auto const members = mMembership.Members();
  auto index = std::size_t{ aOffset };
  auto const end = std::min(members.size(), index + kMembersPerAnswer);
  for (; index < end; ++index) {
    auto const& name = members[index].mName;
    if (name == aFrom.mName || name == mMembership.Self().mName) {
      continue;
    }
    *answer->add_members() = mMembership.UpdateOf(name);
  }
  if (index < members.size()) {
    answer->set_next_offset(static_cast<std::uint32_t>(index));
  }
}

void
NodePeers::FillCommonFields(TimePoint aNow, Outbox& aOutbox)
{
  for (auto& outgoing : aOutbox) {
    mMembership.FillCommonFields(outgoing.mMessage);
    auto& message = outgoing.mMessage;
    message.set_upstreams_revision(mDigest.mUpstreams.mRevision);
    message.set_upstreams_era(mDigest.mUpstreams.mEra);
    message.set_evacuations_revision(mDigest.mEvacuations.mRevision);
    message.set_evacuations_era(mDigest.mEvacuations.mEra);
    message.set_store_era(mEra);
    message.set_zone_reach(ToWire(mZoneReach.Own()));
    message.set_outbound_reach(ToWire(mOutboundReach.Own()));
    // Load reports are too frequent to repeat the state of the watches.
    if (mLastWatchAnswer && !message.has_load_report()) {
      auto& report = *message.mutable_watch();
      report.set_age_ms(MillisecondsSince(aNow, *mLastWatchAnswer));
      report.set_complete_to_revision(mCompleteTo.mRevision);
      report.set_complete_to_era(mCompleteTo.mEra);
      if (auto const confirmed = mFreshness.Newest()) {
        report.set_confirmed_revision(confirmed->mPosition.mRevision);
        report.set_confirmed_era(confirmed->mPosition.mEra);
        report.set_confirmed_age_ms(MillisecondsSince(aNow, confirmed->mAt));
        report.set_confirmation(confirmed->mId);
      }
    }
  }
}

std::optional<Member>
NodePeers::NextPeerToQuery(TimePoint aNow, bool aIsComplete)
{
  for (auto const& member : mMembership.Members()) {
    if (member.mHealth == MemberHealth::Failed ||
        member.mHealth == MemberHealth::Gone) {
      mSync.RemovePeer(member.mName);
    }
  }
  auto const name = mSync.NextPeerToQuery(aNow, mGaplessDigest, aIsComplete);
  auto const* member = name ? mMembership.Find(*name) : nullptr;
  return member != nullptr ? std::optional(*member) : NextPeerWithReturns(aNow);
}

void
NodePeers::SetKnowsReturns(bool aKnowsReturns)
{
  mKnowsReturns = aKnowsReturns;
  if (aKnowsReturns) {
    mQueriedForReturns.clear();
  }
}

std::optional<Member>
NodePeers::NextPeerWithReturns(TimePoint aNow)
{
  bool const isDue = !mKnowsReturns && !mIsFirstStart &&
                     aNow >= mNextReturnsQuery &&
                     mQueriedForReturns.size() < kMaxReturnsQueries;
  if (!isDue) {
    return std::nullopt;
  }
  std::optional<Member> oldest;
  for (auto const& member : mMembership.Members()) {
    bool const isCandidate = member.IsServing() &&
                             member.mName != mMembership.Self().mName &&
                             mQueriedForReturns.count(member.mName) == 0;
    bool const isOlder = !oldest || member.mIncarnation < oldest->mIncarnation;
    if (isCandidate && isOlder) {
      oldest = member;
    }
  }
  if (oldest) {
    mQueriedForReturns.insert(oldest->mName);
    mNextReturnsQuery = aNow + KnowledgeSync::kQueryInterval;
  }
  return oldest;
}

bool
NodePeers::IsZoneCutOff(TimePoint aNow) const
{
  if (mOtherZonesSeenAt != TimePoint{}) {
    return aNow > mOtherZonesSeenAt + kCutOffTimeout;
  }
  // Peers announced VMs of other zones, but no message from those has arrived
  // since the start.
  auto const members = mMembership.Members();
  return std::any_of(
    members.begin(), members.end(), [&](Member const& aMember) {
      return aMember.mZone != mMembership.Self().mZone;
    });
}

std::vector<std::uint64_t>
NodePeers::AdmittingVms(TimePoint aNow) const
{
  std::vector<std::uint64_t> admittingVms;
  if (mStarted == TimePoint{} || aNow < mStarted + kJoinTime) {
    return admittingVms;
  }
  for (auto const& member : ZoneMembers()) {
    if (member.IsServing()) {
      admittingVms.push_back(member.NameHash());
    }
  }
  return admittingVms;
}

bool
NodePeers::MayLeave() const
{
  std::size_t all = 0;
  std::size_t serving = 0;
  auto const& self = mMembership.Self();
  for (auto const& member : ZoneMembers()) {
    if (member.mHealth == MemberHealth::Gone) {
      continue;
    }
    ++all;
    bool const isOther = member.mName != self.mName;
    serving += isOther && member.IsServing() ? 1 : 0;
  }
  return all <= 1 || 2 * serving >= all;
}

} // namespace tarragonsill
