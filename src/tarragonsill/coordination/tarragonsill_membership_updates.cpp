#include "tarragonsill/coordination/tarragonsill_membership.hpp"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace tarragonsill {

namespace {

constexpr std::size_t kMaxUpdatesPerMessage = 4;
constexpr unsigned kRumorSendFactor = 2;

unsigned
HealthValue(MemberHealth aHealth)
{
  return static_cast<unsigned>(aHealth);
}

} // namespace

void
Membership::ApplyUpdate(TimePoint aNow,
                        wire::MemberUpdate const& aUpdate,
                        bool aDirect)
{
  if (aUpdate.name().empty()) {
    return;
  }
  if (aUpdate.name() == mSelf.mName) {
    ApplyUpdateAboutSelf(aUpdate);
    return;
  }
  auto const health = static_cast<MemberHealth>(
    std::min(aUpdate.health(), HealthValue(MemberHealth::Gone)));
  auto const [entry, added] = mPeers.try_emplace(aUpdate.name());
  auto& peer = entry->second;
  auto const received = std::tuple(aUpdate.incarnation(),
                                   health == MemberHealth::Gone ? 1U : 0U,
                                   aUpdate.revision(),
                                   HealthValue(health));
  auto const current =
    std::tuple(peer.mMember.mIncarnation,
               peer.mMember.mHealth == MemberHealth::Gone ? 1U : 0U,
               peer.mRevision,
               HealthValue(peer.mMember.mHealth));
  // A message from the member itself proves that it is alive.
  bool const revived = aDirect && peer.mMember.mHealth != MemberHealth::Alive &&
                       aUpdate.incarnation() == peer.mMember.mIncarnation &&
                       peer.mMember.mHealth != MemberHealth::Gone;
  if (!added && received <= current && !revived) {
    return;
  }
  if (revived && peer.mMember.mHealth == MemberHealth::Failed) {
    // A network partition may have healed: the other failed members of the zone
    // are probed at once.
    mHealedZoneMembers.clear();
    for (auto const& [name, other] : mPeers) {
      if (other.mMember.mZone == peer.mMember.mZone &&
          other.mMember.mHealth == MemberHealth::Failed) {
        mHealedZoneMembers.push_back(name);
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
Membership::ApplyUpdateAboutSelf(wire::MemberUpdate const& aUpdate)
{
  if (aUpdate.incarnation() != mSelf.mIncarnation) {
    return;
  }
  if (aUpdate.health() == HealthValue(MemberHealth::Gone)) {
    mDeclaredGone = true;
    return;
  }
  bool const suspected = aUpdate.health() != HealthValue(MemberHealth::Alive) &&
                         aUpdate.revision() >= mSelfRevision;
  if (suspected) {
    mSelfRevision = aUpdate.revision() + 1;
    QueueRumor(mSelf.mName, true);
  }
}

void
Membership::SetHealth(TimePoint aNow, Peer& aPeer, MemberHealth aHealth)
{
  if (aHealth == MemberHealth::Suspect &&
      aPeer.mMember.mHealth != MemberHealth::Suspect) {
    aPeer.mSuspectedAt = aNow;
  }
  if (aHealth == MemberHealth::Failed &&
      aPeer.mMember.mHealth != MemberHealth::Failed) {
    aPeer.mMember.mFailedAt = aNow;
  }
  aPeer.mMember.mHealth = aHealth;
  ++mGeneration;
  bool const isUrgent = aHealth != MemberHealth::Alive ||
                        aPeer.mMember.mStage == MemberStage::Leaving;
  // A joining member receives the state of all others, which they already have.
  if (isUrgent || mSelf.mStage != MemberStage::Joining) {
    QueueRumor(aPeer.mMember.mName, isUrgent);
  }
}

void
Membership::QueueRumor(std::string const& aName, bool aIsUrgent)
{
  auto const size = static_cast<double>(mPeers.size() + 2);
  auto const sends =
    kRumorSendFactor * static_cast<unsigned>(std::ceil(std::log2(size)));
  std::erase_if(mRumors,
                [&](Rumor const& aRumor) { return aRumor.mName == aName; });
  mRumors.push_back({ aName, sends, aIsUrgent });
}

void
Membership::FillCommonFields(wire::PeerMessage& aMessage)
{
  *aMessage.mutable_sender() = ToUpdate(mSelf, mSelfRevision);
  aMessage.set_configuration_version(mConfigurationPosition.mRevision);
  aMessage.set_configuration_era(mConfigurationPosition.mEra);
  // The rumors sent least often go first, so that old ones do not delay new
  // ones.
  auto const maxUpdates = static_cast<std::ptrdiff_t>(
    std::min(kMaxUpdatesPerMessage, mRumors.size()));
  std::partial_sort(mRumors.begin(),
                    mRumors.begin() + maxUpdates,
                    mRumors.end(),
                    [](Rumor const& aLeft, Rumor const& aRight) {
                      return std::pair(aLeft.mIsUrgent, aLeft.mSendsLeft) >
                             std::pair(aRight.mIsUrgent, aRight.mSendsLeft);
                    });
  for (std::ptrdiff_t index = 0; index < maxUpdates; ++index) {
    auto& rumor = mRumors[static_cast<std::size_t>(index)];
    --rumor.mSendsLeft;
    auto const found = mPeers.find(rumor.mName);
    if (found != mPeers.end()) {
      *aMessage.add_updates() =
        ToUpdate(found->second.mMember, found->second.mRevision);
    }
  }
  std::erase_if(mRumors,
                [](Rumor const& aRumor) { return aRumor.mSendsLeft == 0; });
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
  update.set_health(HealthValue(aMember.mHealth));
  return update;
}

} // namespace tarragonsill
