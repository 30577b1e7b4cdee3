#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <vector>

/// How an entry VM knows where a flow is: admitted, told or guessed.
using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::uint32_t kCallers = 200;
constexpr std::size_t kCores = 6;
/// Core numbers by zone: a has 0 and 3, b has 1 and 4, c has 2 and 5.
constexpr std::size_t kFirstOfC = 2;
constexpr std::size_t kSecondOfC = 5;

ServiceOptions
Shape()
{
  ServiceOptions shape;
  shape.mZones = { "a", "b", "c" };
  shape.mUpstreams = 6;
  shape.mLimit = { 1000, 4 };
  shape.mColdLimit = shape.mLimit;
  return shape;
}

CoreGroup
MakeGroup()
{
  CoreGroup group(CoreGroup::Options{}, MakeConfiguration(Shape()));
  for (std::size_t index = 0; index < kCores; ++index) {
    group.Add(Shape().mZones[index % 3]);
  }
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  return group;
}

bool
IsOfC(std::size_t aCore)
{
  return aCore == kFirstOfC || aCore == kSecondOfC;
}

/// Cuts zone c off from the others, or heals that.
void
CutZoneC(CoreGroup& aGroup, bool aCut)
{
  for (std::size_t other = 0; other < kCores; ++other) {
    if (IsOfC(other)) {
      continue;
    }
    aGroup.Cut(kFirstOfC, other, aCut);
    aGroup.Cut(kSecondOfC, other, aCut);
  }
}

/// Where a packet of an open flow goes that enters at a core.
std::optional<Endpoint>
WayOf(CoreGroup& aGroup, std::size_t aCore, std::uint32_t aCaller)
{
  auto const result =
    Follow(aGroup, aCore, CallerPacket(aCaller, TcpFlags::kAck));
  return result.mDelivered ? std::optional(result.mDestination) : std::nullopt;
}

struct OpenedFlow
{
  std::uint32_t mCaller = 0;
  Endpoint mUpstream;
};

/// Flows admitted in zone a, which does not see zone c, to upstreams of other
/// zones although their pure choice lies in c. Their next packet enters at a
/// VM of c that does not see the other zones either.
std::vector<OpenedFlow>
OpenThenContinueInC(CoreGroup& aGroup, std::size_t aNext)
{
  std::vector<OpenedFlow> flows;
  for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
    auto const upstream = OpenFlow(aGroup, 0, caller);
    if (!upstream) {
      continue;
    }
    flows.push_back({ caller, *upstream });
    (void)WayOf(aGroup, aNext, caller);
  }
  return flows;
}

} // namespace

TEST_GROUP(FlowProvenance){};

TEST(FlowProvenance, a_guess_after_a_healed_cut_gives_way_to_the_record)
{
  auto group = MakeGroup();
  CutZoneC(group, true);
  group.Run(seconds{ 5 });
  // A VM of c that dies takes its ledgers along: the other one has to guess.
  group.Kill(kFirstOfC);
  group.Run(seconds{ 5 });
  CutZoneC(group, false);
  auto const flows = OpenThenContinueInC(group, kSecondOfC);
  CHECK(flows.size() > kCallers / 2);
  group.Run(seconds{ 8 });
  for (auto const& flow : flows) {
    for (std::size_t core = 0; core < kCores; ++core) {
      if (!group.Runs(core)) {
        continue;
      }
      CHECK(WayOf(group, core, flow.mCaller) == flow.mUpstream);
    }
  }
}

TEST(FlowProvenance, a_guess_is_neither_recorded_nor_told_to_others)
{
  auto group = MakeGroup();
  CutZoneC(group, true);
  group.Run(seconds{ 5 });
  group.Kill(kFirstOfC);
  group.Run(seconds{ 5 });
  auto const before = group.At(kSecondOfC).mEngine.ExceptionCount();
  for (std::uint32_t caller = 0; caller < kCallers; ++caller) {
    // Nobody ever admitted these flows.
    (void)WayOf(group, kSecondOfC, caller);
  }
  LONGS_EQUAL(before, group.At(kSecondOfC).mEngine.ExceptionCount());
}
