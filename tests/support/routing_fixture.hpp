#ifndef TARRAGONSILL_ROUTING_FIXTURE_HPP_INCLUDED
#define TARRAGONSILL_ROUTING_FIXTURE_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"
#include "tarragonsill/coordination/tarragonsill_directory.hpp"

#include <map>
#include <string>
#include <vector>

/// A small deployment for tests of cookie steering.
namespace tarragonsill::Test {

constexpr Endpoint kWebRoute{ { 0xC6120001 }, 443 };
constexpr Endpoint kLabelRoute{ { 0xC6120002 }, 443 };
constexpr Endpoint kCaller{ { 0x64400007 }, 40001 };

/// Settings of a VM in zone `a` of the zones `a`, `b` and `c`.
NodeSettings SampleSettings();
/// Routes to the services `web` and `label`. A cold upstream is limited to 5
/// plus 1.5 times 2 flows per second.
RoutingConfiguration SampleConfiguration(std::uint64_t aVersion = 1);
/// An upstream of a service, with 4 slots.
UpstreamRegistration SampleUpstream(std::string const& aName,
                                    std::string const& aZone,
                                    std::string const& aService = "web");

/// Applies changes to a directory, as the store does.
class SampleStore
{
public:
  explicit SampleStore(NodeSettings const& aSettings = SampleSettings());

  void Configure(TimePoint aNow, RoutingConfiguration const& aConfiguration);
  void Register(TimePoint aNow, UpstreamRegistration const& aRegistration);
  void Remove(TimePoint aNow, std::string const& aUpstream);
  void Evacuate(TimePoint aNow, std::string const& aZone, bool aIsOut);
  /// Delivers empty lists of all kinds of objects, as at the start.
  void ListAll(TimePoint aNow);

  Directory& TargetDirectory() { return mDirectory; }
  RoutingViewPointer View(TimePoint aNow) { return mDirectory.BuildView(aNow); }
  std::uint64_t Revision() const { return mPosition.mRevision; }

private:
  void ApplyChange(TimePoint aNow, ObjectKind aKind, ObjectChange aChange);

  Directory mDirectory;
  StorePosition mPosition{ 0, 10 };
};

/// Returns the slot of an upstream, or an unused number if there is none.
std::uint32_t SlotOf(RoutingView const& aView, std::string const& aName);

/// The packets that one caller sends in a flow, as a VM receives them.
class SampleFlow
{
public:
  explicit SampleFlow(Endpoint aCaller = kCaller, Endpoint aRoute = kWebRoute);

  FlowPacket Opening(std::uint32_t aRetransmissions = 0) const;
  /// The first packet after the handshake, with data.
  FlowPacket FirstData(std::uint32_t aCookie);
  /// A new request, or a retransmission of the last one.
  FlowPacket Data(std::uint32_t aCookie, bool aIsRetransmission = false);
  /// Acknowledges more of the upstream's answer.
  FlowPacket Acknowledge(std::uint32_t aCookie);

private:
  FlowPacket Base(std::uint32_t aCookie) const;

  Endpoint mCaller;
  Endpoint mRoute;
  std::uint32_t mSequence = 1000;
  std::uint32_t mAcknowledged = 500;
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_ROUTING_FIXTURE_HPP_INCLUDED
