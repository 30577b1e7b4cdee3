#include "support/engine_fixture.hpp"
#include "support/packet_path.hpp"

#include <benchmark/benchmark.h>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

/// Repeatedly forwards packets of a sample of the flows, one packet of each.
template<typename MakeBytes>
void
RunPackets(benchmark::State& aState,
           EngineFixture& aFixture,
           MakeBytes aMakeBytes)
{
  constexpr std::uint32_t kPackets = 1024;
  auto const flows = static_cast<std::uint32_t>(aState.range(0));
  std::vector<std::vector<std::byte>> originals;
  for (std::uint32_t index = 0; index < kPackets; ++index) {
    originals.push_back(aMakeBytes(index * 7919U % flows));
  }
  std::uint32_t next = 0;
  std::vector<std::byte> bytes;
  for (auto _ : aState) {
    bytes = originals[next++ % kPackets];
    auto packet = PacketView::Parse(bytes);
    benchmark::DoNotOptimize(
      aFixture.Engine().HandleFabric(aFixture.Now(), *packet));
  }
  aState.SetItemsProcessed(aState.iterations());
}

void
ForwardUntracked(benchmark::State& aState)
{
  EngineFixture fixture({ 14, 1'000'000, false, 1 });
  for (std::uint32_t flow = 0; flow < aState.range(0); ++flow) {
    fixture.Open(flow);
  }
  RunPackets(aState, fixture, [](std::uint32_t aFlow) {
    return CallerPacket(aFlow, TcpFlags::kAck);
  });
}
BENCHMARK(ForwardUntracked)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void
ForwardTracked(benchmark::State& aState)
{
  EngineFixture fixture({ 14, 1'000'000, false, 1 });
  auto const upstream =
    fixture.Snapshot().mUpstreams.front().mUpstream.mAddress;
  for (std::uint32_t flow = 0; flow < aState.range(0); ++flow) {
    FlowKey const key{ CallerAt(flow),
                       fixture.Snapshot().mServices[0].mService.mAddress,
                       TransportProtocol::Tcp };
    fixture.Engine().StoreException(fixture.Now(),
                                    { "", key.mService, key.Hash(), upstream });
  }
  RunPackets(aState, fixture, [](std::uint32_t aFlow) {
    return CallerPacket(aFlow, TcpFlags::kAck);
  });
}
BENCHMARK(ForwardTracked)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void
ForwardMiss(benchmark::State& aState)
{
  EngineFixture fixture({ 14, 1'000'000, true, 1 });
  RunPackets(aState, fixture, [](std::uint32_t aFlow) {
    return CallerPacket(aFlow, TcpFlags::kAck);
  });
}
BENCHMARK(ForwardMiss)->Arg(10'000);

void
ForwardAnswer(benchmark::State& aState)
{
  EngineFixture fixture({});
  auto const upstream =
    fixture.Snapshot().mUpstreams.front().mUpstream.mAddress;
  RunPackets(aState, fixture, [&](std::uint32_t aFlow) {
    return AnswerPacket(upstream, aFlow, TcpFlags::kAck);
  });
}
BENCHMARK(ForwardAnswer)->Arg(10'000);

void
AdmitNewFlow(benchmark::State& aState)
{
  EngineFixture fixture({ 14, 1'000'000, false, 1 });
  std::uint32_t flow = 0;
  for (auto _ : aState) {
    benchmark::DoNotOptimize(fixture.Open(flow++));
  }
  aState.SetItemsProcessed(aState.iterations());
}
BENCHMARK(AdmitNewFlow)->Iterations(500'000);

void
BuildSteeringTable(benchmark::State& aState)
{
  std::vector<BaseShare> shares;
  for (std::uint32_t index = 0; index < aState.range(0); ++index) {
    shares.push_back({ { { 0x0A000001 + index }, 8443 }, "a", 2000 });
  }
  for (auto _ : aState) {
    benchmark::DoNotOptimize(SteeringTable::Build(shares));
  }
}
BENCHMARK(BuildSteeringTable)->Arg(4)->Arg(14)->Arg(100);

void
BuildSnapshot(benchmark::State& aState)
{
  ServiceOptions serviceOptions;
  serviceOptions.mUpstreams = 14;
  auto const configuration = MakeConfiguration(serviceOptions);
  std::vector<Member> members;
  for (unsigned index = 0; index < aState.range(0); ++index) {
    members.push_back(MakeMember("a-" + std::to_string(index), "a", index));
  }
  auto const first =
    SteeringSnapshot::Build(configuration, members, "a-0", nullptr);
  for (auto _ : aState) {
    benchmark::DoNotOptimize(
      SteeringSnapshot::Build(configuration, members, "a-0", first.get()));
  }
}
BENCHMARK(BuildSnapshot)->Arg(7)->Arg(50)->Arg(530);

} // namespace
