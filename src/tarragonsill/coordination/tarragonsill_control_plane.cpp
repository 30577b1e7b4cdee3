#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

constexpr milliseconds kMinSnapshotPeriod{ 50 };

bool
HasUpstream(Configuration const* aConfiguration, Endpoint aAddress)
{
  if (aConfiguration == nullptr) {
    return true;
  }
  for (auto const& service : aConfiguration->mServices) {
    for (auto const& upstream : service.mUpstreams) {
      if (upstream.mAddress == aAddress) {
        return true;
      }
    }
  }
  return false;
}

/// The resources of a zone that are owned by at most one VM at a time.
std::vector<LeasedResource>
ResourcesOf(Configuration const& aNext,
            Configuration const* aCurrent,
            std::string const& aZone)
{
  std::vector<LeasedResource> resources;
  for (auto const& service : aNext.mServices) {
    for (auto const& upstream : service.mUpstreams) {
      if (upstream.mZone != aZone) {
        continue;
      }
      bool const isNew = !HasUpstream(aCurrent, upstream.mAddress);
      resources.push_back({ upstream.mAddress, upstream.mLimit, isNew });
    }
  }
  for (std::uint16_t range = 0; range < ControlPlane::kCallRangeCount;
       ++range) {
    resources.push_back({ ControlPlane::CallRangeKey(range), {}, false });
  }
  return resources;
}

} // namespace

ControlPlane::ControlPlane(Options aOptions,
                           Member aSelf,
                           std::vector<Endpoint> aSeeds,
                           Counters& aCounters)
  : mOptions(aOptions)
  , mCounters(aCounters)
  , mMembership(aOptions.mMembership, aSelf, aCounters)
  , mOwnership(aOptions.mOwnership, aSelf.mName, aCounters)
  , mSeeds(std::move(aSeeds))
{
}

void
ControlPlane::Tick(TimePoint aNow, Outbox& aOutbox)
{
  mMembership.Tick(aNow, aOutbox);
  if (mMembership.IsDeclaredGone()) {
    RejoinAfterRemoval(aNow);
  }
  if (mMembership.Self().mStage == MemberStage::Joining) {
    AdvanceJoin(aNow, aOutbox);
  }
  if (mMembership.Self().mStage == MemberStage::Serving) {
    NotifyJoiningVms(aNow, aOutbox);
  }
  UpdateOwnershipMembers();
  mOwnership.Tick(aNow, aOutbox);
  mExceptionSender.Tick(
    aNow,
    [&](std::string const& aName) { return mMembership.Find(aName); },
    aOutbox);
}

void
ControlPlane::RejoinAfterRemoval(TimePoint aNow)
{
  mOwnership.DropAllLeases();
  mOwnership.ClearOpenWorkBounds();
  mMembership.Rejoin(mMembership.Self().mIncarnation + 1);
  mJoinAcks.clear();
  mServingAcks.clear();
  mJoinStartedAt = aNow;
  mZoneWasServed = true;
}

bool
ControlPlane::IsZonePeer(Member const& aMember) const
{
  return aMember.mZone == mMembership.Self().mZone &&
         aMember.mName != mMembership.Self().mName;
}

void
ControlPlane::Handle(TimePoint aNow,
                     wire::PeerMessage const& aMessage,
                     Outbox& aOutbox)
{
  if (!mMembership.Handle(aNow, aMessage, aOutbox)) {
    return;
  }
  mHasPeerInformation = true;
  auto const* const found = mMembership.Find(aMessage.sender().name());
  if (found == nullptr) {
    return;
  }
  Member const from = *found;
  StorePosition const announced{ aMessage.configuration_era(),
                                 aMessage.configuration_version() };
  if (announced > CurrentPosition()) {
    mPeersWithNewerConfiguration.insert(from.mName);
  }
  if (aMessage.has_join_request()) {
    AnswerJoinRequest(from, aMessage.join_request(), aOutbox);
  }
  if (aMessage.has_join_ack()) {
    HandleJoinAck(from, aMessage.join_ack());
  }
  UpdateOwnershipMembers();
  bool const serving = mMembership.Self().mStage == MemberStage::Serving;
  if (aMessage.has_lease_ask() && serving) {
    mOwnership.HandleAsk(aNow, from, aMessage.lease_ask(), aOutbox);
  }
  if (aMessage.has_lease_grant() && serving) {
    mOwnership.HandleGrant(aNow, from, aMessage.lease_grant());
  }
  if (aMessage.has_exception_batch()) {
    ReceiveExceptions(from, aMessage.exception_batch(), aOutbox);
  }
  if (aMessage.has_exception_ack()) {
    mExceptionSender.HandleAck(from.mName, aMessage.exception_ack());
  }
}

void
ControlPlane::ReceiveExceptions(Member const& aFrom,
                                wire::ExceptionBatch const& aBatch,
                                Outbox& aOutbox)
{
  Endpoint const service{ { aBatch.service_address() },
                          static_cast<std::uint16_t>(aBatch.service_port()) };
  Endpoint const upstream{ { aBatch.upstream_address() },
                           static_cast<std::uint16_t>(aBatch.upstream_port()) };
  for (auto const flow : aBatch.flows()) {
    mReceivedExceptions.push_back({ aFrom.mName, service, flow, upstream });
  }
  AddMessage(aOutbox, aFrom.mControl)
    .mutable_exception_ack()
    ->set_sequence(aBatch.sequence());
}

void
ControlPlane::HandleVmList(TimePoint aNow,
                           std::vector<PlatformVm> const& aVms,
                           Outbox& aOutbox)
{
  mHasPeerInformation = true;
  for (auto const& vm : aVms) {
    bool const sameZone = vm.mZone == mMembership.Self().mZone;
    if (vm.mName == mMembership.Self().mName) {
      if (vm.mState == PlatformVm::State::Live) {
        mOwnership.ConfirmListedLive();
      }
      continue;
    }
    if (!sameZone) {
      continue;
    }
    if (vm.mState == PlatformVm::State::Live) {
      mListedLivePeers.insert(vm.mName);
    } else {
      mListedLivePeers.erase(vm.mName);
    }
    if (vm.mState == PlatformVm::State::Removed) {
      mZoneWasServed = true;
    }
  }
  mMembership.HandleVmList(aNow, aVms, aOutbox);
  UpdateOwnershipMembers();
}

void
ControlPlane::SetConfiguration(
  std::shared_ptr<Configuration const> aConfiguration)
{
  if (aConfiguration->Position() <= CurrentPosition()) {
    return; // A configuration is never replaced by an older one.
  }
  mOwnership.Configure(ResourcesOf(
    *aConfiguration, mConfiguration.get(), mMembership.Self().mZone));
  mConfiguration = std::move(aConfiguration);
  mMembership.SetConfiguration(mConfiguration->Position());
  mPeersWithNewerConfiguration.clear();
  mSnapshotGeneration = 0;
  mCounters.Add(Counter::ConfigurationsApplied);
}

StorePosition
ControlPlane::CurrentPosition() const
{
  return mConfiguration ? mConfiguration->Position() : StorePosition{};
}

void
ControlPlane::SetOpenWork(std::vector<UpstreamOpenWork> const& aOpenWork,
                          std::uint64_t aLeasesRevision)
{
  mOwnership.SetOpenWork(aOpenWork, aLeasesRevision);
}

void
ControlPlane::UpdateOwnershipMembers()
{
  if (mOwnershipGeneration == mMembership.Generation()) {
    return;
  }
  mOwnershipGeneration = mMembership.Generation();
  std::vector<Member> zone;
  for (auto& member : mMembership.Members()) {
    if (member.mZone == mMembership.Self().mZone) {
      zone.push_back(member);
    }
  }
  mOwnership.SetMembers(zone);
}

void
ControlPlane::SendExceptions(TimePoint aNow,
                             std::vector<ExceptionTransfer> aTransfers)
{
  mExceptionSender.Queue(aNow, std::move(aTransfers));
}

std::vector<ExceptionTransfer>
ControlPlane::TakeReceivedExceptions()
{
  return std::exchange(mReceivedExceptions, {});
}

void
ControlPlane::BeginLeaving()
{
  mOwnership.DropAllLeases();
  mMembership.SetSelfStage(MemberStage::Leaving);
  mExceptionSender.LiftBudget();
}

bool
ControlPlane::IsHandoverComplete() const
{
  return mMembership.Self().mStage == MemberStage::Leaving &&
         mExceptionSender.IsIdle();
}

void
ControlPlane::FillCommonFields(Outbox& aOutbox)
{
  for (auto& outgoing : aOutbox) {
    mMembership.FillCommonFields(outgoing.mMessage);
  }
}

std::shared_ptr<SteeringSnapshot const>
ControlPlane::Snapshot(TimePoint aNow)
{
  bool const current = mSnapshotGeneration == mMembership.Generation();
  if (!mConfiguration || current || aNow < mNextSnapshotAt) {
    return mSnapshot;
  }
  mNextSnapshotAt = aNow + kMinSnapshotPeriod;
  mSnapshotGeneration = mMembership.Generation();
  mSnapshot = SteeringSnapshot::Build(*mConfiguration,
                                      mMembership.Members(),
                                      mMembership.Self().mName,
                                      mSnapshot.get());
  return mSnapshot;
}

AdmissionLeases
ControlPlane::Leases(TimePoint aNow) const
{
  return mOwnership.Leases(aNow);
}

std::optional<Member>
ControlPlane::TakePeerWithNewerConfiguration()
{
  while (!mPeersWithNewerConfiguration.empty()) {
    auto const name = *mPeersWithNewerConfiguration.begin();
    mPeersWithNewerConfiguration.erase(mPeersWithNewerConfiguration.begin());
    auto const* const member = mMembership.Find(name);
    if (member != nullptr) {
      return *member;
    }
  }
  return std::nullopt;
}

} // namespace tarragonsill
