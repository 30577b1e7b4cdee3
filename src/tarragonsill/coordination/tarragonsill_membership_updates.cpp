#include "tarragonsill/coordination/tarragonsill_membership.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tarragonsill {

namespace {

constexpr std::size_t kMaxUpdatesPerMessage = 4;
constexpr unsigned kRumourSendFactor = 2;

unsigned
HealthRank(MemberHealth aHealth)
{
  return static_cast<unsigned>(aHealth);
}

} // namespace

void
Membership::Apply(TimePoint aNow,
                  wire::MemberUpdate const& aUpdate,
                  bool aDirect)
{
  if (aUpdate.name().empty()) {
    return;
  }
  if (aUpdate.name() == mSelf.mName) {
    ApplyAboutSelf(aUpdate);
    return;
  }
  auto const health = static_cast<MemberHealth>(
    std::min(aUpdate.health(), HealthRank(MemberHealth::Gone)));
  auto const [entry, added] = mPeers.try_emplace(aUpdate.name());
  auto& peer = entry->second;
  auto const offered = std::tuple(aUpdate.incarnation(),
                                  health == MemberHealth::Gone ? 1U : 0U,
                                  aUpdate.revision(),
                                  HealthRank(health));
  auto const held =
    std::tuple(peer.mMember.mIncarnation,
               peer.mMember.mHealth == MemberHealth::Gone ? 1U : 0U,
               peer.mRevision,
               HealthRank(peer.mMember.mHealth));
  if (aDirect) {
    peer.mLastHeard = aNow;
  }
  // A packet straight from a member proves that it is alive.
  bool const revived = aDirect && peer.mMember.mHealth != MemberHealth::Alive &&
                       aUpdate.incarnation() == peer.mMember.mIncarnation &&
                       peer.mMember.mHealth != MemberHealth::Gone;
  if (!added && offered <= held && !revived) {
    return;
  }
  if (revived && peer.mMember.mHealth == MemberHealth::Failed) {
    // A cut may have healed: its other members are probed at once.
    mHealed.clear();
    for (auto const& [name, other] : mPeers) {
      if (other.mMember.mZone == peer.mMember.mZone &&
          other.mMember.mHealth == MemberHealth::Failed) {
        mHealed.push_back(name);
      }
    }
  }
  auto const ip = Ipv4Address{ aUpdate.address() };
  auto const port = [](std::uint32_t aPort) {
    return static_cast<std::uint16_t>(aPort);
  };
  auto& member = peer.mMember;
  member.mName = aUpdate.name();
  member.mZone = aUpdate.zone();
  member.mControl = { ip, port(aUpdate.control_port()) };
  member.mData = { ip, port(aUpdate.data_port()) };
  member.mCalls = { ip, port(aUpdate.calls_port()) };
  member.mIncarnation = aUpdate.incarnation();
  member.mStage = static_cast<MemberStage>(std::clamp(
    aUpdate.stage(), 1U, static_cast<unsigned>(MemberStage::Leaving)));
  peer.mRevision = aUpdate.revision();
  SetHealth(aNow, peer, aDirect ? MemberHealth::Alive : health);
}

void
Membership::ApplyAboutSelf(wire::MemberUpdate const& aUpdate)
{
  if (aUpdate.incarnation() != mSelf.mIncarnation) {
    return;
  }
  if (aUpdate.health() == HealthRank(MemberHealth::Gone)) {
    mDeclaredGone = true;
    return;
  }
  bool const accused = aUpdate.health() != HealthRank(MemberHealth::Alive) &&
                       aUpdate.revision() >= mSelfRevision;
  if (accused) {
    mSelfRevision = aUpdate.revision() + 1;
    Spread(mSelf.mName, true);
  }
}

void
Membership::SetHealth(TimePoint aNow, Peer& aPeer, MemberHealth aHealth)
{
  if (aHealth == MemberHealth::Suspect &&
      aPeer.mMember.mHealth != MemberHealth::Suspect) {
    aPeer.mSuspectSince = aNow;
  }
  if (aHealth == MemberHealth::Failed &&
      aPeer.mMember.mHealth != MemberHealth::Failed) {
    aPeer.mMember.mFailedAt = aNow;
  }
  aPeer.mMember.mHealth = aHealth;
  ++mGeneration;
  bool const urgent = aHealth != MemberHealth::Alive ||
                      aPeer.mMember.mStage == MemberStage::Leaving;
  // To a joining member everybody is news, but not to the others.
  if (urgent || mSelf.mStage != MemberStage::Joining) {
    Spread(aPeer.mMember.mName, urgent);
  }
}

void
Membership::Spread(std::string const& aName, bool aIsUrgent)
{
  auto const size = static_cast<double>(mPeers.size() + 2);
  auto const sends =
    kRumourSendFactor * static_cast<unsigned>(std::ceil(std::log2(size)));
  std::erase_if(mRumours,
                [&](Rumour const& aRumour) { return aRumour.mName == aName; });
  mRumours.push_back({ aName, sends, aIsUrgent });
}

void
Membership::FillCommonFields(wire::PeerMessage& aMessage)
{
  *aMessage.mutable_sender() = ToUpdate(mSelf, mSelfRevision);
  aMessage.set_configuration_version(mConfiguration.mRevision);
  aMessage.set_configuration_era(mConfiguration.mEra);
  // What was sent least often goes first, so that old news cannot hold up new.
  auto const maxUpdates = static_cast<std::ptrdiff_t>(
    std::min(kMaxUpdatesPerMessage, mRumours.size()));
  std::partial_sort(mRumours.begin(),
                    mRumours.begin() + maxUpdates,
                    mRumours.end(),
                    [](Rumour const& aLeft, Rumour const& aRight) {
                      return std::pair(aLeft.mIsUrgent, aLeft.mSendsLeft) >
                             std::pair(aRight.mIsUrgent, aRight.mSendsLeft);
                    });
  for (std::ptrdiff_t index = 0; index < maxUpdates; ++index) {
    auto& rumour = mRumours[static_cast<std::size_t>(index)];
    --rumour.mSendsLeft;
    auto const found = mPeers.find(rumour.mName);
    if (found != mPeers.end()) {
      *aMessage.add_updates() =
        ToUpdate(found->second.mMember, found->second.mRevision);
    }
  }
  std::erase_if(mRumours,
                [](Rumour const& aRumour) { return aRumour.mSendsLeft == 0; });
}

wire::MemberUpdate
Membership::UpdateOf(std::string const& aName) const
{
  auto const found = mPeers.find(aName);
  return found == mPeers.end()
           ? wire::MemberUpdate{}
           : ToUpdate(found->second.mMember, found->second.mRevision);
}

wire::MemberUpdate
Membership::ToUpdate(Member const& aMember, std::uint32_t aRevision) const
{
  wire::MemberUpdate update;
  update.set_name(aMember.mName);
  update.set_zone(aMember.mZone);
  update.set_address(aMember.mControl.mAddress.mValue);
  update.set_control_port(aMember.mControl.mPort);
  update.set_data_port(aMember.mData.mPort);
  update.set_calls_port(aMember.mCalls.mPort);
  update.set_incarnation(aMember.mIncarnation);
  update.set_revision(aRevision);
  update.set_stage(static_cast<std::uint32_t>(aMember.mStage));
  update.set_health(HealthRank(aMember.mHealth));
  return update;
}

} // namespace tarragonsill
