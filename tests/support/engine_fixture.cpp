#include "support/engine_fixture.hpp"

#include "support/packet_path.hpp"

namespace tarragonsill::Test {

namespace {

ServiceOptions
ServiceOptionsFor(EngineFixture::Options const& aOptions)
{
  ServiceOptions serviceOptions;
  serviceOptions.mUpstreams = aOptions.mUpstreams;
  serviceOptions.mLimit = { aOptions.mConnections, 4 };
  serviceOptions.mColdLimit = serviceOptions.mLimit;
  return serviceOptions;
}

} // namespace

EngineFixture::EngineFixture(Options aOptions)
  : mConfiguration(MakeConfiguration(ServiceOptionsFor(aOptions)))
  , mEngine({ aOptions.mAnswerCacheCapacity }, mCounters)
{
  std::vector<Member> members = { MakeMember("a-0", "a", 0) };
  if (aOptions.mWithPeer) {
    members.push_back(MakeMember("a-1", "a", 1));
  }
  mSnapshot = SteeringSnapshot::Build(mConfiguration, members, "a-0", nullptr);
  mEngine.ApplySnapshot(mSnapshot);
  AdmissionLeases leases;
  for (auto const& upstream : mConfiguration.mServices.front().mUpstreams) {
    leases.push_back(
      { upstream.mAddress, kStart + seconds{ 3600 }, upstream.mLimit, 1, {} });
  }
  mEngine.ApplyLeases(kStart, std::make_shared<AdmissionLeases const>(leases));
}

std::optional<Endpoint>
EngineFixture::Open(std::uint32_t aCaller)
{
  auto bytes = CallerPacket(aCaller, TcpFlags::kSyn);
  auto packet = PacketView::Parse(bytes);
  auto const action = mEngine.HandleFabric(kStart, *packet);
  if (action.mKind != ActionKind::ToFabric) {
    return std::nullopt;
  }
  return packet->Destination();
}

} // namespace tarragonsill::Test
