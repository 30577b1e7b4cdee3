#include "tarragonsill/coordination/tarragonsill_membership.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonsill {

namespace {

constexpr std::size_t kMaxIndirectProbes = 2;
/// One probe in this many goes to a failed member, to detect that a network
/// partition has healed.
constexpr std::uint64_t kFailedProbeInterval = 4;

} // namespace

Membership::Membership(Options aOptions, Member aSelf, Counters& aCounters)
  : mOptions(aOptions)
  , mSelf(std::move(aSelf))
  , mCounters(aCounters)
  , mRandom(MixHash(aOptions.mSeed, mSelf.NameHash()))
{
}

void
Membership::Tick(TimePoint aNow, Outbox& aOutbox)
{
  CheckProbeTimeout(aNow, aOutbox);
  ExpireSuspicions(aNow);
  ProbeHealedZoneMember(aOutbox);
  if (aNow < mNextProbe) {
    return;
  }
  mNextProbe = aNow + mOptions.mProbePeriod;
  StartProbe(aNow, aOutbox);
}

void
Membership::ProbeHealedZoneMember(Outbox& aOutbox)
{
  if (mHealedZoneMembers.empty()) {
    return;
  }
  auto const found = mPeers.find(mHealedZoneMembers.back());
  mHealedZoneMembers.pop_back();
  bool const failed = found != mPeers.end() &&
                      found->second.mMember.mHealth == MemberHealth::Failed;
  if (failed) {
    SendPingWithHealth(found->second, ++mSequence, aOutbox);
  }
}

void
Membership::SendPingWithHealth(Peer const& aPeer,
                               std::uint32_t aSequence,
                               Outbox& aOutbox)
{
  SendPing(aPeer.mMember.mControl, aSequence, aOutbox);
  if (aPeer.mMember.mHealth != MemberHealth::Alive) {
    // The member can refute this with a higher revision.
    *aOutbox.back().mMessage.add_updates() =
      ToUpdate(aPeer.mMember, aPeer.mRevision);
  }
}

std::optional<std::string>
Membership::NextProbeTarget()
{
  ++mProbeCount;
  bool const preferFailed = mProbeCount % kFailedProbeInterval == 0;
  std::vector<std::string> failed;
  for (auto const& [name, peer] : mPeers) {
    if (peer.mMember.mHealth == MemberHealth::Failed) {
      failed.push_back(name);
    }
  }
  if (preferFailed && !failed.empty()) {
    return failed[mRandom() % failed.size()];
  }
  for (int round = 0; round < 2; ++round) {
    while (!mProbeOrder.empty()) {
      auto name = std::move(mProbeOrder.back());
      mProbeOrder.pop_back();
      auto const found = mPeers.find(name);
      if (found == mPeers.end() ||
          found->second.mMember.mHealth > MemberHealth::Suspect) {
        continue;
      }
      return name;
    }
    for (auto const& [name, peer] : mPeers) {
      mProbeOrder.push_back(name);
    }
    std::shuffle(mProbeOrder.begin(), mProbeOrder.end(), mRandom);
  }
  return failed.empty() ? std::nullopt
                        : std::optional(failed[mRandom() % failed.size()]);
}

void
Membership::StartProbe(TimePoint aNow, Outbox& aOutbox)
{
  if (mProbe) {
    // The probe of the previous period was not answered.
    auto const found = mPeers.find(mProbe->mTarget);
    if (found != mPeers.end() &&
        found->second.mMember.mHealth == MemberHealth::Alive) {
      mCounters.Add(Counter::MembersSuspected);
      SetHealth(aNow, found->second, MemberHealth::Suspect);
    }
    mProbe.reset();
  }
  auto target = NextProbeTarget();
  if (!target) {
    return;
  }
  mProbe = Probe{ *target, ++mSequence, aNow, false };
  SendPingWithHealth(mPeers.at(*target), mProbe->mSequence, aOutbox);
}

void
Membership::SendPing(Endpoint aTo, std::uint32_t aSequence, Outbox& aOutbox)
{
  AddMessage(aOutbox, aTo).mutable_ping()->set_sequence(aSequence);
}

void
Membership::CheckProbeTimeout(TimePoint aNow, Outbox& aOutbox)
{
  bool const hasTimedOut = mProbe && !mProbe->mIndirect &&
                           aNow - mProbe->mSentAt > mOptions.mProbeTimeout;
  if (!hasTimedOut) {
    return;
  }
  mProbe->mIndirect = true;
  auto const target = mPeers.find(mProbe->mTarget);
  if (target == mPeers.end()) {
    return;
  }
  std::vector<Endpoint> proxies;
  for (auto const& [name, peer] : mPeers) {
    if (name == mProbe->mTarget ||
        peer.mMember.mHealth != MemberHealth::Alive) {
      continue;
    }
    proxies.push_back(peer.mMember.mControl);
  }
  std::shuffle(proxies.begin(), proxies.end(), mRandom);
  proxies.resize(std::min(proxies.size(), kMaxIndirectProbes));
  for (auto const& proxy : proxies) {
    auto* request = AddMessage(aOutbox, proxy).mutable_ping_request();
    request->set_sequence(mProbe->mSequence);
    request->set_target_address(
      target->second.mMember.mControl.mAddress.mValue);
    request->set_target_port(target->second.mMember.mControl.mPort);
  }
}

Duration
Membership::SuspicionTimeout() const
{
  auto const size = static_cast<double>(mPeers.size() + 1);
  auto const factor = std::max(1.0, std::log10(size));
  return std::chrono::duration_cast<Duration>(mOptions.mSuspicionTimeout *
                                              factor);
}

void
Membership::ExpireSuspicions(TimePoint aNow)
{
  auto const timeout = SuspicionTimeout();
  for (auto& [name, peer] : mPeers) {
    bool const expired = peer.mMember.mHealth == MemberHealth::Suspect &&
                         aNow - peer.mSuspectedAt > timeout;
    if (!expired) {
      continue;
    }
    mCounters.Add(Counter::MembersFailed);
    SetHealth(aNow, peer, MemberHealth::Failed);
  }
}

bool
Membership::Handle(TimePoint aNow,
                   wire::PeerMessage const& aMessage,
                   Outbox& aOutbox)
{
  auto const& sender = aMessage.sender();
  if (sender.name().empty() || sender.name() == mSelf.mName) {
    return false;
  }
  auto const known = mPeers.find(sender.name());
  if (known != mPeers.end()) {
    auto const& member = known->second.mMember;
    bool const outdated = sender.incarnation() < member.mIncarnation ||
                          (sender.incarnation() == member.mIncarnation &&
                           member.mHealth == MemberHealth::Gone);
    if (outdated) {
      AddMessage(aOutbox, member.mControl)
        .mutable_join_ack()
        ->set_refused(true);
      return false;
    }
  }
  ApplyUpdate(aNow, sender, true);
  for (auto const& update : aMessage.updates()) {
    ApplyUpdate(aNow, update, false);
  }
  HandleBody(aNow, aMessage, aOutbox);
  return true;
}

void
Membership::HandleBody(TimePoint aNow,
                       wire::PeerMessage const& aMessage,
                       Outbox& aOutbox)
{
  auto const& sender = mPeers.at(aMessage.sender().name()).mMember;
  if (aMessage.has_ping()) {
    auto const& ping = aMessage.ping();
    auto* ack = AddMessage(aOutbox, sender.mControl).mutable_ping_ack();
    ack->set_sequence(ping.sequence());
    if (ping.origin_port() != 0) {
      Endpoint const origin{ { ping.origin_address() },
                             static_cast<std::uint16_t>(ping.origin_port()) };
      AddMessage(aOutbox, origin)
        .mutable_ping_ack()
        ->set_sequence(ping.origin_sequence());
    }
  }
  if (aMessage.has_ping_ack() && mProbe &&
      mProbe->mSequence == aMessage.ping_ack().sequence()) {
    mProbe.reset();
  }
  if (aMessage.has_ping_request()) {
    auto const& request = aMessage.ping_request();
    Endpoint const target{ { request.target_address() },
                           static_cast<std::uint16_t>(request.target_port()) };
    auto* ping = AddMessage(aOutbox, target).mutable_ping();
    ping->set_sequence(++mSequence);
    ping->set_origin_address(sender.mControl.mAddress.mValue);
    ping->set_origin_port(sender.mControl.mPort);
    ping->set_origin_sequence(request.sequence());
  }
  if (aMessage.has_join_ack()) {
    mDeclaredGone = mDeclaredGone || aMessage.join_ack().refused();
    for (auto const& update : aMessage.join_ack().members()) {
      ApplyUpdate(aNow, update, false);
    }
  }
}

void
Membership::HandleVmList(TimePoint aNow,
                         std::vector<PlatformVm> const& aVms,
                         Outbox& aOutbox)
{
  for (auto const& vm : aVms) {
    if (vm.mName == mSelf.mName) {
      continue;
    }
    auto const found = mPeers.find(vm.mName);
    if (found == mPeers.end()) {
      if (vm.mState == PlatformVm::State::Live) {
        Contact(vm.mControl, aOutbox);
      }
      continue;
    }
    auto& peer = found->second;
    bool const removed = vm.mState == PlatformVm::State::Removed &&
                         peer.mMember.mHealth == MemberHealth::Failed;
    if (removed) {
      SetHealth(aNow, peer, MemberHealth::Gone);
    }
  }
}

void
Membership::Contact(Endpoint aControl, Outbox& aOutbox)
{
  if (aControl == mSelf.mControl || NameAt(aControl)) {
    return;
  }
  SendPing(aControl, ++mSequence, aOutbox);
}

void
Membership::SetSelfStage(MemberStage aStage)
{
  if (mSelf.mStage == aStage) {
    return;
  }
  mSelf.mStage = aStage;
  ++mSelfRevision;
  ++mGeneration;
  QueueRumor(mSelf.mName, true);
}

void
Membership::Rejoin(std::uint64_t aIncarnation)
{
  mSelf.mIncarnation = aIncarnation;
  mSelf.mStage = MemberStage::Joining;
  mSelfRevision = 1;
  mDeclaredGone = false;
  ++mGeneration;
}

std::vector<Member>
Membership::Members() const
{
  std::vector<Member> members;
  for (auto const& [name, peer] : mPeers) {
    members.push_back(peer.mMember);
  }
  auto const position = std::lower_bound(
    members.begin(), members.end(), mSelf, [](auto& aLeft, auto& aRight) {
      return aLeft.mName < aRight.mName;
    });
  members.insert(position, mSelf);
  return members;
}

Member const*
Membership::Find(std::string const& aName) const
{
  if (aName == mSelf.mName) {
    return &mSelf;
  }
  auto const found = mPeers.find(aName);
  return found == mPeers.end() ? nullptr : &found->second.mMember;
}

std::optional<std::string>
Membership::NameAt(Endpoint aControl) const
{
  for (auto const& [name, peer] : mPeers) {
    if (peer.mMember.mControl == aControl) {
      return name;
    }
  }
  return std::nullopt;
}

} // namespace tarragonsill
