#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <iostream>
#include <map>
#include <vector>

/// Generated orders of cuts, heals, pauses, admissions and packets: whatever
/// was guessed meanwhile, a flow is found again where it was admitted.
using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::size_t kCores = 6;
constexpr std::size_t kZones = 3;

/// One step of a generated schedule.
struct FlowAction
{
  enum Kind
  {
    Open,
    Talk,
    Cut,
    Heal,
    Pause,
    Count,
  };
  int mKind = Open;
  std::size_t mCore = 0;
  milliseconds mThen{ 0 }; ///< Time that passes after it.
};

void
showValue(FlowAction const& aAction, std::ostream& aOut)
{
  aOut << "{" << aAction.mKind << "," << aAction.mCore << ","
       << aAction.mThen.count() << " ms}";
}

class FlowSchedule
{
public:
  explicit FlowSchedule(std::uint64_t aSeed)
    : mGroup(MakeGroup(aSeed))
  {
  }

  bool Start()
  {
    bool const serves = mGroup.RunUntilServing();
    mGroup.Run(seconds{ 2 });
    return serves;
  }

  void Carry(FlowAction const& aAction)
  {
    switch (aAction.mKind) {
      case FlowAction::Open:
        Open(aAction.mCore);
        break;
      case FlowAction::Talk:
        Talk(aAction.mCore);
        break;
      case FlowAction::Cut:
        CutZone(aAction.mCore % kZones, true);
        break;
      case FlowAction::Heal:
        Heal();
        break;
      case FlowAction::Pause:
        mGroup.Pause(aAction.mCore, milliseconds{ 2500 });
        break;
      default:
        break;
    }
    mGroup.Run(aAction.mThen);
  }

  /// Whether every flow reaches its upstream through every VM once all is
  /// calm.
  bool AllAreFound()
  {
    Heal();
    mGroup.Run(seconds{ 12 });
    for (auto const& [caller, upstream] : mFlows) {
      for (std::size_t core = 0; core < kCores; ++core) {
        auto const result =
          Follow(mGroup, core, CallerPacket(caller, TcpFlags::kAck));
        if (!result.mDelivered || result.mDestination != upstream) {
          return false;
        }
      }
    }
    return true;
  }

private:
  static CoreGroup MakeGroup(std::uint64_t aSeed)
  {
    ServiceOptions shape;
    shape.mZones = { "a", "b", "c" };
    shape.mUpstreams = kCores;
    shape.mLimit = { 1000, 4 };
    shape.mColdLimit = shape.mLimit;
    CoreGroup::Options options;
    options.mSeed = aSeed;
    options.mMaxDelay = milliseconds{ 50 };
    CoreGroup group(options, MakeConfiguration(shape));
    for (std::size_t index = 0; index < kCores; ++index) {
      group.Add(shape.mZones[index % kZones]);
    }
    return group;
  }

  void Open(std::size_t aCore)
  {
    constexpr std::uint32_t kAtOnce = 6;
    for (std::uint32_t count = 0; count < kAtOnce; ++count) {
      auto const caller = mNextCaller++;
      if (!mGroup.Runs(aCore)) {
        continue;
      }
      if (auto const upstream = OpenFlow(mGroup, aCore, caller)) {
        mFlows[caller] = *upstream;
      }
    }
  }

  void Talk(std::size_t aCore)
  {
    for (auto const& [caller, upstream] : mFlows) {
      if (mGroup.Runs(aCore)) {
        (void)Follow(mGroup, aCore, CallerPacket(caller, TcpFlags::kAck));
      }
    }
  }

  void CutZone(std::size_t aZone, bool aCut)
  {
    for (std::size_t inside = aZone; inside < kCores; inside += kZones) {
      for (std::size_t other = 0; other < kCores; ++other) {
        if (other % kZones != aZone) {
          mGroup.Cut(inside, other, aCut);
        }
      }
    }
  }

  void Heal()
  {
    for (std::size_t zone = 0; zone < kZones; ++zone) {
      CutZone(zone, false);
    }
  }

  CoreGroup mGroup;
  std::uint32_t mNextCaller = 0;
  std::map<std::uint32_t, Endpoint> mFlows;
};

rc::Gen<FlowAction>
FlowActionGenerator()
{
  // Short times let packets come before the VMs have noticed a heal, long ones
  // let them notice a cut.
  auto const times = rc::gen::element(milliseconds{ 0 },
                                      milliseconds{ 50 },
                                      milliseconds{ 300 },
                                      milliseconds{ 1500 },
                                      milliseconds{ 3000 });
  return rc::gen::build<FlowAction>(
    rc::gen::set(&FlowAction::mKind,
                 rc::gen::inRange<int>(0, FlowAction::Count)),
    rc::gen::set(&FlowAction::mCore, rc::gen::inRange<std::size_t>(0, kCores)),
    rc::gen::set(&FlowAction::mThen, times));
}

} // namespace

TEST_GROUP(FlowSchedules){};

TEST(FlowSchedules, a_flow_is_found_where_it_was_admitted_once_all_is_calm)
{
  CheckProperty("flows are found again", [] {
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    auto const actions =
      *rc::gen::container<std::vector<FlowAction>>(FlowActionGenerator());
    FlowSchedule schedule(seed);
    RC_PRE(schedule.Start());
    for (auto const& action : actions) {
      schedule.Carry(action);
    }
    RC_ASSERT(schedule.AllAreFound());
  });
}

TEST(FlowSchedules, orders_that_once_lost_flows_hold_with_any_timing)
{
  // Packets that a VM handles while its zone's owner stands still and other
  // zones are not heard: the first order within a cut, the second after it.
  using Kind = FlowAction::Kind;
  std::vector<std::vector<FlowAction>> const orders = {
    { { Kind::Cut, 0, milliseconds{ 50 } },
      { Kind::Open, 0, milliseconds{ 3000 } },
      { Kind::Pause, 3, milliseconds{ 1500 } },
      { Kind::Open, 1, milliseconds{ 0 } },
      { Kind::Talk, 0, milliseconds{ 50 } } },
    { { Kind::Cut, 4, milliseconds{ 3000 } },
      { Kind::Pause, 0, milliseconds{ 300 } },
      { Kind::Open, 4, milliseconds{ 1500 } },
      { Kind::Talk, 2, milliseconds{ 300 } } },
  };
  constexpr std::uint64_t kSeeds = 10;
  for (auto const& order : orders) {
    for (std::uint64_t seed = 0; seed < kSeeds; ++seed) {
      FlowSchedule schedule(seed);
      CHECK(schedule.Start());
      for (auto const& action : order) {
        schedule.Carry(action);
      }
      CHECK(schedule.AllAreFound());
    }
  }
}
