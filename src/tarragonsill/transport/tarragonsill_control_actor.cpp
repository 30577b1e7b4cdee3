#include "tarragonsill/transport/tarragonsill_control_actor.hpp"

#include "tarragonsill/state/tarragonsill_placement.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr milliseconds kTickPeriod{ 20 };
/// Max time between two updates of the leases, so that renewals take effect.
constexpr milliseconds kLeaseUpdatePeriod{ 100 };
constexpr std::size_t kWatchersPerZone = 2;

Member
MakeSelf(ControlActorArguments const& aArguments)
{
  auto const& settings = aArguments.mState->mSettings;
  Member self;
  self.mName = settings.mEntry;
  self.mZone = settings.mZone;
  self.mControl = settings.mControl;
  self.mData = settings.mData;
  self.mCalls = settings.mCalls;
  self.mIncarnation = aArguments.mIncarnation;
  return self;
}

/// Returns whether this member is one of its zone's watchers, which poll the
/// platform. The other members learn the configuration from them. A joining
/// member always polls.
bool
IsWatcher(std::vector<Member> const& aMembers, Member const& aSelf)
{
  if (aSelf.mStage == MemberStage::Joining) {
    return true;
  }
  std::size_t higherRanked = 0;
  for (auto const& member : aMembers) {
    bool const isHigherRanked = member.mZone == aSelf.mZone &&
                                member.IsServing() &&
                                member.NameHash() > aSelf.NameHash();
    higherRanked += isHigherRanked ? 1 : 0;
  }
  return higherRanked < kWatchersPerZone;
}

/// Connects the control plane with the packet worker, the other actors and the
/// peers.
class ControlActorState
{
public:
  ControlActorState(caf::event_based_actor* aSelf,
                    ControlActorArguments aArguments)
    : mSelf(aSelf)
    , mArguments(std::move(aArguments))
    , mControlPlane(ControlPlane::Options{},
                    MakeSelf(mArguments),
                    mArguments.mState->mSettings.mSeeds,
                    mArguments.mState->mCounters)
  {
  }

  void Tick()
  {
    auto const now = Clock::now();
    HandleWorkerReport();
    Outbox outbox;
    mControlPlane.Tick(now, outbox);
    Send(outbox);
    Publish(now);
  }

  void Receive(DatagramReceived const& aReceived)
  {
    Outbox outbox;
    mControlPlane.Handle(Clock::now(), *aReceived.mMessage, outbox);
    Send(outbox);
    auto const newer = mControlPlane.TakePeerWithNewerConfiguration();
    if (newer) {
      mSelf->send(mArguments.mPeerFetch, *newer);
    }
  }

  void Receive(VmListReceived const& aReceived)
  {
    Outbox outbox;
    mControlPlane.HandleVmList(Clock::now(), aReceived.mVms, outbox);
    Send(outbox);
  }

  void Receive(ConfigurationReceived const& aReceived)
  {
    auto const position = aReceived.mConfiguration->Position();
    if (position <= mControlPlane.CurrentPosition()) {
      return;
    }
    mControlPlane.SetConfiguration(aReceived.mConfiguration);
    mArguments.mState->mConfigurationText.Set({ position, aReceived.mText });
    LogInfo("config: version " + ToText(position) +
            " is in force source=" + aReceived.mSource);
  }

  void Leave()
  {
    LogInfo("member: leaving and handing over");
    mControlPlane.BeginLeaving();
  }

private:
  void HandleWorkerReport()
  {
    auto report = mArguments.mWorker->TakeReport();
    for (auto const& decision : report.mDecisions) {
      LogInfo(ToLogLine(decision));
    }
    mControlPlane.SetOpenWork(report.mOpenWork, report.mLeasesRevision);
    mControlPlane.SendExceptions(Clock::now(), std::move(report.mTransfers));
    mOpenWork = std::move(report.mOpenWork);
    mExceptions = report.mExceptions;
    mMemoryBytes = report.mMemoryBytes;
    mReportNumber = report.mNumber;
  }

  void Send(Outbox& aOutbox)
  {
    mControlPlane.FillCommonFields(aOutbox);
    auto& counters = mArguments.mState->mCounters;
    for (auto const& outgoing : aOutbox) {
      auto const bytes = outgoing.mMessage.SerializeAsString();
      counters.Add(Counter::ControlMessagesSent);
      counters.Add(Counter::ControlBytesSent, bytes.size());
      mArguments.mSend(outgoing.mTo, bytes);
    }
  }

  void Publish(TimePoint aNow)
  {
    WorkerUpdate update;
    update.mExceptions = mControlPlane.TakeReceivedExceptions();
    auto const snapshot = mControlPlane.Snapshot(aNow);
    bool const hasNewSnapshot = snapshot != mSnapshot;
    if (hasNewSnapshot) {
      mSnapshot = snapshot;
      mReportAtSnapshot = mReportNumber;
      update.mSnapshot = snapshot;
    }
    bool const leasesDue = mLeasesRevision != mControlPlane.LeasesRevision() ||
                           aNow >= mNextLeaseUpdate;
    if (leasesDue) {
      mNextLeaseUpdate = aNow + kLeaseUpdatePeriod;
      mLeasesRevision = mControlPlane.LeasesRevision();
      mLeases =
        std::make_shared<AdmissionLeases const>(mControlPlane.Leases(aNow));
      update.mLeases = mLeases;
      update.mLeasesRevision = mLeasesRevision;
    }
    if (hasNewSnapshot || leasesDue) {
      CallView const view{ mSnapshot,
                           mControlPlane.CurrentConfiguration(),
                           mLeases };
      mArguments.mState->mView.Set(view);
      mSelf->send(mArguments.mCalls, view);
      PublishStatus();
    }
    if (hasNewSnapshot || leasesDue || !update.mExceptions.empty()) {
      mArguments.mWorker->Post(std::move(update));
    }
  }

  void PublishStatus()
  {
    EntryStatus status;
    status.mSelf = mControlPlane.Members().Self();
    status.mMembers = mControlPlane.Members().Members();
    status.mVersion = mControlPlane.CurrentConfiguration()
                        ? mControlPlane.CurrentConfiguration()->mVersion
                        : 0;
    status.mLeases = mLeases ? *mLeases : AdmissionLeases{};
    status.mOpenWork = mOpenWork;
    status.mExceptions = mExceptions;
    status.mWorkerMemoryBytes = mMemoryBytes;
    status.mIsWatcher = IsWatcher(status.mMembers, status.mSelf);
    // The worker queues transfers when it applies a snapshot, so they are only
    // in reports made after that.
    status.mIsHandoverComplete = mControlPlane.IsHandoverComplete() &&
                                 mReportNumber > mReportAtSnapshot + 2;
    if (status.mSelf.mStage != mStage) {
      mStage = status.mSelf.mStage;
      LogInfo("member: this entry VM is now " + std::string(ToText(mStage)));
    }
    mArguments.mState->mStatus.Set(std::move(status));
  }

  caf::event_based_actor* mSelf;
  ControlActorArguments mArguments;
  ControlPlane mControlPlane;
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
  std::shared_ptr<AdmissionLeases const> mLeases;
  std::uint64_t mLeasesRevision = 0;
  TimePoint mNextLeaseUpdate{};
  std::vector<UpstreamOpenWork> mOpenWork;
  std::size_t mExceptions = 0;
  std::size_t mMemoryBytes = 0;
  std::uint64_t mReportNumber = 0;
  std::uint64_t mReportAtSnapshot = 0;
  MemberStage mStage = MemberStage::Joining;
};

} // namespace

caf::behavior
ControlActor(caf::event_based_actor* aSelf, ControlActorArguments aArguments)
{
  auto state =
    std::make_shared<ControlActorState>(aSelf, std::move(aArguments));
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kTickPeriod, TickAtom::value);
      state->Tick();
    },
    [=](DatagramReceived const& aReceived) { state->Receive(aReceived); },
    [=](VmListReceived const& aReceived) { state->Receive(aReceived); },
    [=](ConfigurationReceived const& aReceived) { state->Receive(aReceived); },
    [=](LeaveAtom) { state->Leave(); },
  };
}

} // namespace tarragonsill
