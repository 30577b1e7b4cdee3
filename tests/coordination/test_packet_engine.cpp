#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <map>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::uint32_t kFlowCount = 200;

/// Makes three zones with two cores each, and six upstreams.
CoreGroup
MakeGroup(WorkLimit aLimit = { 200, 4 })
{
  ServiceOptions serviceOptions;
  serviceOptions.mZones = { "a", "b", "c" };
  serviceOptions.mUpstreams = 6;
  serviceOptions.mLimit = aLimit;
  serviceOptions.mColdLimit = aLimit;
  CoreGroup group(CoreGroup::Options{}, MakeConfiguration(serviceOptions));
  for (unsigned index = 0; index < 6; ++index) {
    group.Add(serviceOptions.mZones[index % 3]);
  }
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  return group;
}

/// Opens flows through the cores in turn; returns their upstreams by caller.
std::map<std::uint32_t, Endpoint>
OpenFlows(CoreGroup& aGroup, std::uint32_t aFirst, std::uint32_t aCount)
{
  std::map<std::uint32_t, Endpoint> flows;
  for (std::uint32_t caller = aFirst; caller < aFirst + aCount; ++caller) {
    auto const upstream = OpenFlow(aGroup, caller % aGroup.Count(), caller);
    if (upstream) {
      flows[caller] = *upstream;
    }
  }
  return flows;
}

/// Sends a packet of each flow through every running core. Returns how many
/// reached a wrong upstream; `aLost` is set to the number not delivered.
std::size_t
CountMisdelivered(CoreGroup& aGroup,
                  std::map<std::uint32_t, Endpoint> const& aFlows,
                  std::size_t& aLost)
{
  std::size_t wrong = 0;
  aLost = 0;
  for (auto const& [caller, upstream] : aFlows) {
    for (std::size_t core = 0; core < aGroup.Count(); ++core) {
      if (!aGroup.IsRunning(core)) {
        continue;
      }
      auto const result =
        FollowPacket(aGroup, core, CallerPacket(caller, TcpFlags::kAck));
      aLost += result.mDelivered ? 0 : 1;
      wrong += result.mDelivered && result.mDestination != upstream ? 1 : 0;
    }
  }
  return wrong;
}

/// Checks that every flow reaches its upstream through every running core.
void
CheckAllDelivered(CoreGroup& aGroup,
                  std::map<std::uint32_t, Endpoint> const& aFlows)
{
  std::size_t lost = 0;
  LONGS_EQUAL(0, CountMisdelivered(aGroup, aFlows, lost));
  LONGS_EQUAL(0, lost);
}

} // namespace

TEST_GROUP(PacketEngine){};

TEST(PacketEngine, every_packet_of_a_flow_reaches_its_upstream_through_any_core)
{
  auto group = MakeGroup();
  auto const flows = OpenFlows(group, 0, kFlowCount);
  LONGS_EQUAL(kFlowCount, flows.size());
  CheckAllDelivered(group, flows);
}

TEST(PacketEngine, an_answer_is_sent_with_the_service_as_its_source)
{
  auto group = MakeGroup();
  auto const upstream = OpenFlow(group, 0, 1);
  CHECK(upstream.has_value());
  for (std::size_t core = 0; core < group.Count(); ++core) {
    auto const result =
      FollowPacket(group, core, AnswerPacket(*upstream, 1, TcpFlags::kAck));
    CHECK(result.mDelivered);
    CHECK((result.mSource == Endpoint{ { 0xC6336401 }, 443 }));
    CHECK(result.mDestination == CallerAt(1));
  }
}

TEST(PacketEngine, flows_at_their_hash_choice_need_no_exception)
{
  auto group = MakeGroup();
  OpenFlows(group, 0, kFlowCount);
  for (std::size_t core = 0; core < group.Count(); ++core) {
    LONGS_EQUAL(0, group.At(core).mEngine.ExceptionCount());
  }
}

TEST(PacketEngine,
     flows_refused_by_a_full_upstream_become_exceptions_that_persist)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlowCount);
  std::map<Endpoint, unsigned> byUpstream;
  for (auto const& [caller, upstream] : flows) {
    ++byUpstream[upstream];
  }
  for (auto const& [upstream, count] : byUpstream) {
    CHECK(count <= 40);
  }
  CHECK(flows.size() > 190);
  CheckAllDelivered(group, flows);
}

TEST(PacketEngine, flows_survive_the_failure_of_any_core)
{
  for (std::size_t victim = 0; victim < 6; ++victim) {
    auto group = MakeGroup({ 40, 4 });
    auto const flows = OpenFlows(group, 0, kFlowCount);
    group.Kill(victim);
    group.Run(seconds{ 6 });
    CheckAllDelivered(group, flows);
  }
}

TEST(PacketEngine, flows_survive_two_successive_core_failures)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlowCount);
  group.Kill(0);
  group.Run(seconds{ 6 });
  group.Kill(4);
  group.Run(seconds{ 6 });
  CheckAllDelivered(group, flows);
}

TEST(PacketEngine,
     exceptions_recorded_between_two_core_failures_in_a_zone_survive)
{
  auto group = MakeGroup({ 40, 4 });
  group.Kill(0);
  group.Run(seconds{ 4 });
  // Records many exceptions while zone a has only one core.
  std::map<std::uint32_t, Endpoint> flows;
  for (std::uint32_t caller = 0; caller < kFlowCount; ++caller) {
    if (auto const upstream = OpenFlow(group, 1 + caller % 5, caller)) {
      flows[caller] = *upstream;
    }
  }
  group.Kill(3);
  group.Run(seconds{ 6 });
  CheckAllDelivered(group, flows);
}

TEST(PacketEngine, flows_survive_a_core_failure_and_a_join_during_a_drain)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlowCount);
  ServiceOptions serviceOptions;
  serviceOptions.mZones = { "a", "b", "c" };
  serviceOptions.mUpstreams = 6;
  serviceOptions.mLimit = { 40, 4 };
  serviceOptions.mColdLimit = serviceOptions.mLimit;
  auto changed = MakeConfiguration(serviceOptions, 2);
  changed.mServices.front().mUpstreams[2].mState = UpstreamAdminState::Draining;
  group.ApplyConfiguration(changed);
  group.Kill(2);
  group.Add("a");
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 8 });
  group.ReportRemovedVm(2);
  group.Run(seconds{ 4 });
  CheckAllDelivered(group, flows);
  auto const drained = changed.mServices.front().mUpstreams[2].mAddress;
  for (auto const& [caller, upstream] : OpenFlows(group, 1000, 50)) {
    CHECK(upstream != drained);
  }
}

TEST(PacketEngine, a_planned_leave_transfers_every_exception)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlowCount);
  group.At(1).mControlPlane.BeginLeaving();
  group.Run(seconds{ 3 });
  CHECK(group.At(1).mControlPlane.IsHandoverComplete());
  group.Kill(1);
  group.Run(seconds{ 6 });
  group.Kill(4); // The other core of zone b; only transferred state is left.
  group.Run(seconds{ 6 });
  CheckAllDelivered(group, flows);
}

TEST(PacketEngine, no_packet_goes_to_a_zone_that_is_out_of_service)
{
  auto group = MakeGroup();
  auto const flows = OpenFlows(group, 0, kFlowCount);
  ServiceOptions serviceOptions;
  serviceOptions.mZones = { "a", "b", "c" };
  serviceOptions.mUpstreams = 6;
  serviceOptions.mLimit = { 200, 4 };
  serviceOptions.mColdLimit = serviceOptions.mLimit;
  auto changed = MakeConfiguration(serviceOptions, 2);
  changed.mZones[1].mState = ZoneState::Out;
  group.ApplyConfiguration(changed);
  group.Run(seconds{ 1 });
  auto const& upstreams = changed.mServices.front().mUpstreams;
  auto const isOut = [&](Endpoint aUpstream) {
    return aUpstream == upstreams[1].mAddress ||
           aUpstream == upstreams[4].mAddress;
  };
  for (auto const& [caller, upstream] : flows) {
    for (std::size_t core = 0; core < group.Count(); ++core) {
      auto const result =
        FollowPacket(group, core, CallerPacket(caller, TcpFlags::kAck));
      CHECK_EQUAL(!isOut(upstream), result.mDelivered);
    }
  }
  auto const later = OpenFlows(group, 1000, 100);
  LONGS_EQUAL(100, later.size());
  for (auto const& [caller, upstream] : later) {
    CHECK_FALSE(isOut(upstream));
  }
}

TEST(PacketEngine, a_reset_of_an_open_flow_reaches_the_caller)
{
  auto group = MakeGroup();
  auto const upstream = OpenFlow(group, 0, 1);
  CHECK(upstream.has_value());
  auto const result =
    FollowPacket(group, 3, AnswerPacket(*upstream, 1, TcpFlags::kRst));
  CHECK(result.mDelivered);
}

TEST(PacketEngine, a_reset_by_an_upstream_without_the_flow_is_withheld)
{
  auto group = MakeGroup();
  auto const upstream = OpenFlow(group, 0, 1);
  auto const upstreams =
    MakeConfiguration({ { "a", "b", "c" }, 6 }).mServices.front().mUpstreams;
  for (auto const& other : upstreams) {
    if (other.mAddress == *upstream) {
      continue;
    }
    auto const result =
      FollowPacket(group, 0, AnswerPacket(other.mAddress, 1, TcpFlags::kRst));
    CHECK_FALSE(result.mDelivered);
  }
}

TEST(PacketEngine, a_late_exception_does_not_move_a_flow_from_its_hash_choice)
{
  // After a cut between zones, a home on the other side may send an exception
  // for a flow whose opening packet was retransmitted on this side.
  auto group = MakeGroup();
  auto const flows = OpenFlows(group, 0, kFlowCount);
  auto const upstreams =
    MakeConfiguration({ { "a", "b", "c" }, 6 }).mServices.front().mUpstreams;
  Endpoint const service{ { 0xC6336401 }, 443 };
  for (auto const& [caller, upstream] : flows) {
    auto const wrong = upstream == upstreams[0].mAddress
                         ? upstreams[1].mAddress
                         : upstreams[0].mAddress;
    FlowKey const key{ CallerAt(caller), service, TransportProtocol::Tcp };
    for (std::size_t core = 0; core < group.Count(); ++core) {
      group.At(core).mEngine.StoreException(
        group.Now(), { "late", service, key.Hash(), wrong });
    }
  }
  CheckAllDelivered(group, flows);
}

TEST(PacketEngine, udp_flows_keep_their_upstream_within_its_limit)
{
  auto group = MakeGroup({ 20, 4 });
  Endpoint const service{ { 0xC6336401 }, 443 };
  std::map<std::uint32_t, Endpoint> flows;
  std::map<Endpoint, unsigned> counts;
  for (std::uint32_t caller = 0; caller < 150; ++caller) {
    auto const result = FollowPacket(
      group,
      caller % group.Count(),
      MakePacket(CallerAt(caller), service, 0, TransportProtocol::Udp));
    if (result.mDelivered) {
      flows[caller] = result.mDestination;
      CHECK(++counts[result.mDestination] <= 20);
    }
  }
  CHECK(flows.size() >= 115);
  for (auto const& [caller, upstream] : flows) {
    for (std::size_t core = 0; core < group.Count(); ++core) {
      auto const result = FollowPacket(
        group,
        core,
        MakePacket(CallerAt(caller), service, 0, TransportProtocol::Udp));
      CHECK(result.mDelivered && result.mDestination == upstream);
    }
  }
}

TEST(PacketEngine, packets_are_dropped_without_a_configuration)
{
  Counters counters;
  PacketEngine engine({}, counters);
  auto bytes = CallerPacket(1, TcpFlags::kSyn);
  auto packet = PacketView::Parse(bytes);
  auto const action = engine.HandleFabric(kStart, *packet);
  CHECK(action.mKind == ActionKind::Drop);
  CHECK(action.mCause == Counter::DropNoConfiguration);
}

TEST(PacketEngine, packets_to_unknown_addresses_are_dropped)
{
  auto group = MakeGroup();
  auto const result = FollowPacket(
    group, 0, MakePacket(CallerAt(1), { { 0x01020304 }, 5 }, TcpFlags::kSyn));
  CHECK_FALSE(result.mDelivered);
  CHECK(result.mCause == Counter::DropUnknownService);
}
