#include "tarragonsill_lab_soak.hpp"

#include "platform/tarragonsill_lab_soak_plan.hpp"

#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <random>
#include <sstream>

namespace tarragonsill::Lab {

namespace {

constexpr int kHeldFlows = 80;
/// New flows open at this pace, besides those that replace ended ones.
constexpr milliseconds kOpenPeriod{ 25 };
/// VMs start within this time, and the last faults have ended for as long.
constexpr milliseconds kCalmTime{ 4000 };
/// What a mutant breaks it breaks after this time.
constexpr milliseconds kMutantTime{ 10000 };
/// An upstream that leaves serves this long.
constexpr milliseconds kLeaveTime{ 4000 };
/// One whose drain a rollback of the store is to forget serves longer than
/// every bound.
constexpr milliseconds kLongLeaveTime{ 16000 };
/// A rollback: the store is away for the second half of this time.
constexpr milliseconds kRollbackAway{ 800 };
/// From before the last changes, which are lost.
constexpr milliseconds kMinCopyAge{ 1000 };
/// Entries are back within this time of the store's return (platform).
constexpr milliseconds kWriteAgainTime{ 2000 };
/// Three heartbeats of silence (platform).
constexpr milliseconds kLapseTime{ 3600 };
/// Changes of every entry just before, whose revisions are given out again.
constexpr int kChurn = 10;
/// Bounds on what a process holds. Its own memory is to stay below 12 MB on the
/// operators' VMs; they have 4,100 descriptors.
constexpr std::uint64_t kMaxMemory = 12 * 1024 * 1024;
constexpr std::size_t kMaxDescriptors = 128;
constexpr std::uint64_t kMaxLogRate = 64 * 1024;

class Soak
{
public:
  Soak(SoakOptions const& aOptions, SoakWorld& aWorld, SoakJudge& aJudge)
    : mOptions(aOptions)
    , mWorld(aWorld)
    , mJudge(aJudge)
    , mEvents(aOptions.mDirectory + "/events.txt")
    , mStarted(Clock::now())
  {
  }

  Result<Done> Play()
  {
    auto callers = FlowCallers::Start(
      { { mOptions.mNetwork.Callers() + 1 }, NodePlace::kPacketPort });
    if (!callers) {
      return callers.LastReason();
    }
    mCallers.emplace(callers.Take());
    auto const length = seconds{ mOptions.mSeconds };
    // A mutant is noticed best without other faults.
    if (mOptions.mMutant == SoakMutant::None) {
      mPlan = DrawSoakPlan(
        mOptions.mSeed, length - 2 * kCalmTime, mOptions.mFaultFilter);
    }
    mJudge.DisturbStore(mStarted + kCalmTime / 2);
    while (Clock::now() < mStarted + length) {
      Step(Clock::now());
    }
    for (auto& vm : mWorld.Vms()) {
      Measure(vm);
    }
    CheckEnd();
    mReport.mCallers = mCallers->Report();
    return Done{};
  }

  SoakReport const& Report() const { return mReport; }

private:
  void Step(TimePoint aNow)
  {
    mWorld.Poll();
    mWorld.Restart(aNow);
    mCallers->SetRotation(mWorld.Router().Rotation());
    if (aNow >= mStarted + kCalmTime / 2 && aNow >= mNextOpen) {
      bool const isHolding = mCallers->Report().mOpened < kHeldFlows;
      mNextOpen = aNow + (isHolding ? milliseconds{ 5 } : kOpenPeriod);
      mCallers->Open(aNow, SoakWorld::kRoutes[mOpened++ % 2]);
    }
    mCallers->Poll(aNow);
    for (auto const& event : mCallers->TakeEvents()) {
      Break(mJudge.Judge(event));
    }
    Break(mJudge.JudgeReturn(aNow));
    while (mNextFault < mPlan.size() &&
           aNow >= mStarted + kCalmTime + mPlan[mNextFault].mAt) {
      Apply(aNow, mPlan[mNextFault++]);
    }
    RunDue(aNow);
    PlayMutant(aNow);
  }

  void Break(std::optional<std::string> const& aWhat)
  {
    if (aWhat) {
      Tell("BROKEN: " + *aWhat);
      mReport.mViolations.push_back(At() + *aWhat);
    }
  }

  std::string At() const
  {
    auto const time =
      std::chrono::duration_cast<milliseconds>(Clock::now() - mStarted);
    return std::to_string(time.count()) + " ms: ";
  }

  void Tell(std::string const& aText) { mEvents << At() << aText << '\n'; }

  /// Does something later.
  void Later(TimePoint aAt, std::function<void()> aWhat)
  {
    mDue.emplace(aAt, std::move(aWhat));
  }

  void RunDue(TimePoint aNow)
  {
    while (!mDue.empty() && aNow >= mDue.begin()->first) {
      auto const what = std::move(mDue.begin()->second);
      mDue.erase(mDue.begin());
      what();
    }
  }

  void Apply(TimePoint aNow, SoakFault const& aFault)
  {
    ++mReport.mFaults;
    auto const end = aNow + aFault.mFor;
    auto const vm = aFault.mTarget % mWorld.Vms().size();
    Tell(std::string(ToText(aFault.mKind)) + " target " +
         std::to_string(aFault.mTarget) + " for " +
         std::to_string(aFault.mFor.count()) + " ms");
    switch (aFault.mKind) {
      case SoakFaultKind::KillVm:
      case SoakFaultKind::KillAllVms:
      case SoakFaultKind::StopVm:
      case SoakFaultKind::PauseVm:
      case SoakFaultKind::ReloadVm:
        ApplyToVm(aNow, end, vm, aFault.mKind);
        break;
      case SoakFaultKind::StoreDown:
        mWorld.Store().SetDown(true);
        mJudge.DisturbStore(end);
        Later(end, [this] { mWorld.Store().SetDown(false); });
        break;
      case SoakFaultKind::StoreForgets:
        mJudge.DisturbStore(aNow);
        mWorld.Store().CompactHistory();
        break;
      case SoakFaultKind::StoreDelayed:
        ApplyToWay(end, vm, FaultProxy::Mode::Delay);
        break;
      case SoakFaultKind::StoreSilent:
        ApplyToWay(end, vm, FaultProxy::Mode::Silent);
        break;
      case SoakFaultKind::StoreOneWay:
        ApplyToWay(end, vm, FaultProxy::Mode::OneWay);
        break;
      case SoakFaultKind::StoreRefuses:
        ApplyToWay(end, vm, FaultProxy::Mode::Refuse);
        break;
      case SoakFaultKind::StoreReset:
        mJudge.DisturbVm(AddressOf(vm), aNow);
        mWorld.ProxyOf(vm).ResetAll();
        break;
      case SoakFaultKind::CrashUpstream:
      case SoakFaultKind::DrainUpstream:
        ApplyToUpstream(aNow, aFault);
        break;
      case SoakFaultKind::ToggleRoute:
        mWorld.ToggleRoute();
        break;
      case SoakFaultKind::EvacuateZone:
        ApplyToZone(aNow, end, aFault.mTarget);
        break;
      case SoakFaultKind::StoreRollback:
        RollBackStore(aNow, aFault);
        break;
      case SoakFaultKind::Count:
        break;
    }
  }

  Endpoint AddressOf(std::size_t aVm)
  {
    return mWorld.Vms()[aVm].Place().Packets();
  }

  void ApplyToVm(TimePoint aNow,
                 TimePoint aEnd,
                 std::size_t aVm,
                 SoakFaultKind aKind)
  {
    auto& vm = mWorld.Vms()[aVm];
    if (aKind == SoakFaultKind::KillAllVms) {
      for (auto& each : mWorld.Vms()) {
        each.Kill();
      }
      mJudge.KilledAll(aNow);
    } else if (aKind == SoakFaultKind::KillVm) {
      vm.Kill();
    } else if (aKind == SoakFaultKind::StopVm) {
      vm.Signal(SIGTERM);
    } else if (aKind == SoakFaultKind::ReloadVm) {
      vm.Signal(SIGHUP);
    } else {
      vm.Signal(SIGSTOP);
      mJudge.DisturbVm(AddressOf(aVm), aEnd);
      Later(aEnd, [&vm] { vm.Signal(SIGCONT); });
    }
    mJudge.DisturbVm(AddressOf(aVm), aNow);
  }

  void ApplyToWay(TimePoint aEnd, std::size_t aVm, FaultProxy::Mode aMode)
  {
    mJudge.DisturbVm(AddressOf(aVm), aEnd);
    mWorld.ProxyOf(aVm).SetMode(aMode);
    Later(aEnd,
          [this, aVm] { mWorld.ProxyOf(aVm).SetMode(FaultProxy::Mode::Pass); });
  }

  void ApplyToUpstream(TimePoint aNow, SoakFault const& aFault)
  {
    auto const upstream = aFault.mTarget % mWorld.UpstreamCount();
    if (!mWorld.IsServing(upstream)) {
      return;
    }
    bool const isDrain = aFault.mKind == SoakFaultKind::DrainUpstream;
    if (isDrain) {
      mWorld.Drain(aNow, upstream);
    } else {
      mWorld.Crash(upstream, false);
    }
    Later(aNow + kLeaveTime, [this, upstream] {
      mWorld.Crash(upstream, true);
      mWorld.AddUpstream(upstream % 2);
    });
  }

  void ApplyToZone(TimePoint aNow, TimePoint aEnd, std::size_t aZone)
  {
    if (mWorld.IsEvacuated()) {
      return;
    }
    mWorld.Evacuate(aNow, aZone, true);
    Later(aEnd + SoakJudge::kEvacuationBound,
          [this, aZone] { mWorld.Evacuate(Clock::now(), aZone, false); });
  }

  /// The store is away for a moment and comes back from an older copy; then
  /// upstreams and the operator write again, in any order, some twice.
  void RollBackStore(TimePoint aNow, SoakFault const& aFault)
  {
    auto const returns = aNow + kRollbackAway;
    mJudge.DisturbStore(returns + kWriteAgainTime);
    mWorld.Churn(kChurn);
    DrainForLong(aNow, aFault.mTarget);
    if (aFault.mTarget % 2 == 0) {
      mWorld.Store().CaptureStaleReplica();
      mWorld.Store().ServeStaleReplica(true);
      Later(returns + kWriteAgainTime,
            [this] { mWorld.Store().ServeStaleReplica(false); });
    }
    Later(aNow + kRollbackAway / 2, [this] { mWorld.Store().SetDown(true); });
    Later(returns, [this, aFault] {
      mWorld.Store().RollBack(kMinCopyAge + 2 * aFault.mFor);
      mWorld.Store().SetDown(false);
      Tell("store is back, era " +
           std::to_string(mWorld.Store().Position().mEra) + " revision " +
           std::to_string(mWorld.Store().Position().mRevision));
      WriteAgain(Clock::now(), aFault.mTarget);
    });
    Later(returns + kWriteAgainTime,
          [this, aFault] { DrainForLong(Clock::now(), aFault.mTarget / 7); });
  }

  void WriteAgain(TimePoint aNow, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    std::uniform_int_distribution<milliseconds::rep> time(
      0, kWriteAgainTime.count());
    for (std::size_t writer = 0; writer < mWorld.WriterCount(); ++writer) {
      auto const times = random() % 3 == 0 ? 2 : 1;
      for (int write = 0; write < times; ++write) {
        Later(aNow + milliseconds{ time(random) },
              [this, writer] { mWorld.WriteAgain(writer); });
      }
    }
    Later(aNow + kLapseTime, [this] { mWorld.LapseCrashed(); });
  }

  /// Drains an upstream that serves long enough for its rule to bind.
  void DrainForLong(TimePoint aNow, std::size_t aUpstream)
  {
    auto const upstream = aUpstream % mWorld.UpstreamCount();
    if (!mWorld.IsServing(upstream)) {
      return;
    }
    mWorld.Drain(aNow, upstream);
    mWorld.AddUpstream(upstream % 2);
    Later(aNow + kLongLeaveTime,
          [this, upstream] { mWorld.Crash(upstream, true); });
  }

  /// Breaks what a check is to notice.
  void PlayMutant(TimePoint aNow)
  {
    if (mHasPlayedMutant || aNow < mStarted + kMutantTime) {
      return;
    }
    mHasPlayedMutant = true;
    if (mOptions.mMutant == SoakMutant::FalseReset) {
      mCallers->ForgeReset();
    }
    if (mOptions.mMutant == SoakMutant::NoRestart) {
      ApplyToVm(aNow, aNow, 0, SoakFaultKind::KillAllVms);
    }
    if (mOptions.mMutant == SoakMutant::NoEra) {
      RollBackStore(aNow,
                    { SoakFaultKind::StoreRollback, {}, milliseconds{ 0 }, 3 });
    }
    if (mOptions.mMutant == SoakMutant::StaleVm) {
      mWorld.Drain(aNow, 0);
      mWorld.Drain(aNow, 2);
    }
  }

  void Measure(NodeProcess& aVm)
  {
    std::error_code failure;
    auto const bytes = std::filesystem::file_size(aVm.LogFile(), failure);
    auto const rate =
      failure ? 0 : bytes / static_cast<std::uint64_t>(mOptions.mSeconds);
    mReport.mMaxLogBytesPerSecond =
      std::max<std::uint64_t>(mReport.mMaxLogBytesPerSecond, rate);
    mReport.mMaxMemoryBytes =
      std::max(mReport.mMaxMemoryBytes, aVm.MemoryBytes());
    mReport.mMaxDescriptors =
      std::max(mReport.mMaxDescriptors, aVm.OpenDescriptors());
    if (aVm.HasExitedBadly()) {
      Break(aVm.Place().mName + " ended by itself with a failure");
    }
  }

  void CheckEnd()
  {
    if (mReport.mMaxMemoryBytes > kMaxMemory) {
      Break("a VM holds too much memory");
    }
    if (mReport.mMaxDescriptors > kMaxDescriptors) {
      Break("a VM holds too many descriptors");
    }
    if (mReport.mMaxLogBytesPerSecond > kMaxLogRate) {
      Break("a VM logs too much");
    }
    if (mWorld.ForeignPackets() > 0) {
      Break("packets of open flows reached another upstream");
    }
  }

  SoakOptions const& mOptions;
  SoakWorld& mWorld;
  SoakJudge& mJudge;
  std::ofstream mEvents;
  TimePoint mStarted;
  std::optional<FlowCallers> mCallers;
  std::vector<SoakFault> mPlan;
  std::size_t mNextFault = 0;
  std::multimap<TimePoint, std::function<void()>> mDue;
  TimePoint mNextOpen{};
  std::size_t mOpened = 0;
  bool mHasPlayedMutant = false;
  SoakReport mReport;
};

} // namespace

std::string
SoakReport::ToText() const
{
  std::ostringstream text;
  text << "faults " << mFaults << ", flows opened " << mCallers.mOpened
       << ", answers " << mCallers.mAnswers << ", resets " << mCallers.mResets
       << ", refused " << mCallers.mRefused << ", stalled " << mCallers.mStalled
       << ", most memory " << mMaxMemoryBytes / 1024 << " KiB, descriptors "
       << mMaxDescriptors << ", log " << mMaxLogBytesPerSecond << " B/s\n";
  for (auto const& broken : mViolations) {
    text << "BROKEN at " << broken << '\n';
  }
  return text.str();
}

Result<SoakReport>
RunSoak(SoakOptions const& aOptions)
{
  SoakJudge judge;
  auto world = SoakWorld::Start(aOptions, judge);
  if (!world) {
    return world.LastReason();
  }
  auto const stage = world.Take();
  Soak soak(aOptions, *stage, judge);
  auto const played = soak.Play();
  if (!played) {
    return played.LastReason();
  }
  return soak.Report();
}

} // namespace tarragonsill::Lab
