#include "support/routing_fixture.hpp"

#include <limits>

namespace tarragonsill::Test {

namespace {

constexpr std::uint16_t kRequestBytes = 200;
constexpr std::uint32_t kAnswerBytes = 600;

} // namespace

NodeSettings
SampleSettings()
{
  NodeSettings settings;
  settings.mName = "entry-a-1";
  settings.mZone = "a";
  settings.mZones = { "a", "b", "c" };
  settings.mHeartbeat = milliseconds{ 1200 };
  return settings;
}

RoutingConfiguration
SampleConfiguration(std::uint64_t aVersion)
{
  RoutingConfiguration configuration;
  configuration.mVersion = aVersion;
  configuration.mRoutes = {
    { "web", kWebRoute, { { "web", 1 } }, RequestKind::Idempotent },
    { "label", kLabelRoute, { { "label", 1 } }, RequestKind::Idempotent },
  };
  configuration.mServices = { { "web", seconds{ 2 }, 2.0 },
                              { "label", seconds{ 2 }, 2.0 } };
  return configuration;
}

UpstreamRegistration
SampleUpstream(std::string const& aName,
               std::string const& aZone,
               std::string const& aService)
{
  UpstreamRegistration registration;
  registration.mName = aName;
  registration.mIdentity = HashText(aName);
  registration.mAddress = {
    { 0x0A800000 + static_cast<std::uint32_t>(HashText(aName) % 60000) }, 8080
  };
  registration.mService = aService;
  registration.mZone = aZone;
  registration.mSlots = 4;
  registration.mStartMark = 1;
  return registration;
}

SampleStore::SampleStore(NodeSettings const& aSettings)
  : mDirectory(aSettings)
{
}

void
SampleStore::ApplyChange(TimePoint aNow, ObjectKind aKind, ObjectChange aChange)
{
  ++mPosition.mRevision;
  aChange.mPosition = mPosition;
  StoreUpdate update{ aKind, { std::move(aChange) }, false, mPosition, {} };
  (void)mDirectory.Apply(aNow, update);
}

void
SampleStore::Configure(TimePoint aNow,
                       RoutingConfiguration const& aConfiguration)
{
  ApplyChange(
    aNow, ObjectKind::Configuration, { "main", {}, false, aConfiguration });
}

void
SampleStore::Register(TimePoint aNow, UpstreamRegistration const& aRegistration)
{
  ApplyChange(aNow,
              ObjectKind::Upstreams,
              { aRegistration.mName, {}, false, aRegistration });
}

void
SampleStore::Remove(TimePoint aNow, std::string const& aUpstream)
{
  ApplyChange(
    aNow, ObjectKind::Upstreams, { aUpstream, {}, true, InvalidRecord{} });
}

void
SampleStore::Evacuate(TimePoint aNow, std::string const& aZone, bool aIsOut)
{
  ApplyChange(
    aNow, ObjectKind::Evacuations, { aZone, {}, !aIsOut, EvacuationRecord{} });
}

void
SampleStore::ListAll(TimePoint aNow)
{
  for (auto const kind : kObjectKinds) {
    // The list precedes all objects, so that it removes none of them.
    (void)mDirectory.Apply(aNow, { kind, {}, true, { mPosition.mEra, 1 }, {} });
  }
}

std::uint32_t
SlotOf(RoutingView const& aView, std::string const& aName)
{
  for (std::uint32_t slot = 0; slot < aView.mUpstreams.size(); ++slot) {
    if (aView.mUpstreams[slot].mRegistration.mName == aName) {
      return slot;
    }
  }
  return std::numeric_limits<std::uint32_t>::max();
}

SampleFlow::SampleFlow(Endpoint aCaller, Endpoint aRoute)
  : mCaller(aCaller)
  , mRoute(aRoute)
{
}

FlowPacket
SampleFlow::Base(std::uint32_t aCookie) const
{
  FlowPacket packet;
  packet.mSource = mCaller;
  packet.mDestination = mRoute;
  packet.mCookie = aCookie;
  packet.mSequence = mSequence;
  packet.mAcknowledged = mAcknowledged;
  packet.mAcknowledges = true;
  return packet;
}

FlowPacket
SampleFlow::Opening(std::uint32_t aRetransmissions) const
{
  auto packet = Base(0);
  packet.mSequence = 999;
  packet.mAcknowledged = 0;
  packet.mAcknowledges = false;
  packet.mOpens = true;
  packet.mOpeningRetransmissions = aRetransmissions;
  return packet;
}

FlowPacket
SampleFlow::FirstData(std::uint32_t aCookie)
{
  return Data(aCookie);
}

FlowPacket
SampleFlow::Data(std::uint32_t aCookie, bool aIsRetransmission)
{
  auto packet = Base(aCookie);
  packet.mDataBytes = kRequestBytes;
  if (aIsRetransmission) {
    packet.mSequence -= kRequestBytes;
    return packet;
  }
  mSequence += kRequestBytes;
  return packet;
}

FlowPacket
SampleFlow::Acknowledge(std::uint32_t aCookie)
{
  mAcknowledged += kAnswerBytes;
  return Base(aCookie);
}

} // namespace tarragonsill::Test
