#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

constexpr milliseconds kSnapshotPeriod{ 50 };

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

/// The things of a zone that have one owner at a time.
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
  for (std::uint16_t range = 0; range < ControlPlane::kCallRanges; ++range) {
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
  if (mMembership.DeclaredGone()) {
    Restart(aNow);
  }
  if (mMembership.Self().mStage == MemberStage::Joining) {
    AdvanceJoin(aNow, aOutbox);
  }
  if (mMembership.Self().mStage == MemberStage::Serving) {
    TellJoiners(aNow, aOutbox);
  }
  RefreshOwnership();
  mOwnership.Tick(aNow, aOutbox);
  mSender.Tick(
    aNow,
    [&](std::string const& aName) { return mMembership.Find(aName); },
    aOutbox);
}

void
ControlPlane::Restart(TimePoint aNow)
{
  mOwnership.DropAll();
  mOwnership.Forget();
  mMembership.Rejoin(mMembership.Self().mIncarnation + 1);
  mJoinAcks.clear();
  mToldJoiners.clear();
  mJoinStarted = aNow;
  mZoneHasHistory = true;
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
  mPeersKnown = true;
  auto const* const found = mMembership.Find(aMessage.sender().name());
  if (found == nullptr) {
    return;
  }
  Member const from = *found;
  StorePosition const announced{ aMessage.configuration_era(),
                                 aMessage.configuration_version() };
  if (announced > CurrentPosition()) {
    mAnnouncers.insert(from.mName);
  }
  if (aMessage.has_join_request()) {
    AnswerJoinRequest(from, aMessage.join_request(), aOutbox);
  }
  if (aMessage.has_join_ack()) {
    HandleJoinAck(from, aMessage.join_ack());
  }
  RefreshOwnership();
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
    mSender.HandleAck(from.mName, aMessage.exception_ack());
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
    mReceived.push_back({ aFrom.mName, service, flow, upstream });
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
  mPeersKnown = true;
  for (auto const& vm : aVms) {
    bool const sameZone = vm.mZone == mMembership.Self().mZone;
    if (vm.mName == mMembership.Self().mName) {
      if (vm.mState == PlatformVm::State::Live) {
        mOwnership.ConfirmAlone();
      }
      continue;
    }
    if (!sameZone) {
      continue;
    }
    if (vm.mState == PlatformVm::State::Live) {
      mListedPeers.insert(vm.mName);
    } else {
      mListedPeers.erase(vm.mName);
    }
    if (vm.mState == PlatformVm::State::Removed) {
      mZoneHasHistory = true;
    }
  }
  mMembership.HandleVmList(aNow, aVms, aOutbox);
  RefreshOwnership();
}

void
ControlPlane::SetConfiguration(
  std::shared_ptr<Configuration const> aConfiguration)
{
  if (aConfiguration->Position() <= CurrentPosition()) {
    return; // A configuration in force never reverts.
  }
  mOwnership.Configure(ResourcesOf(
    *aConfiguration, mConfiguration.get(), mMembership.Self().mZone));
  mConfiguration = std::move(aConfiguration);
  mMembership.SetConfiguration(mConfiguration->Position());
  mAnnouncers.clear();
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
ControlPlane::RefreshOwnership()
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
  mSender.Queue(aNow, std::move(aTransfers));
}

std::vector<ExceptionTransfer>
ControlPlane::TakeReceivedExceptions()
{
  return std::exchange(mReceived, {});
}

void
ControlPlane::BeginLeaving()
{
  mOwnership.DropAll();
  mMembership.SetSelfStage(MemberStage::Leaving);
  mSender.LiftBudget();
}

bool
ControlPlane::HandedOver() const
{
  return mMembership.Self().mStage == MemberStage::Leaving && mSender.IsIdle();
}

void
ControlPlane::Decorate(Outbox& aOutbox)
{
  for (auto& outgoing : aOutbox) {
    mMembership.Decorate(outgoing.mMessage);
  }
}

std::shared_ptr<SteeringSnapshot const>
ControlPlane::Snapshot(TimePoint aNow)
{
  bool const current = mSnapshotGeneration == mMembership.Generation();
  if (!mConfiguration || current || aNow < mNextSnapshot) {
    return mSnapshot;
  }
  mNextSnapshot = aNow + kSnapshotPeriod;
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
ControlPlane::PeerWithNewerConfiguration()
{
  while (!mAnnouncers.empty()) {
    auto const name = *mAnnouncers.begin();
    mAnnouncers.erase(mAnnouncers.begin());
    auto const* const member = mMembership.Find(name);
    if (member != nullptr) {
      return *member;
    }
  }
  return std::nullopt;
}

} // namespace tarragonsill
