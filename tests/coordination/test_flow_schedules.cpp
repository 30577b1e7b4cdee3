#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <iostream>
#include <map>
#include <vector>

/// Generated schedules of cut and restored links, pauses, admissions and
/// packets. VMs may guess the upstream of a flow while others are unreachable;
/// afterwards every flow must reach the upstream to which it was admitted.
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
    SendPackets,
    CutZone,
    RestoreLinks,
    Pause,
    Count,
  };
  int mKind = Open;
  std::size_t mCore = 0;
  milliseconds mWaitAfter{ 0 }; ///< Time that passes after the action.
};

void
showValue(FlowAction const& aAction, std::ostream& aOut)
{
  aOut << "{" << aAction.mKind << "," << aAction.mCore << ","
       << aAction.mWaitAfter.count() << " ms}";
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
    bool const serving = mGroup.RunUntilServing();
    mGroup.Run(seconds{ 2 });
    return serving;
  }

  void Execute(FlowAction const& aAction)
  {
    switch (aAction.mKind) {
      case FlowAction::Open:
        Open(aAction.mCore);
        break;
      case FlowAction::SendPackets:
        SendPackets(aAction.mCore);
        break;
      case FlowAction::CutZone:
        CutZone(aAction.mCore % kZones, true);
        break;
      case FlowAction::RestoreLinks:
        RestoreLinks();
        break;
      case FlowAction::Pause:
        mGroup.Pause(aAction.mCore, milliseconds{ 2500 });
        break;
      default:
        break;
    }
    mGroup.Run(aAction.mWaitAfter);
  }

  /// Whether every flow reaches its upstream through every VM once all links
  /// are restored and all pauses have ended.
  bool AllFlowsReachTheirUpstreams()
  {
    RestoreLinks();
    mGroup.Run(seconds{ 12 });
    for (auto const& [caller, upstream] : mFlows) {
      for (std::size_t core = 0; core < kCores; ++core) {
        auto const result =
          FollowPacket(mGroup, core, CallerPacket(caller, TcpFlags::kAck));
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
    ServiceOptions serviceOptions;
    serviceOptions.mZones = { "a", "b", "c" };
    serviceOptions.mUpstreams = kCores;
    serviceOptions.mLimit = { 1000, 4 };
    serviceOptions.mColdLimit = serviceOptions.mLimit;
    CoreGroup::Options options;
    options.mSeed = aSeed;
    options.mMaxDelay = milliseconds{ 50 };
    CoreGroup group(options, MakeConfiguration(serviceOptions));
    for (std::size_t index = 0; index < kCores; ++index) {
      group.Add(serviceOptions.mZones[index % kZones]);
    }
    return group;
  }

  void Open(std::size_t aCore)
  {
    constexpr std::uint32_t kFlowsPerAction = 6;
    for (std::uint32_t count = 0; count < kFlowsPerAction; ++count) {
      auto const caller = mNextCaller++;
      if (!mGroup.IsRunning(aCore)) {
        continue;
      }
      if (auto const upstream = OpenFlow(mGroup, aCore, caller)) {
        mFlows[caller] = *upstream;
      }
    }
  }

  void SendPackets(std::size_t aCore)
  {
    for (auto const& [caller, upstream] : mFlows) {
      if (mGroup.IsRunning(aCore)) {
        (void)FollowPacket(mGroup, aCore, CallerPacket(caller, TcpFlags::kAck));
      }
    }
  }

  void CutZone(std::size_t aZone, bool aCut)
  {
    for (std::size_t core = aZone; core < kCores; core += kZones) {
      for (std::size_t other = 0; other < kCores; ++other) {
        if (other % kZones != aZone) {
          mGroup.SetLinkCut(core, other, aCut);
        }
      }
    }
  }

  void RestoreLinks()
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
GenerateFlowAction()
{
  // With short waits, packets arrive before the VMs have detected that links
  // are restored; with long ones, the VMs detect that links are cut.
  auto const waits = rc::gen::element(milliseconds{ 0 },
                                      milliseconds{ 50 },
                                      milliseconds{ 300 },
                                      milliseconds{ 1500 },
                                      milliseconds{ 3000 });
  return rc::gen::build<FlowAction>(
    rc::gen::set(&FlowAction::mKind,
                 rc::gen::inRange<int>(0, FlowAction::Count)),
    rc::gen::set(&FlowAction::mCore, rc::gen::inRange<std::size_t>(0, kCores)),
    rc::gen::set(&FlowAction::mWaitAfter, waits));
}

} // namespace

TEST_GROUP(FlowSchedules){};

TEST(FlowSchedules, every_flow_reaches_its_upstream_once_faults_have_ended)
{
  CheckProperty("flows reach their upstreams", [] {
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    auto const actions =
      *rc::gen::container<std::vector<FlowAction>>(GenerateFlowAction());
    FlowSchedule schedule(seed);
    RC_PRE(schedule.Start());
    for (auto const& action : actions) {
      schedule.Execute(action);
    }
    RC_ASSERT(schedule.AllFlowsReachTheirUpstreams());
  });
}

TEST(FlowSchedules, schedules_that_lost_flows_in_the_past_pass_with_any_timing)
{
  // A VM handles packets while the owner in its zone is paused and other zones
  // are unreachable: the first schedule does so during a cut, the second after
  // it.
  using Kind = FlowAction::Kind;
  std::vector<std::vector<FlowAction>> const schedules = {
    { { Kind::CutZone, 0, milliseconds{ 50 } },
      { Kind::Open, 0, milliseconds{ 3000 } },
      { Kind::Pause, 3, milliseconds{ 1500 } },
      { Kind::Open, 1, milliseconds{ 0 } },
      { Kind::SendPackets, 0, milliseconds{ 50 } } },
    { { Kind::CutZone, 4, milliseconds{ 3000 } },
      { Kind::Pause, 0, milliseconds{ 300 } },
      { Kind::Open, 4, milliseconds{ 1500 } },
      { Kind::SendPackets, 2, milliseconds{ 300 } } },
  };
  constexpr std::uint64_t kSeedCount = 10;
  for (auto const& actions : schedules) {
    for (std::uint64_t seed = 0; seed < kSeedCount; ++seed) {
      FlowSchedule schedule(seed);
      CHECK(schedule.Start());
      for (auto const& action : actions) {
        schedule.Execute(action);
      }
      CHECK(schedule.AllFlowsReachTheirUpstreams());
    }
  }
}
