#include "counted.hpp"

#include "support/engine_fixture.hpp"
#include "support/packet_path.hpp"
#include "tarragonsill/state/tarragonsill_flow_table.hpp"

#include <algorithm>
#include <atomic>
#include <cstdlib>
#include <new>

namespace {

std::atomic<std::uint64_t> sAllocations{ 0 };

} // namespace

void*
operator new(std::size_t aBytes)
{
  ++sAllocations;
  if (void* memory = std::malloc(aBytes)) {
    return memory;
  }
  throw std::bad_alloc();
}

void
operator delete(void* aMemory) noexcept
{
  std::free(aMemory);
}

void
operator delete(void* aMemory, std::size_t) noexcept
{
  std::free(aMemory);
}

namespace tarragonsill::Counted {

namespace {

using namespace tarragonsill::Test;

constexpr std::uint32_t kFlows = 20000;

/// Average allocations per packet when each packet is forwarded once.
double
AllocationsPerPacket(EngineFixture& aFixture,
                     std::vector<std::vector<std::byte>>& aPackets)
{
  auto const before = AllocationCount();
  for (auto& bytes : aPackets) {
    auto packet = PacketView::Parse(bytes);
    (void)aFixture.Engine().HandleFabric(aFixture.Now(), *packet);
  }
  return static_cast<double>(AllocationCount() - before) /
         static_cast<double>(aPackets.size());
}

Figure
AllocationFigure(std::string aName, bool aIsAnswer)
{
  EngineFixture fixture({});
  std::vector<std::vector<std::byte>> packets;
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    auto const upstream = fixture.Open(flow);
    packets.push_back(aIsAnswer ? AnswerPacket(*upstream, flow, TcpFlags::kAck)
                                : CallerPacket(flow, TcpFlags::kAck));
  }
  return { std::move(aName),
           AllocationsPerPacket(fixture, packets),
           0,
           "allocations per packet" };
}

/// Counts exceptions for flows at their hash choice; none is expected.
Figure
ExceptionFigure()
{
  EngineFixture fixture({});
  for (std::uint32_t flow = 0; flow < kFlows; ++flow) {
    fixture.Open(flow);
  }
  return { "exceptions for flows at their hash choice",
           static_cast<double>(fixture.Engine().ExceptionCount()),
           0,
           "exceptions" };
}

struct Entry
{
  std::uint64_t mKey = 0;
  std::uint64_t mValue = 0;
};

Figure
FlowTableBytesFigure()
{
  FlowTable<Entry> table;
  double maxBytes = 0;
  for (std::uint64_t flow = 1; flow <= 1'000'000; ++flow) {
    table.FindOrInsert(Scramble(flow));
    if (flow >= 10'000) {
      maxBytes = std::max(maxBytes,
                          static_cast<double>(table.MemoryBytes()) /
                            static_cast<double>(flow));
    }
  }
  return {
    "flow table, 10,000 to 1,000,000 flows", maxBytes, 32, "bytes per flow"
  };
}

Figure
ImbalanceFigure()
{
  constexpr std::uint32_t kBalanceFlows = 28000;
  EngineFixture fixture({});
  std::vector<std::uint32_t> counts(14, 0);
  for (std::uint32_t flow = 0; flow < kBalanceFlows; ++flow) {
    auto const upstream = fixture.Open(flow);
    ++counts[upstream->mAddress.mValue - 0x0A000001];
  }
  auto const maxCount = *std::max_element(counts.begin(), counts.end());
  return { "imbalance, 14 upstreams, 28,000 flows",
           static_cast<double>(maxCount) * 14 / kBalanceFlows,
           1.10,
           "largest over mean" };
}

} // namespace

std::uint64_t
AllocationCount()
{
  return sAllocations;
}

std::vector<Figure>
PacketFigures()
{
  return { AllocationFigure("packet of a caller", false),
           AllocationFigure("answer of an upstream", true),
           ExceptionFigure(),
           FlowTableBytesFigure(),
           ImbalanceFigure() };
}

void
ForwardPackets(std::string const& aKind,
               std::uint32_t aFlows,
               std::uint64_t aPackets)
{
  EngineFixture fixture({ 14, 1'000'000, aKind == "miss", 1 });
  Endpoint const upstream =
    fixture.Snapshot().mUpstreams.front().mUpstream.mAddress;
  for (std::uint32_t flow = 0; flow < aFlows; ++flow) {
    fixture.Open(flow);
  }
  auto const original = [&](std::uint32_t aFlow) {
    return aKind == "answer" ? AnswerPacket(upstream, aFlow, TcpFlags::kAck)
                             : CallerPacket(aFlow, TcpFlags::kAck);
  };
  constexpr std::uint32_t kPacketSamples = 64;
  std::vector<std::vector<std::byte>> originals;
  for (std::uint32_t index = 0; index < kPacketSamples; ++index) {
    originals.push_back(original(index * 7919U % aFlows));
  }
  std::vector<std::byte> bytes;
  for (std::uint64_t count = 0; count < aPackets; ++count) {
    bytes = originals[count % kPacketSamples];
    auto packet = PacketView::Parse(bytes);
    (void)fixture.Engine().HandleFabric(fixture.Now(), *packet);
  }
}

} // namespace tarragonsill::Counted
