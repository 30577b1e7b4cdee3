#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <vector>

/// How an entry VM finds the upstream of a flow: by its own admission, by a
/// record of another home, or by assuming the hash choice.
using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::uint32_t kCallerCount = 200;
constexpr std::size_t kCoreCount = 6;
/// Core numbers by zone: a has 0 and 3, b has 1 and 4, c has 2 and 5.
constexpr std::size_t kFirstCoreOfC = 2;
constexpr std::size_t kSecondCoreOfC = 5;

ServiceOptions
Shape()
{
  ServiceOptions serviceOptions;
  serviceOptions.mZones = { "a", "b", "c" };
  serviceOptions.mUpstreams = 6;
  serviceOptions.mLimit = { 1000, 4 };
  serviceOptions.mColdLimit = serviceOptions.mLimit;
  return serviceOptions;
}

CoreGroup
MakeGroup()
{
  CoreGroup group(CoreGroup::Options{}, MakeConfiguration(Shape()));
  for (std::size_t index = 0; index < kCoreCount; ++index) {
    group.Add(Shape().mZones[index % 3]);
  }
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  return group;
}

bool
IsInZoneC(std::size_t aCore)
{
  return aCore == kFirstCoreOfC || aCore == kSecondCoreOfC;
}

/// Cuts zone c off from the other zones, or heals the cut.
void
CutZoneC(CoreGroup& aGroup, bool aCut)
{
  for (std::size_t other = 0; other < kCoreCount; ++other) {
    if (IsInZoneC(other)) {
      continue;
    }
    aGroup.SetLinkCut(kFirstCoreOfC, other, aCut);
    aGroup.SetLinkCut(kSecondCoreOfC, other, aCut);
  }
}

/// The destination of a packet of an open flow that enters at the given core;
/// empty if it is not delivered.
std::optional<Endpoint>
DestinationOf(CoreGroup& aGroup, std::size_t aCore, std::uint32_t aCaller)
{
  auto const result =
    FollowPacket(aGroup, aCore, CallerPacket(aCaller, TcpFlags::kAck));
  return result.mDelivered ? std::optional(result.mDestination) : std::nullopt;
}

struct OpenedFlow
{
  std::uint32_t mCaller = 0;
  Endpoint mUpstream;
};

/// Opens flows in zone a while it still regards zone c as failed, so that flows
/// with their hash choice in c go to upstreams of other zones. The next packet
/// of each enters at a VM of c that regards the other zones as failed.
std::vector<OpenedFlow>
OpenThenContinueInC(CoreGroup& aGroup, std::size_t aNext)
{
  std::vector<OpenedFlow> flows;
  for (std::uint32_t caller = 0; caller < kCallerCount; ++caller) {
    auto const upstream = OpenFlow(aGroup, 0, caller);
    if (!upstream) {
      continue;
    }
    flows.push_back({ caller, *upstream });
    (void)DestinationOf(aGroup, aNext, caller);
  }
  return flows;
}

} // namespace

TEST_GROUP(FlowProvenance){};

TEST(FlowProvenance,
     a_record_overrides_an_assumed_hash_choice_after_a_healed_cut)
{
  auto group = MakeGroup();
  CutZoneC(group, true);
  group.Run(seconds{ 5 });
  // The ledgers of the killed VM are lost, so that the other VM of c can only
  // assume the hash choice.
  group.Kill(kFirstCoreOfC);
  group.Run(seconds{ 5 });
  CutZoneC(group, false);
  auto const flows = OpenThenContinueInC(group, kSecondCoreOfC);
  CHECK(flows.size() > kCallerCount / 2);
  group.Run(seconds{ 8 });
  for (auto const& flow : flows) {
    for (std::size_t core = 0; core < kCoreCount; ++core) {
      if (!group.IsRunning(core)) {
        continue;
      }
      CHECK(DestinationOf(group, core, flow.mCaller) == flow.mUpstream);
    }
  }
}

TEST(FlowProvenance, an_assumed_hash_choice_is_not_recorded)
{
  auto group = MakeGroup();
  CutZoneC(group, true);
  group.Run(seconds{ 5 });
  group.Kill(kFirstCoreOfC);
  group.Run(seconds{ 5 });
  auto const before = group.At(kSecondCoreOfC).mEngine.ExceptionCount();
  for (std::uint32_t caller = 0; caller < kCallerCount; ++caller) {
    // No entry VM admitted these flows.
    (void)DestinationOf(group, kSecondCoreOfC, caller);
  }
  LONGS_EQUAL(before, group.At(kSecondCoreOfC).mEngine.ExceptionCount());
}
