#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <iostream>
#include <map>
#include <set>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::uint32_t kMaxConnections = 12;

/// One step of a generated schedule.
struct Action
{
  enum Kind
  {
    Open,
    Close,
    SendPackets,
    Kill,
    Restart,
    Pause,
    CutLink,
    RestoreLinks,
    ReportRemovedVms,
    Wait,
    Count,
  };
  int mKind = Wait;
  std::uint32_t mCore = 0;
  std::uint32_t mValue = 0; ///< Another core, or a time.
};

void
showValue(Action const& aAction, std::ostream& aOut)
{
  aOut << "{" << aAction.mKind << "," << aAction.mCore << "," << aAction.mValue
       << "}";
}

/// Runs a schedule and checks exclusive ownership and limits after each step.
class Schedule
{
public:
  Schedule(std::uint64_t aSeed, double aLoss)
    : mGroup(MakeGroup(aSeed, aLoss))
  {
  }

  bool Start() { return mGroup.RunUntilServing(); }

  void Execute(Action const& aAction)
  {
    auto const core = aAction.mCore % mGroup.Count();
    auto const other = aAction.mValue % mGroup.Count();
    switch (aAction.mKind) {
      case Action::Open:
        for (std::uint32_t flow = 0; flow < 8; ++flow) {
          Open(core);
        }
        break;
      case Action::Close:
        Close(core);
        break;
      case Action::SendPackets:
        SendPackets(core);
        break;
      case Action::Kill:
        if (mKilled.empty()) {
          mGroup.Kill(core);
          mKilled.insert(core);
        }
        break;
      case Action::Restart:
        for (auto const killed : std::exchange(mKilled, {})) {
          mGroup.Restart(killed);
        }
        mGroup.ReportLiveVms();
        break;
      case Action::Pause:
        mGroup.Pause(core, milliseconds{ 2 * aAction.mValue });
        mLastPaused = core;
        break;
      case Action::CutLink:
        if (core != other) {
          mGroup.SetLinkCut(core, other, true);
          mCutLinks.insert({ core, other });
        }
        break;
      case Action::RestoreLinks:
        for (auto const& [left, right] : std::exchange(mCutLinks, {})) {
          mGroup.SetLinkCut(left, right, false);
        }
        break;
      case Action::ReportRemovedVms:
        // The platform may also replace a VM that is only paused.
        if (mKilled.empty() && mLastPaused && !mGroup.IsRunning(*mLastPaused)) {
          mGroup.ReportRemovedVm(*mLastPaused);
        }
        for (auto const killed : mKilled) {
          mGroup.ReportRemovedVm(killed);
        }
        break;
      default:
        break;
    }
    mGroup.Run(milliseconds{ 50 + aAction.mValue % 1500 },
               [&] { CheckStep(); });
  }

private:
  static CoreGroup MakeGroup(std::uint64_t aSeed, double aLoss)
  {
    ServiceOptions serviceOptions;
    serviceOptions.mUpstreams = 3;
    serviceOptions.mLimit = { kMaxConnections, 4 };
    serviceOptions.mColdLimit = { 4, 1 };
    CoreGroup::Options options;
    options.mSeed = aSeed;
    options.mLoss = aLoss;
    options.mMaxDelay = milliseconds{ 300 };
    CoreGroup group(options, MakeConfiguration(serviceOptions));
    for (unsigned index = 0; index < 3; ++index) {
      group.Add("a");
    }
    return group;
  }

  void Open(std::size_t aCore)
  {
    auto const caller = mNextCaller++;
    if (!mGroup.IsRunning(aCore)) {
      return;
    }
    auto const opening =
      FollowPacket(mGroup, aCore, CallerPacket(caller, TcpFlags::kSyn));
    if (!opening.mDelivered) {
      return;
    }
    mOpenFlows[opening.mDestination].insert(caller);
    RC_ASSERT(mOpenFlows[opening.mDestination].size() <= kMaxConnections);
    FollowPacket(mGroup,
                 aCore,
                 AnswerPacket(opening.mDestination,
                              caller,
                              TcpFlags::kSyn | TcpFlags::kAck));
  }

  void Close(std::size_t aCore)
  {
    for (auto& [upstream, callers] : mOpenFlows) {
      if (callers.empty() || !mGroup.IsRunning(aCore)) {
        continue;
      }
      auto const caller = *callers.begin();
      auto const result =
        FollowPacket(mGroup, aCore, CallerPacket(caller, TcpFlags::kRst));
      if (result.mDelivered && result.mDestination == upstream) {
        callers.erase(caller);
      }
    }
  }

  void SendPackets(std::size_t aCore)
  {
    for (auto const& [upstream, callers] : mOpenFlows) {
      for (auto const caller : callers) {
        if (mGroup.IsRunning(aCore)) {
          FollowPacket(mGroup, aCore, CallerPacket(caller, TcpFlags::kAck));
        }
      }
    }
  }

  void CheckStep()
  {
    CheckExclusiveOwnership();
    for (std::size_t core = 0; core < mGroup.Count(); ++core) {
      bool const resumed =
        mGroup.IsRunning(core) && mNotRunning.erase(core) > 0;
      if (resumed) {
        // The packet worker may resume before the control plane.
        Open(core);
      }
      if (!mGroup.IsRunning(core)) {
        mNotRunning.insert(core);
      }
    }
  }

  void CheckExclusiveOwnership()
  {
    std::set<Endpoint> owned;
    for (std::size_t core = 0; core < mGroup.Count(); ++core) {
      if (!mGroup.At(core).mAlive) {
        continue;
      }
      for (auto const& lease : mGroup.LeasesOf(core)) {
        if (lease.mUntil <= mGroup.Now()) {
          continue;
        }
        bool const isOnlyOwner = owned.insert(lease.mUpstream).second;
        RC_ASSERT(isOnlyOwner);
      }
    }
  }

  CoreGroup mGroup;
  std::uint32_t mNextCaller = 0;
  std::map<Endpoint, std::set<std::uint32_t>> mOpenFlows;
  std::set<std::size_t> mKilled;
  std::set<std::size_t> mNotRunning;
  std::optional<std::size_t> mLastPaused;
  std::set<std::pair<std::size_t, std::size_t>> mCutLinks;
};

rc::Gen<Action>
GenerateAction()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::mKind, rc::gen::inRange<int>(0, Action::Count)),
    rc::gen::set(&Action::mCore, rc::gen::inRange<std::uint32_t>(0, 3)),
    rc::gen::set(&Action::mValue, rc::gen::inRange<std::uint32_t>(0, 6000)));
}

} // namespace

TEST_GROUP(Schedules){};

TEST(Schedules,
     every_resource_has_at_most_one_owner_and_no_work_above_its_limit)
{
  CheckProperty("exclusive ownership and limits", [] {
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    auto const loss = *rc::gen::element(0.0, 0.05, 0.3);
    auto const actions =
      *rc::gen::container<std::vector<Action>>(GenerateAction());
    Schedule schedule(seed, loss);
    RC_PRE(schedule.Start());
    for (auto const& action : actions) {
      schedule.Execute(action);
    }
  });
}
