#include "counted.hpp"

#include "support/routing_fixture.hpp"

#include <algorithm>
#include <memory>

namespace tarragonsill::Counted {

namespace {

using namespace tarragonsill::Test;

constexpr TimePoint kNow{ seconds{ 100 } };

/// Cookie steering for upstreams of one service in one zone.
std::unique_ptr<CookieSteering>
MakeSteering(std::uint32_t aUpstreams)
{
  SampleStore store;
  store.ListAll(kNow);
  store.Configure(kNow, SampleConfiguration());
  for (std::uint32_t index = 0; index < aUpstreams; ++index) {
    store.Register(kNow, SampleUpstream("u" + std::to_string(index), "a"));
  }
  auto steering = std::make_unique<CookieSteering>(1);
  steering->SetView(store.View(kNow));
  return steering;
}

SampleFlow
SampleFlowAt(std::uint32_t aNumber)
{
  Endpoint const caller{ { 0x64400000 + (aNumber >> 15) },
                         static_cast<std::uint16_t>(1024 +
                                                    (aNumber & 0x7FFF)) };
  return SampleFlow(caller);
}

Figure
CookieImbalance(std::uint32_t aUpstreams, double aMax)
{
  constexpr std::uint32_t kFlows = 28000;
  auto const steeringOwner = MakeSteering(aUpstreams);
  auto& steering = *steeringOwner;
  for (std::uint32_t number = 0; number < kFlows; ++number) {
    (void)steering.Steer(kNow, SampleFlowAt(number).Opening());
  }
  std::uint32_t maxFlows = 0;
  for (auto const& load : steering.Loads()) {
    maxFlows = std::max(maxFlows, load.mFlows);
  }
  return { "imbalance by cookie, " + std::to_string(aUpstreams) + " upstreams",
           static_cast<double>(maxFlows) * aUpstreams / kFlows,
           aMax,
           "largest over mean" };
}

Figure
CookieAllocations()
{
  constexpr std::uint32_t kFlows = 20000;
  auto const steeringOwner = MakeSteering(14);
  auto& steering = *steeringOwner;
  std::vector<FlowPacket> packets;
  for (std::uint32_t number = 0; number < kFlows; ++number) {
    auto flow = SampleFlowAt(number);
    auto const verdict = steering.Steer(kNow, flow.Opening());
    (void)steering.Steer(kNow, flow.FirstData(verdict.mCookie));
    packets.push_back(flow.Data(verdict.mCookie));
  }
  auto const before = AllocationCount();
  for (auto const& packet : packets) {
    (void)steering.Steer(kNow, packet);
  }
  auto const allocations = static_cast<double>(AllocationCount() - before);
  return { "packet of an open flow, by cookie",
           allocations / kFlows,
           0,
           "allocations per packet" };
}

} // namespace

std::vector<Figure>
CookieFigures()
{
  return { CookieAllocations(),
           CookieImbalance(14, 1.10),
           CookieImbalance(120, 1.15) };
}

void
ForwardCookiePackets(std::uint32_t aFlows, std::uint64_t aPackets)
{
  constexpr std::uint32_t kPacketSamples = 64;
  auto const steeringOwner = MakeSteering(14);
  auto& steering = *steeringOwner;
  std::vector<FlowPacket> packets;
  for (std::uint32_t number = 0; number < aFlows; ++number) {
    auto flow = SampleFlowAt(number);
    auto const verdict = steering.Steer(kNow, flow.Opening());
    (void)steering.Steer(kNow, flow.FirstData(verdict.mCookie));
    if (number % (aFlows / kPacketSamples) == 0) {
      packets.push_back(flow.Acknowledge(verdict.mCookie));
    }
  }
  for (std::uint64_t count = 0; count < aPackets; ++count) {
    (void)steering.Steer(kNow, packets[count % packets.size()]);
  }
}

} // namespace tarragonsill::Counted
