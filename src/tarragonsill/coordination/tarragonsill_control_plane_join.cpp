#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

constexpr milliseconds kJoinRoundPeriod{ 200 };
/// These two limit the bytes that joining takes in a zone of any size.
constexpr std::size_t kMaxSeedsPerRound = 6;
constexpr std::size_t kMaxRequestsPerRound = 8;
/// Keeps an acknowledgement below the usual MTU.
constexpr std::uint32_t kMaxMembersPerAck = 20;

} // namespace

bool
ControlPlane::HasAllJoinAcks() const
{
  for (auto const& name : mListedLivePeers) {
    if (mMembership.Find(name) == nullptr) {
      return false; // A running VM that has not been reached yet.
    }
  }
  for (auto const& member : mMembership.Members()) {
    bool const needed = IsZonePeer(member) &&
                        member.mHealth != MemberHealth::Gone &&
                        member.mStage != MemberStage::Leaving;
    if (needed && mJoinAcks.count(member.mName) == 0) {
      return false;
    }
  }
  return true;
}

void
ControlPlane::AdvanceJoin(TimePoint aNow, Outbox& aOutbox)
{
  if (mJoinStartedAt == TimePoint{}) {
    mJoinStartedAt = aNow;
  }
  if (aNow < mNextJoinRound) {
    return;
  }
  mNextJoinRound = aNow + kJoinRoundPeriod;
  ContactSeeds(aOutbox);
  RequestAcknowledgements(aOutbox);
  // An earlier process at this address may have granted leases that this
  // process has no record of. They have expired after this time.
  auto const maxEarlierLease =
    mOptions.mOwnership.mLeaseDuration + mOptions.mOwnership.mClockMargin;
  bool const ready = mConfiguration && mHasPeerInformation &&
                     aNow - mJoinStartedAt > maxEarlierLease &&
                     HasAllJoinAcks();
  if (!ready) {
    return;
  }
  mMembership.SetSelfStage(MemberStage::Serving);
  UpdateOwnershipMembers();
  if (!mZoneWasServed) {
    mOwnership.AssumeNoOpenWork();
  }
}

void
ControlPlane::NotifyJoiningVms(TimePoint aNow, Outbox& aOutbox)
{
  bool const isDue = aNow >= mNextJoinRound;
  bool allAcknowledged = true;
  for (auto const& member : ZoneMembersExcept(mMembership.Self().mName)) {
    if (member.mStage != MemberStage::Joining) {
      mServingAcks.erase(member.mName);
      continue;
    }
    if (mServingAcks.count(member.mName) > 0) {
      continue;
    }
    allAcknowledged = false;
    if (isDue) {
      // The request also announces this VM's stage, as every message does.
      AddMessage(aOutbox, member.mControl)
        .mutable_join_request()
        ->set_known_members(ZoneDigest(mMembership.Self().mName));
    }
  }
  if (isDue) {
    mNextJoinRound = aNow + kJoinRoundPeriod;
  }
  mOwnership.SetAcknowledgedByJoiners(allAcknowledged);
}

void
ControlPlane::ContactSeeds(Outbox& aOutbox)
{
  auto const maxSeeds = std::min(kMaxSeedsPerRound, mSeeds.size());
  for (std::size_t count = 0; count < maxSeeds; ++count) {
    mMembership.Contact(mSeeds[mNextSeed++ % mSeeds.size()], aOutbox);
  }
}

std::vector<Member>
ControlPlane::ZoneMembersExcept(std::string const& aExcept) const
{
  std::vector<Member> members;
  for (auto& member : mMembership.Members()) {
    bool const isIncluded = member.mZone == mMembership.Self().mZone &&
                            member.mHealth != MemberHealth::Gone &&
                            member.mName != aExcept;
    if (isIncluded) {
      members.push_back(std::move(member));
    }
  }
  return members;
}

std::uint64_t
ControlPlane::ZoneDigest(std::string const& aExcept) const
{
  std::uint64_t digest = 0;
  for (auto const& member : ZoneMembersExcept(aExcept)) {
    digest ^= Scramble(member.NameHash());
  }
  return digest;
}

void
ControlPlane::RequestAcknowledgements(Outbox& aOutbox)
{
  auto const self = mMembership.Self().mName;
  auto const digest = ZoneDigest(self);
  std::size_t requests = 0;
  for (auto const& member : ZoneMembersExcept(self)) {
    if (member.mStage != MemberStage::Joining) {
      mZoneWasServed = true;
    }
    bool const due =
      mJoinAcks.count(member.mName) == 0 && requests < kMaxRequestsPerRound;
    if (!due) {
      continue;
    }
    ++requests;
    auto* request = AddMessage(aOutbox, member.mControl).mutable_join_request();
    request->set_known_members(digest);
    request->set_offset(mJoinOffsets[member.mName]);
  }
}

void
ControlPlane::AnswerJoinRequest(Member const& aFrom,
                                wire::JoinRequest const& aRequest,
                                Outbox& aOutbox)
{
  auto* ack = AddMessage(aOutbox, aFrom.mControl).mutable_join_ack();
  if (ZoneDigest(aFrom.mName) == aRequest.known_members()) {
    return;
  }
  auto const members = ZoneMembersExcept(aFrom.mName);
  auto index = std::size_t{ aRequest.offset() };
  for (; index < members.size(); ++index) {
    if (index == aRequest.offset() + kMaxMembersPerAck) {
      break;
    }
    auto const& name = members[index].mName;
    if (name != mMembership.Self().mName) {
      *ack->add_members() = mMembership.UpdateOf(name);
    }
  }
  if (index < members.size()) {
    ack->set_next_offset(static_cast<std::uint32_t>(index));
  }
}

void
ControlPlane::HandleJoinAck(Member const& aFrom, wire::JoinAck const& aAck)
{
  if (aAck.refused()) {
    return;
  }
  if (mMembership.Self().mStage == MemberStage::Serving) {
    mServingAcks.insert(aFrom.mName);
    return;
  }
  mJoinOffsets[aFrom.mName] = aAck.next_offset();
  if (aAck.next_offset() == 0) {
    mJoinAcks.insert(aFrom.mName);
  }
}

} // namespace tarragonsill
