#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <map>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::uint32_t kFlows = 200;

/// Three zones with two cores each, and six upstreams.
CoreGroup
MakeGroup(WorkLimit aLimit = { 200, 4 })
{
  ServiceOptions shape;
  shape.mZones = { "a", "b", "c" };
  shape.mUpstreams = 6;
  shape.mLimit = aLimit;
  shape.mColdLimit = aLimit;
  CoreGroup group(CoreGroup::Options{}, MakeConfiguration(shape));
  for (unsigned index = 0; index < 6; ++index) {
    group.Add(shape.mZones[index % 3]);
  }
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  return group;
}

/// Opens flows through changing cores; returns where each one went.
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
/// reached another upstream than theirs.
std::size_t
Misdelivered(CoreGroup& aGroup,
             std::map<std::uint32_t, Endpoint> const& aFlows,
             std::size_t& aLost)
{
  std::size_t wrong = 0;
  aLost = 0;
  for (auto const& [caller, upstream] : aFlows) {
    for (std::size_t core = 0; core < aGroup.Count(); ++core) {
      if (!aGroup.Runs(core)) {
        continue;
      }
      auto const result =
        Follow(aGroup, core, CallerPacket(caller, TcpFlags::kAck));
      aLost += result.mDelivered ? 0 : 1;
      wrong += result.mDelivered && result.mDestination != upstream ? 1 : 0;
    }
  }
  return wrong;
}

/// Checks that every flow reaches its upstream through every running core.
void
CheckAllHeld(CoreGroup& aGroup, std::map<std::uint32_t, Endpoint> const& aFlows)
{
  std::size_t lost = 0;
  LONGS_EQUAL(0, Misdelivered(aGroup, aFlows, lost));
  LONGS_EQUAL(0, lost);
}

} // namespace

TEST_GROUP(PacketEngine){};

TEST(PacketEngine, every_packet_of_a_flow_reaches_its_upstream_by_any_core)
{
  auto group = MakeGroup();
  auto const flows = OpenFlows(group, 0, kFlows);
  LONGS_EQUAL(kFlows, flows.size());
  CheckAllHeld(group, flows);
}

TEST(PacketEngine, an_answer_leaves_with_the_service_as_its_source)
{
  auto group = MakeGroup();
  auto const upstream = OpenFlow(group, 0, 1);
  CHECK(upstream.has_value());
  for (std::size_t core = 0; core < group.Count(); ++core) {
    auto const result =
      Follow(group, core, AnswerPacket(*upstream, 1, TcpFlags::kAck));
    CHECK(result.mDelivered);
    CHECK((result.mSource == Endpoint{ { 0xC6336401 }, 443 }));
    CHECK(result.mDestination == CallerAt(1));
  }
}

TEST(PacketEngine, an_untracked_flow_costs_no_exception)
{
  auto group = MakeGroup();
  OpenFlows(group, 0, kFlows);
  for (std::size_t core = 0; core < group.Count(); ++core) {
    LONGS_EQUAL(0, group.At(core).mEngine.ExceptionCount());
  }
}

TEST(PacketEngine, flows_beyond_a_full_upstream_become_exceptions_and_hold)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlows);
  std::map<Endpoint, unsigned> byUpstream;
  for (auto const& [caller, upstream] : flows) {
    ++byUpstream[upstream];
  }
  for (auto const& [upstream, count] : byUpstream) {
    CHECK(count <= 40);
  }
  CHECK(flows.size() > 190);
  CheckAllHeld(group, flows);
}

TEST(PacketEngine, flows_survive_the_death_of_any_core)
{
  for (std::size_t victim = 0; victim < 6; ++victim) {
    auto group = MakeGroup({ 40, 4 });
    auto const flows = OpenFlows(group, 0, kFlows);
    group.Kill(victim);
    group.Run(seconds{ 6 });
    CheckAllHeld(group, flows);
  }
}

TEST(PacketEngine, flows_survive_two_deaths_one_after_the_other)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlows);
  group.Kill(0);
  group.Run(seconds{ 6 });
  group.Kill(4);
  group.Run(seconds{ 6 });
  CheckAllHeld(group, flows);
}

TEST(PacketEngine, exceptions_opened_between_two_deaths_in_a_zone_survive)
{
  auto group = MakeGroup({ 40, 4 });
  group.Kill(0);
  group.Run(seconds{ 4 });
  // Many exceptions, recorded while zone a has one core only.
  std::map<std::uint32_t, Endpoint> flows;
  for (std::uint32_t caller = 0; caller < kFlows; ++caller) {
    if (auto const upstream = OpenFlow(group, 1 + caller % 5, caller)) {
      flows[caller] = *upstream;
    }
  }
  group.Kill(3);
  group.Run(seconds{ 6 });
  CheckAllHeld(group, flows);
}

TEST(PacketEngine, flows_survive_a_drain_a_death_during_it_and_a_join)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlows);
  ServiceOptions shape;
  shape.mZones = { "a", "b", "c" };
  shape.mUpstreams = 6;
  shape.mLimit = { 40, 4 };
  shape.mColdLimit = shape.mLimit;
  auto changed = MakeConfiguration(shape, 2);
  changed.mServices.front().mUpstreams[2].mState = UpstreamAdminState::Draining;
  group.Apply(changed);
  group.Kill(2);
  group.Add("a");
  CHECK(group.RunUntilServing() || true);
  group.Run(seconds{ 8 });
  group.ListRemoved(2);
  group.Run(seconds{ 4 });
  CheckAllHeld(group, flows);
  auto const drained = changed.mServices.front().mUpstreams[2].mAddress;
  for (auto const& [caller, upstream] : OpenFlows(group, 1000, 50)) {
    CHECK(upstream != drained);
  }
}

TEST(PacketEngine, a_planned_leave_hands_every_exception_over)
{
  auto group = MakeGroup({ 40, 4 });
  auto const flows = OpenFlows(group, 0, kFlows);
  group.At(1).mPlane.BeginLeaving();
  group.Run(seconds{ 3 });
  CHECK(group.At(1).mPlane.HandedOver());
  group.Kill(1);
  group.Run(seconds{ 6 });
  group.Kill(4); // The other core of zone b: only handed-over state is left.
  group.Run(seconds{ 6 });
  CheckAllHeld(group, flows);
}

TEST(PacketEngine, nothing_goes_to_a_zone_that_is_out)
{
  auto group = MakeGroup();
  auto const flows = OpenFlows(group, 0, kFlows);
  ServiceOptions shape;
  shape.mZones = { "a", "b", "c" };
  shape.mUpstreams = 6;
  shape.mLimit = { 200, 4 };
  shape.mColdLimit = shape.mLimit;
  auto changed = MakeConfiguration(shape, 2);
  changed.mZones[1].mState = ZoneState::Out;
  group.Apply(changed);
  group.Run(seconds{ 1 });
  auto const& upstreams = changed.mServices.front().mUpstreams;
  auto const isOut = [&](Endpoint aUpstream) {
    return aUpstream == upstreams[1].mAddress ||
           aUpstream == upstreams[4].mAddress;
  };
  for (auto const& [caller, upstream] : flows) {
    for (std::size_t core = 0; core < group.Count(); ++core) {
      auto const result =
        Follow(group, core, CallerPacket(caller, TcpFlags::kAck));
      CHECK_EQUAL(!isOut(upstream), result.mDelivered);
    }
  }
  auto const later = OpenFlows(group, 1000, 100);
  LONGS_EQUAL(100, later.size());
  for (auto const& [caller, upstream] : later) {
    CHECK_FALSE(isOut(upstream));
  }
}

TEST(PacketEngine, a_true_reset_reaches_the_caller)
{
  auto group = MakeGroup();
  auto const upstream = OpenFlow(group, 0, 1);
  CHECK(upstream.has_value());
  auto const result =
    Follow(group, 3, AnswerPacket(*upstream, 1, TcpFlags::kRst));
  CHECK(result.mDelivered);
}

TEST(PacketEngine, a_reset_of_an_upstream_that_never_saw_the_flow_is_held_back)
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
      Follow(group, 0, AnswerPacket(other.mAddress, 1, TcpFlags::kRst));
    CHECK_FALSE(result.mDelivered);
  }
}

TEST(PacketEngine, a_late_exception_does_not_move_a_flow_from_its_pure_choice)
{
  // After a cut, a home on the other side may send a record of a first packet
  // that the caller has repeated on this side.
  auto group = MakeGroup();
  auto const flows = OpenFlows(group, 0, kFlows);
  auto const other =
    MakeConfiguration({ { "a", "b", "c" }, 6 }).mServices.front().mUpstreams;
  Endpoint const service{ { 0xC6336401 }, 443 };
  for (auto const& [caller, upstream] : flows) {
    auto const wrong =
      upstream == other[0].mAddress ? other[1].mAddress : other[0].mAddress;
    FlowKey const key{ CallerAt(caller), service, TransportProtocol::Tcp };
    for (std::size_t core = 0; core < group.Count(); ++core) {
      group.At(core).mEngine.StoreException(
        group.Now(), { "late", service, key.Hash(), wrong });
    }
  }
  CheckAllHeld(group, flows);
}

TEST(PacketEngine, udp_flows_keep_their_upstream_and_their_limit)
{
  auto group = MakeGroup({ 20, 4 });
  Endpoint const service{ { 0xC6336401 }, 443 };
  std::map<std::uint32_t, Endpoint> flows;
  std::map<Endpoint, unsigned> counts;
  for (std::uint32_t caller = 0; caller < 150; ++caller) {
    auto const result =
      Follow(group,
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
      auto const result = Follow(
        group,
        core,
        MakePacket(CallerAt(caller), service, 0, TransportProtocol::Udp));
      CHECK(result.mDelivered && result.mDestination == upstream);
    }
  }
}

TEST(PacketEngine, without_a_configuration_nothing_is_served)
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
  auto const result = Follow(
    group, 0, MakePacket(CallerAt(1), { { 0x01020304 }, 5 }, TcpFlags::kSyn));
  CHECK_FALSE(result.mDelivered);
  CHECK(result.mCause == Counter::DropUnknownService);
}
