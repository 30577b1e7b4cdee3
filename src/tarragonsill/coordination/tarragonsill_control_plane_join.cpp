#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"

#include <algorithm>
#include <utility>

namespace tarragonsill {

namespace {

constexpr milliseconds kJoinPeriod{ 200 };
/// Bounds the bytes of joining, whatever the size of the zone.
constexpr std::size_t kSeedsPerPeriod = 6;
constexpr std::size_t kRequestsPerPeriod = 8;
/// Keeps an acknowledgement below the usual MTU.
constexpr std::uint32_t kMembersPerAck = 20;

} // namespace

bool
ControlPlane::AllAcknowledged() const
{
  for (auto const& name : mListedPeers) {
    if (mMembership.Find(name) == nullptr) {
      return false; // It runs, but has not been reached yet.
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
  if (mJoinStarted == TimePoint{}) {
    mJoinStarted = aNow;
  }
  if (aNow < mNextJoin) {
    return;
  }
  mNextJoin = aNow + kJoinPeriod;
  ContactSeeds(aOutbox);
  RequestAcknowledgements(aOutbox);
  // An earlier process at this address may have granted leases that it can
  // no longer remember; they have run out after this time.
  auto const quiet = mOptions.mOwnership.mLease + mOptions.mOwnership.mMargin;
  bool const ready = mConfiguration && mPeersKnown &&
                     aNow - mJoinStarted > quiet && AllAcknowledged();
  if (!ready) {
    return;
  }
  mMembership.SetSelfStage(MemberStage::Serving);
  RefreshOwnership();
  if (!mZoneHasHistory) {
    mOwnership.Bootstrap();
  }
}

void
ControlPlane::TellJoiners(TimePoint aNow, Outbox& aOutbox)
{
  bool const isDue = aNow >= mNextJoin;
  bool allKnow = true;
  for (auto const& member : ZoneMembersBut(mMembership.Self().mName)) {
    if (member.mStage != MemberStage::Joining) {
      mToldJoiners.erase(member.mName);
      continue;
    }
    if (mToldJoiners.count(member.mName) > 0) {
      continue;
    }
    allKnow = false;
    if (isDue) {
      // Every message names its sender's stage.
      AddMessage(aOutbox, member.mControl)
        .mutable_join_request()
        ->set_known_members(ZoneDigest(mMembership.Self().mName));
    }
  }
  if (isDue) {
    mNextJoin = aNow + kJoinPeriod;
  }
  mOwnership.SetJoinersKnow(allKnow);
}

void
ControlPlane::ContactSeeds(Outbox& aOutbox)
{
  auto const maxSeeds = std::min(kSeedsPerPeriod, mSeeds.size());
  for (std::size_t count = 0; count < maxSeeds; ++count) {
    mMembership.Contact(mSeeds[mNextSeed++ % mSeeds.size()], aOutbox);
  }
}

std::vector<Member>
ControlPlane::ZoneMembersBut(std::string const& aExcept) const
{
  std::vector<Member> members;
  for (auto& member : mMembership.Members()) {
    bool const counts = member.mZone == mMembership.Self().mZone &&
                        member.mHealth != MemberHealth::Gone &&
                        member.mName != aExcept;
    if (counts) {
      members.push_back(std::move(member));
    }
  }
  return members;
}

std::uint64_t
ControlPlane::ZoneDigest(std::string const& aExcept) const
{
  std::uint64_t digest = 0;
  for (auto const& member : ZoneMembersBut(aExcept)) {
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
  for (auto const& member : ZoneMembersBut(self)) {
    if (member.mStage != MemberStage::Joining) {
      mZoneHasHistory = true;
    }
    bool const due =
      mJoinAcks.count(member.mName) == 0 && requests < kRequestsPerPeriod;
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
  auto const members = ZoneMembersBut(aFrom.mName);
  auto index = std::size_t{ aRequest.offset() };
  for (; index < members.size(); ++index) {
    if (index == aRequest.offset() + kMembersPerAck) {
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
    mToldJoiners.insert(aFrom.mName);
    return;
  }
  mJoinOffsets[aFrom.mName] = aAck.next_offset();
  if (aAck.next_offset() == 0) {
    mJoinAcks.insert(aFrom.mName);
  }
}

} // namespace tarragonsill
