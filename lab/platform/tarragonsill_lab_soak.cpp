#include "tarragonsill_lab_soak.hpp"

#include "platform/tarragonsill_lab_network_lock.hpp"
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

constexpr int kInitialFlows = 80;
/// Interval between openings once the initial flows are open.
constexpr milliseconds kOpenPeriod{ 25 };
/// Time without new faults at the start, for VMs to start, and at the end.
constexpr milliseconds kQuietPeriod{ 4000 };
/// Time after which a mutant takes effect.
constexpr milliseconds kMutantDelay{ 10000 };
/// Time from the drain or crash of an upstream to its replacement.
constexpr milliseconds kShutdownDelay{ 4000 };
/// Time from the drain of an upstream around a store rollback until the
/// upstream stops. The time exceeds every bound, so that a drain lost by the
/// rollback is detected.
constexpr milliseconds kLongShutdownDelay{ 16000 };
/// Duration of a rollback; the store is down for the second half.
constexpr milliseconds kRollbackTime{ 800 };
/// Minimum age of the restored state, so that the last changes are lost.
constexpr milliseconds kMinRollbackAge{ 1000 };
/// On the platform, all writers have written again this long after a rollback.
constexpr milliseconds kRewriteTime{ 2000 };
/// The platform lets registrations expire after three missed heartbeats.
constexpr milliseconds kExpiryTime{ 3600 };
/// Rewrites of every registration before a rollback. The store assigns their
/// revisions again afterwards.
constexpr int kChurnRounds = 10;
/// Resource bounds of a process. On the operators' VMs anonymous memory must
/// stay below 12 MB, and 4,100 descriptors are available.
constexpr std::uint64_t kMaxMemoryBytes = 12 * 1024 * 1024;
constexpr std::size_t kMaxDescriptors = 128;
constexpr std::uint64_t kMaxLogBytesPerSecond = 64 * 1024;

/// Returns the faults to inject. Fails with `Invalid` if there are none, as the
/// soak would check nothing.
Result<std::vector<SoakFault>>
MakePlan(SoakOptions const& aOptions)
{
  // Other faults could hide the effect of a mutant.
  if (aOptions.mMutant != SoakMutant::None) {
    return std::vector<SoakFault>{};
  }
  auto plan = MakeSoakPlan(aOptions.mSeed,
                           seconds{ aOptions.mSeconds } - 2 * kQuietPeriod,
                           aOptions.mFaultFilter);
  if (plan.empty()) {
    return Reason{ ReasonCode::Invalid,
                   "seed " + std::to_string(aOptions.mSeed) +
                     " draws no fault of the selected kinds in " +
                     std::to_string(aOptions.mSeconds) +
                     " s, so nothing would be checked; choose another seed or "
                     "a longer time" };
  }
  return plan;
}

class Soak
{
public:
  Soak(SoakOptions const& aOptions,
       std::vector<SoakFault> aPlan,
       SoakEnvironment& aEnvironment,
       SoakChecker& aChecker)
    : mOptions(aOptions)
    , mEnvironment(aEnvironment)
    , mChecker(aChecker)
    , mEvents(aOptions.mDirectory + "/events.txt")
    , mStartedAt(Clock::now())
    , mPlan(std::move(aPlan))
  {
  }

  Result<Success> Run()
  {
    auto callers = FlowCallers::Start(
      { { mOptions.mNetwork.Callers() + 1 }, NodeProcessOptions::kPacketPort });
    if (!callers) {
      return callers.LastReason();
    }
    mCallers.emplace(callers.Take());
    mChecker.RecordStoreFault(mStartedAt + kQuietPeriod / 2);
    while (Clock::now() < mStartedAt + seconds{ mOptions.mSeconds }) {
      Step(Clock::now());
    }
    for (auto& vm : mEnvironment.Vms()) {
      Measure(vm);
    }
    CheckLimits();
    mReport.mCallers = mCallers->Report();
    return Success{};
  }

  SoakReport const& Report() const { return mReport; }

private:
  void Step(TimePoint aNow)
  {
    mEnvironment.Poll();
    mEnvironment.RestartVms(aNow);
    mCallers->SetRotation(mEnvironment.Router().Rotation());
    if (aNow >= mStartedAt + kQuietPeriod / 2 && aNow >= mNextOpen) {
      bool const isOpeningInitialFlows =
        mCallers->Report().mOpened < kInitialFlows;
      mNextOpen =
        aNow + (isOpeningInitialFlows ? milliseconds{ 5 } : kOpenPeriod);
      mCallers->Open(aNow, SoakEnvironment::kRoutes[mOpened++ % 2]);
    }
    mCallers->Poll(aNow);
    for (auto const& line : mEnvironment.TakeUnknownFlowPackets()) {
      LogEvent(line);
    }
    for (auto const& event : mCallers->TakeEvents()) {
      AddViolation(mChecker.Check(event));
    }
    AddViolation(mChecker.CheckRecovery(aNow));
    while (mNextFault < mPlan.size() &&
           aNow >= mStartedAt + kQuietPeriod + mPlan[mNextFault].mAt) {
      Apply(aNow, mPlan[mNextFault++]);
    }
    RunScheduled(aNow);
    ApplyMutant(aNow);
  }

  void AddViolation(std::optional<std::string> const& aViolation)
  {
    if (aViolation) {
      LogEvent("BROKEN: " + *aViolation);
      mReport.mViolations.push_back(Elapsed() + *aViolation);
    }
  }

  std::string Elapsed() const
  {
    auto const elapsed =
      std::chrono::duration_cast<milliseconds>(Clock::now() - mStartedAt);
    return std::to_string(elapsed.count()) + " ms: ";
  }

  void LogEvent(std::string const& aText)
  {
    mEvents << Elapsed() << aText << '\n';
  }

  /// Runs an action at a given time.
  void Schedule(TimePoint aAt, std::function<void()> aAction)
  {
    mScheduled.emplace(aAt, std::move(aAction));
  }

  void RunScheduled(TimePoint aNow)
  {
    while (!mScheduled.empty() && aNow >= mScheduled.begin()->first) {
      auto const action = std::move(mScheduled.begin()->second);
      mScheduled.erase(mScheduled.begin());
      action();
    }
  }

  void Apply(TimePoint aNow, SoakFault const& aFault)
  {
    ++mReport.mFaults;
    auto const end = aNow + aFault.mDuration;
    auto const vm = aFault.mTarget % mEnvironment.Vms().size();
    LogEvent(std::string(ToText(aFault.mKind)) + " target " +
             std::to_string(aFault.mTarget) + " for " +
             std::to_string(aFault.mDuration.count()) + " ms");
    switch (aFault.mKind) {
      case SoakFaultKind::KillVm:
      case SoakFaultKind::KillAllVms:
      case SoakFaultKind::StopVm:
      case SoakFaultKind::PauseVm:
      case SoakFaultKind::ReloadVm:
        ApplyToVm(aNow, end, vm, aFault.mKind);
        break;
      case SoakFaultKind::StoreDown:
        mEnvironment.Store().SetDown(true);
        mChecker.RecordStoreFault(end);
        Schedule(end, [this] { mEnvironment.Store().SetDown(false); });
        break;
      case SoakFaultKind::StoreForgets:
        mChecker.RecordStoreFault(aNow);
        mEnvironment.Store().CompactHistory();
        break;
      case SoakFaultKind::StoreDelayed:
        ApplyToStoreLink(end, vm, FaultProxy::Mode::Delay);
        break;
      case SoakFaultKind::StoreSilent:
        ApplyToStoreLink(end, vm, FaultProxy::Mode::Silent);
        break;
      case SoakFaultKind::StoreOneWay:
        ApplyToStoreLink(end, vm, FaultProxy::Mode::OneWay);
        break;
      case SoakFaultKind::StoreRefuses:
        ApplyToStoreLink(end, vm, FaultProxy::Mode::Refuse);
        break;
      case SoakFaultKind::StoreReset:
        mChecker.RecordVmFault(AddressOf(vm), aNow);
        mEnvironment.StoreProxy(vm).ResetAll();
        break;
      case SoakFaultKind::CrashUpstream:
      case SoakFaultKind::DrainUpstream:
        ApplyToUpstream(aNow, aFault);
        break;
      case SoakFaultKind::ToggleRoute:
        mEnvironment.ToggleRoute();
        break;
      case SoakFaultKind::EvacuateZone:
        ApplyToZone(aNow, end, aFault.mTarget);
        break;
      case SoakFaultKind::StoreRollback:
        RollBackStore(aNow, aFault);
        break;
      case SoakFaultKind::SuspendUpstream:
        SuspendUpstream(aNow, aFault);
        break;
      case SoakFaultKind::Count:
        break;
    }
  }

  Endpoint AddressOf(std::size_t aVm)
  {
    return mEnvironment.Vms()[aVm].Options().Packets();
  }

  void ApplyToVm(TimePoint aNow,
                 TimePoint aEnd,
                 std::size_t aVm,
                 SoakFaultKind aKind)
  {
    auto& vm = mEnvironment.Vms()[aVm];
    if (aKind == SoakFaultKind::KillAllVms) {
      for (auto& other : mEnvironment.Vms()) {
        other.Kill();
      }
      mChecker.RecordAllVmsKilled(aNow);
    } else if (aKind == SoakFaultKind::KillVm) {
      vm.Kill();
    } else if (aKind == SoakFaultKind::StopVm) {
      vm.Signal(SIGTERM);
    } else if (aKind == SoakFaultKind::ReloadVm) {
      vm.Signal(SIGHUP);
    } else {
      vm.Signal(SIGSTOP);
      mChecker.RecordVmFault(AddressOf(aVm), aEnd);
      Schedule(aEnd, [&vm] { vm.Signal(SIGCONT); });
    }
    mChecker.RecordVmFault(AddressOf(aVm), aNow);
  }

  void ApplyToStoreLink(TimePoint aEnd, std::size_t aVm, FaultProxy::Mode aMode)
  {
    mChecker.RecordVmFault(AddressOf(aVm), aEnd);
    mEnvironment.StoreProxy(aVm).SetMode(aMode);
    Schedule(aEnd, [this, aVm] {
      mEnvironment.StoreProxy(aVm).SetMode(FaultProxy::Mode::Pass);
    });
  }

  void ApplyToUpstream(TimePoint aNow, SoakFault const& aFault)
  {
    auto const upstream = aFault.mTarget % mEnvironment.UpstreamCount();
    if (!mEnvironment.IsServing(upstream)) {
      return;
    }
    bool const isDrain = aFault.mKind == SoakFaultKind::DrainUpstream;
    if (isDrain) {
      mEnvironment.Drain(aNow, upstream);
    } else {
      mEnvironment.Crash(upstream, false);
    }
    Schedule(aNow + kShutdownDelay, [this, upstream] {
      mEnvironment.Crash(upstream, true);
      mEnvironment.AddUpstream(upstream % 2);
    });
  }

  /// In one of three standstills the registration lapses meanwhile.
  void SuspendUpstream(TimePoint aNow, SoakFault const& aFault)
  {
    auto const upstream = aFault.mTarget % mEnvironment.UpstreamCount();
    bool const isSuspended =
      mEnvironment.Suspend(aNow, upstream, aFault.mDuration);
    if (!isSuspended || aFault.mTarget % 3 != 0) {
      return;
    }
    mEnvironment.Deregister(upstream);
    Schedule(aNow + aFault.mDuration,
             [this, upstream] { mEnvironment.Rewrite(upstream); });
  }

  void ApplyToZone(TimePoint aNow, TimePoint aEnd, std::size_t aZone)
  {
    if (mEnvironment.IsEvacuated()) {
      return;
    }
    mEnvironment.Evacuate(aNow, aZone, true);
    Schedule(aEnd + SoakChecker::kEvacuationBound, [this, aZone] {
      mEnvironment.Evacuate(Clock::now(), aZone, false);
    });
  }

  /// Takes the store down and restores it from an older state. Then upstreams
  /// and the operator write again in random order, some of them twice.
  void RollBackStore(TimePoint aNow, SoakFault const& aFault)
  {
    auto const returnsAt = aNow + kRollbackTime;
    mChecker.RecordStoreFault(returnsAt + kRewriteTime);
    mEnvironment.ChurnRegistrations(kChurnRounds);
    DrainWithLongShutdown(aNow, aFault.mTarget);
    if (aFault.mTarget % 2 == 0) {
      mEnvironment.Store().CaptureStaleReplica();
      mEnvironment.Store().ServeStaleReplica(true);
      Schedule(returnsAt + kRewriteTime,
               [this] { mEnvironment.Store().ServeStaleReplica(false); });
    }
    Schedule(aNow + kRollbackTime / 2,
             [this] { mEnvironment.Store().SetDown(true); });
    Schedule(returnsAt, [this, aFault] {
      mEnvironment.Store().RollBack(kMinRollbackAge + 2 * aFault.mDuration);
      mEnvironment.Store().SetDown(false);
      LogEvent("store was rolled back, era " +
               std::to_string(mEnvironment.Store().Position().mEra) +
               " revision " +
               std::to_string(mEnvironment.Store().Position().mRevision));
      ScheduleRewrites(Clock::now(), aFault.mTarget);
    });
    Schedule(returnsAt + kRewriteTime, [this, aFault] {
      DrainWithLongShutdown(Clock::now(), aFault.mTarget / 7);
    });
  }

  void ScheduleRewrites(TimePoint aNow, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    std::uniform_int_distribution<milliseconds::rep> delay(
      0, kRewriteTime.count());
    for (std::size_t writer = 0; writer < mEnvironment.WriterCount();
         ++writer) {
      auto const writes = random() % 3 == 0 ? 2 : 1;
      for (int write = 0; write < writes; ++write) {
        Schedule(aNow + milliseconds{ delay(random) },
                 [this, writer] { mEnvironment.Rewrite(writer); });
      }
    }
    Schedule(aNow + kExpiryTime,
             [this] { mEnvironment.ExpireCrashedRegistrations(); });
  }

  /// Drains an upstream that keeps running beyond the drain bound.
  void DrainWithLongShutdown(TimePoint aNow, std::size_t aUpstream)
  {
    auto const upstream = aUpstream % mEnvironment.UpstreamCount();
    if (!mEnvironment.IsServing(upstream)) {
      return;
    }
    mEnvironment.Drain(aNow, upstream);
    mEnvironment.AddUpstream(upstream % 2);
    Schedule(aNow + kLongShutdownDelay,
             [this, upstream] { mEnvironment.Crash(upstream, true); });
  }

  /// Injects the defect of the mutant, which a check must detect.
  void ApplyMutant(TimePoint aNow)
  {
    if (mHasAppliedMutant || aNow < mStartedAt + kMutantDelay) {
      return;
    }
    mHasAppliedMutant = true;
    if (mOptions.mMutant == SoakMutant::FalseReset) {
      mCallers->InjectReset();
    }
    if (mOptions.mMutant == SoakMutant::NoRestart) {
      ApplyToVm(aNow, aNow, 0, SoakFaultKind::KillAllVms);
    }
    if (mOptions.mMutant == SoakMutant::NoEra) {
      RollBackStore(aNow,
                    { SoakFaultKind::StoreRollback, {}, milliseconds{ 0 }, 3 });
    }
    if (mOptions.mMutant == SoakMutant::StaleVm) {
      mEnvironment.Drain(aNow, 0);
      mEnvironment.Drain(aNow, 2);
    }
  }

  void Measure(NodeProcess& aVm)
  {
    std::error_code error;
    auto const bytes = std::filesystem::file_size(aVm.LogFile(), error);
    auto const rate =
      error ? 0 : bytes / static_cast<std::uint64_t>(mOptions.mSeconds);
    mReport.mMaxLogBytesPerSecond =
      std::max<std::uint64_t>(mReport.mMaxLogBytesPerSecond, rate);
    mReport.mMaxMemoryBytes =
      std::max(mReport.mMaxMemoryBytes, aVm.MemoryBytes());
    mReport.mMaxDescriptors =
      std::max(mReport.mMaxDescriptors, aVm.OpenDescriptors());
    if (aVm.HasExitedWithError()) {
      AddViolation(aVm.Options().mName + " exited with an error");
    }
  }

  void CheckLimits()
  {
    if (mReport.mMaxMemoryBytes > kMaxMemoryBytes) {
      AddViolation("a VM uses too much memory");
    }
    if (mReport.mMaxDescriptors > kMaxDescriptors) {
      AddViolation("a VM has too many open descriptors");
    }
    if (mReport.mMaxLogBytesPerSecond > kMaxLogBytesPerSecond) {
      AddViolation("a VM logs too much");
    }
    if (mEnvironment.UnknownFlowPackets() > 0) {
      AddViolation("packets of open flows reached another upstream");
    }
  }

  SoakOptions const& mOptions;
  SoakEnvironment& mEnvironment;
  SoakChecker& mChecker;
  std::ofstream mEvents;
  TimePoint mStartedAt;
  std::vector<SoakFault> mPlan;
  std::optional<FlowCallers> mCallers;
  std::size_t mNextFault = 0;
  std::multimap<TimePoint, std::function<void()>> mScheduled;
  TimePoint mNextOpen{};
  std::size_t mOpened = 0;
  bool mHasAppliedMutant = false;
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
       << ", max memory " << mMaxMemoryBytes / 1024 << " KiB, descriptors "
       << mMaxDescriptors << ", log " << mMaxLogBytesPerSecond << " B/s\n";
  for (auto const& violation : mViolations) {
    text << "BROKEN at " << violation << '\n';
  }
  return text.str();
}

std::optional<std::string>
SoakReport::FindMissingEvidence() const
{
  if (mCallers.mOpened == 0) {
    return "no flow was opened, so nothing was checked";
  }
  if (mCallers.mAnswers == 0) {
    return "no request was answered, so nothing was checked";
  }
  return std::nullopt;
}

Result<SoakReport>
RunSoak(SoakOptions const& aOptions)
{
  auto plan = MakePlan(aOptions);
  if (!plan) {
    return plan.LastReason();
  }
  auto const lock = NetworkLock::Take(aOptions.mNetwork.mNumber);
  if (!lock) {
    return lock.LastReason();
  }
  SoakChecker checker;
  auto started = SoakEnvironment::Start(aOptions, checker);
  if (!started) {
    return started.LastReason();
  }
  auto const environment = started.Take();
  Soak soak(aOptions, plan.Take(), *environment, checker);
  auto const result = soak.Run();
  if (!result) {
    return result.LastReason();
  }
  return soak.Report();
}

} // namespace tarragonsill::Lab
