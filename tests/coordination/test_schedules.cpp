#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <iostream>
#include <map>
#include <set>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::uint32_t kLimit = 12;

/// One step of a generated schedule.
struct Action
{
  enum Kind
  {
    Open,
    Close,
    Talk,
    Kill,
    Restart,
    Pause,
    Cut,
    Heal,
    ListRemoved,
    Wait,
    Count,
  };
  int mKind = Wait;
  std::uint32_t mFirst = 0;
  std::uint32_t mSecond = 0;
};

void
showValue(Action const& aAction, std::ostream& aOut)
{
  aOut << "{" << aAction.mKind << "," << aAction.mFirst << ","
       << aAction.mSecond << "}";
}

/// Runs a schedule and checks the promises after each step.
class Schedule
{
public:
  Schedule(std::uint64_t aSeed, double aLoss)
    : mGroup(MakeGroup(aSeed, aLoss))
  {
  }

  bool Start() { return mGroup.RunUntilServing(); }

  void Carry(Action const& aAction)
  {
    auto const core = aAction.mFirst % mGroup.Count();
    auto const other = aAction.mSecond % mGroup.Count();
    switch (aAction.mKind) {
      case Action::Open:
        for (std::uint32_t flow = 0; flow < 8; ++flow) {
          Open(core);
        }
        break;
      case Action::Close:
        Close(core);
        break;
      case Action::Talk:
        Talk(core);
        break;
      case Action::Kill:
        if (mDead.empty()) {
          mGroup.Kill(core);
          mDead.insert(core);
        }
        break;
      case Action::Restart:
        for (auto const dead : std::exchange(mDead, {})) {
          mGroup.Restart(dead);
        }
        mGroup.ListLive();
        break;
      case Action::Pause:
        mGroup.Pause(core, milliseconds{ 2 * aAction.mSecond });
        mPaused = core;
        break;
      case Action::Cut:
        if (core != other) {
          mGroup.Cut(core, other, true);
          mCut.insert({ core, other });
        }
        break;
      case Action::Heal:
        for (auto const& [left, right] : std::exchange(mCut, {})) {
          mGroup.Cut(left, right, false);
        }
        break;
      case Action::ListRemoved:
        // The platform may replace a VM that only stands still.
        if (mDead.empty() && mPaused && !mGroup.Runs(*mPaused)) {
          mGroup.ListRemoved(*mPaused);
        }
        for (auto const dead : mDead) {
          mGroup.ListRemoved(dead);
        }
        break;
      default:
        break;
    }
    mGroup.Run(milliseconds{ 50 + aAction.mSecond % 1500 },
               [&] { AfterStep(); });
  }

private:
  static CoreGroup MakeGroup(std::uint64_t aSeed, double aLoss)
  {
    ServiceOptions shape;
    shape.mUpstreams = 3;
    shape.mLimit = { kLimit, 4 };
    shape.mColdLimit = { 4, 1 };
    CoreGroup::Options options;
    options.mSeed = aSeed;
    options.mLoss = aLoss;
    options.mMaxDelay = milliseconds{ 300 };
    CoreGroup group(options, MakeConfiguration(shape));
    for (unsigned index = 0; index < 3; ++index) {
      group.Add("a");
    }
    return group;
  }

  void Open(std::size_t aCore)
  {
    auto const caller = mNextCaller++;
    if (!mGroup.Runs(aCore)) {
      return;
    }
    auto const first =
      Follow(mGroup, aCore, CallerPacket(caller, TcpFlags::kSyn));
    if (!first.mDelivered) {
      return;
    }
    mOpen[first.mDestination].insert(caller);
    RC_ASSERT(mOpen[first.mDestination].size() <= kLimit);
    Follow(mGroup,
           aCore,
           AnswerPacket(
             first.mDestination, caller, TcpFlags::kSyn | TcpFlags::kAck));
  }

  void Close(std::size_t aCore)
  {
    for (auto& [upstream, callers] : mOpen) {
      if (callers.empty() || !mGroup.Runs(aCore)) {
        continue;
      }
      auto const caller = *callers.begin();
      auto const result =
        Follow(mGroup, aCore, CallerPacket(caller, TcpFlags::kRst));
      if (result.mDelivered && result.mDestination == upstream) {
        callers.erase(caller);
      }
    }
  }

  void Talk(std::size_t aCore)
  {
    for (auto const& [upstream, callers] : mOpen) {
      for (auto const caller : callers) {
        if (mGroup.Runs(aCore)) {
          Follow(mGroup, aCore, CallerPacket(caller, TcpFlags::kAck));
        }
      }
    }
  }

  void AfterStep()
  {
    CheckOwners();
    for (std::size_t core = 0; core < mGroup.Count(); ++core) {
      bool const woke = mGroup.Runs(core) && mAsleep.erase(core) > 0;
      if (woke) {
        // Its packet worker may be faster than its control plane.
        Open(core);
      }
      if (!mGroup.Runs(core)) {
        mAsleep.insert(core);
      }
    }
  }

  void CheckOwners()
  {
    std::set<Endpoint> held;
    for (std::size_t core = 0; core < mGroup.Count(); ++core) {
      if (!mGroup.At(core).mRunning) {
        continue;
      }
      for (auto const& lease : mGroup.LeasesOf(core)) {
        if (lease.mUntil <= mGroup.Now()) {
          continue;
        }
        bool const alone = held.insert(lease.mUpstream).second;
        RC_ASSERT(alone);
      }
    }
  }

  CoreGroup mGroup;
  std::uint32_t mNextCaller = 0;
  std::map<Endpoint, std::set<std::uint32_t>> mOpen;
  std::set<std::size_t> mDead;
  std::set<std::size_t> mAsleep;
  std::optional<std::size_t> mPaused;
  std::set<std::pair<std::size_t, std::size_t>> mCut;
};

rc::Gen<Action>
ActionGenerator()
{
  return rc::gen::build<Action>(
    rc::gen::set(&Action::mKind, rc::gen::inRange<int>(0, Action::Count)),
    rc::gen::set(&Action::mFirst, rc::gen::inRange<std::uint32_t>(0, 3)),
    rc::gen::set(&Action::mSecond, rc::gen::inRange<std::uint32_t>(0, 6000)));
}

} // namespace

TEST_GROUP(Schedules){};

TEST(Schedules, one_owner_and_no_work_above_the_limit_whatever_happens)
{
  CheckProperty("owners and limits", [] {
    auto const seed = *rc::gen::arbitrary<std::uint64_t>();
    auto const loss = *rc::gen::element(0.0, 0.05, 0.3);
    auto const actions =
      *rc::gen::container<std::vector<Action>>(ActionGenerator());
    Schedule schedule(seed, loss);
    RC_PRE(schedule.Start());
    for (auto const& action : actions) {
      schedule.Carry(action);
    }
  });
}
