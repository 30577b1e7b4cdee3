#include "support/core_group.hpp"

namespace tarragonsill::Test {

namespace {

constexpr milliseconds kStep{ 10 };
constexpr milliseconds kServeTimeout{ 20000 };

std::pair<std::size_t, std::size_t>
OrderedPair(std::size_t aLeft, std::size_t aRight)
{
  return std::minmax(aLeft, aRight);
}

} // namespace

CoreGroup::CoreGroup(Options aOptions, Configuration aConfiguration)
  : mOptions(aOptions)
  , mConfiguration(
      std::make_shared<Configuration const>(std::move(aConfiguration)))
  , mRandom(aOptions.mSeed)
{
}

std::unique_ptr<Core>
CoreGroup::MakeCore(std::size_t aIndex, std::uint64_t aIncarnation)
{
  auto member = mMembers[aIndex];
  member.mIncarnation = aIncarnation;
  member.mStage = MemberStage::Joining;
  std::vector<Endpoint> seeds;
  for (std::size_t other = 0; other < mMembers.size(); ++other) {
    if (other != aIndex) {
      seeds.push_back(mMembers[other].mControl);
    }
  }
  auto options = mOptions.mControlPlane;
  options.mMembership.mSeed = mOptions.mSeed;
  auto core = std::make_unique<Core>(options, member, seeds);
  core->mControlPlane.SetConfiguration(mConfiguration);
  return core;
}

Core&
CoreGroup::Add(std::string const& aZone)
{
  auto const index = mCores.size();
  auto const name = aZone + "-" + std::to_string(index);
  mMembers.push_back(MakeMember(name, aZone, static_cast<unsigned>(index)));
  mIndexByControl[mMembers.back().mControl] = index;
  mCores.push_back(MakeCore(index, 1));
  mLeases.push_back(std::make_shared<AdmissionLeases const>());
  mBytesSent.push_back(0);
  return *mCores.back();
}

bool
CoreGroup::IsRunning(std::size_t aIndex) const
{
  auto const& core = *mCores[aIndex];
  return core.mAlive && core.mPausedUntil <= mNow;
}

void
CoreGroup::Kill(std::size_t aIndex)
{
  mCores[aIndex]->mAlive = false;
}

void
CoreGroup::Restart(std::size_t aIndex)
{
  auto const incarnation =
    mCores[aIndex]->mControlPlane.Members().Self().mIncarnation + 1;
  mCores[aIndex] = MakeCore(aIndex, incarnation);
  mLeases[aIndex] = std::make_shared<AdmissionLeases const>();
}

void
CoreGroup::Pause(std::size_t aIndex, milliseconds aDuration)
{
  mCores[aIndex]->mPausedUntil = mNow + aDuration;
}

void
CoreGroup::SetLinkCut(std::size_t aLeft, std::size_t aRight, bool aCut)
{
  if (aCut) {
    mCutLinks.insert(OrderedPair(aLeft, aRight));
  } else {
    mCutLinks.erase(OrderedPair(aLeft, aRight));
  }
}

void
CoreGroup::ReportRemovedVm(std::size_t aIndex)
{
  auto const& member = mMembers[aIndex];
  std::vector<PlatformVm> const list = {
    { member.mName, member.mZone, member.mControl, PlatformVm::State::Removed }
  };
  for (std::size_t index = 0; index < mCores.size(); ++index) {
    if (!IsRunning(index) || index == aIndex) {
      continue;
    }
    Outbox outbox;
    mCores[index]->mControlPlane.HandleVmList(mNow, list, outbox);
    Send(index, outbox);
  }
}

void
CoreGroup::ReportLiveVms()
{
  std::vector<PlatformVm> list;
  for (std::size_t index = 0; index < mCores.size(); ++index) {
    auto const& member = mMembers[index];
    if (mCores[index]->mAlive) {
      list.push_back({ member.mName,
                       member.mZone,
                       member.mControl,
                       PlatformVm::State::Live });
    }
  }
  for (std::size_t index = 0; index < mCores.size(); ++index) {
    if (!IsRunning(index)) {
      continue;
    }
    Outbox outbox;
    mCores[index]->mControlPlane.HandleVmList(mNow, list, outbox);
    Send(index, outbox);
  }
}

void
CoreGroup::ApplyConfiguration(Configuration aConfiguration)
{
  mConfiguration =
    std::make_shared<Configuration const>(std::move(aConfiguration));
  for (std::size_t index = 0; index < mCores.size(); ++index) {
    if (IsRunning(index)) {
      mCores[index]->mControlPlane.SetConfiguration(mConfiguration);
    }
  }
}

void
CoreGroup::Send(std::size_t aFrom, Outbox& aOutbox)
{
  mCores[aFrom]->mControlPlane.FillCommonFields(aOutbox);
  std::uniform_real_distribution<double> uniform(0, 1);
  for (auto& outgoing : aOutbox) {
    mBytesSent[aFrom] += outgoing.mMessage.ByteSizeLong();
    auto const to = mIndexByControl.find(outgoing.mTo);
    bool const lost = to == mIndexByControl.end() ||
                      uniform(mRandom) < mOptions.mLoss ||
                      mCutLinks.count(OrderedPair(aFrom, to->second)) > 0;
    if (lost) {
      continue;
    }
    auto const delay = milliseconds{
      1 + static_cast<milliseconds::rep>(
            mRandom() % static_cast<std::uint64_t>(mOptions.mMaxDelay.count()))
    };
    mInFlight.emplace(
      mNow + delay,
      Delivery{ aFrom, to->second, std::move(outgoing.mMessage) });
  }
}

void
CoreGroup::Deliver()
{
  while (!mInFlight.empty() && mInFlight.begin()->first <= mNow) {
    auto delivery = std::move(mInFlight.begin()->second);
    mInFlight.erase(mInFlight.begin());
    auto& core = *mCores[delivery.mTo];
    if (!core.mAlive) {
      continue;
    }
    if (core.mPausedUntil > mNow || core.mJustResumed) {
      core.mBacklog.push_back(std::move(delivery.mMessage));
      continue;
    }
    Outbox outbox;
    core.mControlPlane.Handle(mNow, delivery.mMessage, outbox);
    Send(delivery.mTo, outbox);
  }
}

void
CoreGroup::ExchangeState(std::size_t aIndex)
{
  auto& core = *mCores[aIndex];
  auto const snapshot = core.mControlPlane.Snapshot(mNow);
  if (snapshot && snapshot != core.mSnapshot) {
    core.mSnapshot = snapshot;
    core.mEngine.ApplySnapshot(snapshot);
  }
  auto const revision = core.mControlPlane.LeasesRevision();
  mLeases[aIndex] =
    std::make_shared<AdmissionLeases const>(core.mControlPlane.Leases(mNow));
  core.mEngine.ApplyLeases(mNow, mLeases[aIndex]);
  for (auto const& exception : core.mControlPlane.TakeReceivedExceptions()) {
    core.mEngine.StoreException(mNow, exception);
  }
  core.mControlPlane.SendExceptions(mNow, core.mEngine.TakeTransfers());
  core.mControlPlane.SetOpenWork(core.mEngine.OpenWork(), revision);
}

void
CoreGroup::TickCore(std::size_t aIndex)
{
  auto& core = *mCores[aIndex];
  Outbox outbox;
  // Messages queued in the socket are read either before or after the timers
  // run.
  bool const timersFirst = mRandom() % 2 == 0;
  if (timersFirst) {
    core.mControlPlane.Tick(mNow, outbox);
  }
  for (auto const& message : std::exchange(core.mBacklog, {})) {
    core.mControlPlane.Handle(mNow, message, outbox);
  }
  if (!timersFirst) {
    core.mControlPlane.Tick(mNow, outbox);
  }
  Send(aIndex, outbox);
  ExchangeState(aIndex);
}

void
CoreGroup::Step()
{
  mNow += kStep;
  Deliver();
  for (std::size_t index = 0; index < mCores.size(); ++index) {
    auto& core = *mCores[index];
    if (!IsRunning(index)) {
      core.mJustResumed = true;
      continue;
    }
    if (core.mJustResumed) {
      core.mJustResumed = false;
      continue;
    }
    TickCore(index);
  }
}

void
CoreGroup::Run(milliseconds aDuration, std::function<void()> const& aEachStep)
{
  for (auto const end = mNow + aDuration; mNow < end;) {
    Step();
    if (aEachStep) {
      aEachStep();
    }
  }
}

bool
CoreGroup::RunUntilServing()
{
  ReportLiveVms();
  for (auto const end = mNow + kServeTimeout; mNow < end;) {
    Step();
    bool serving = true;
    for (auto const& core : mCores) {
      auto const stage = core->mControlPlane.Members().Self().mStage;
      serving = serving && (!core->mAlive || stage == MemberStage::Serving);
    }
    if (serving) {
      return true;
    }
  }
  return false;
}

AdmissionLeases const&
CoreGroup::LeasesOf(std::size_t aIndex)
{
  return *mLeases[aIndex];
}

bool
CoreGroup::IsCut(std::size_t aLeft, std::size_t aRight) const
{
  return mCutLinks.count(OrderedPair(aLeft, aRight)) > 0;
}

std::size_t
CoreGroup::IndexAt(Endpoint aData) const
{
  for (std::size_t index = 0; index < mMembers.size(); ++index) {
    if (mMembers[index].mData == aData) {
      return index;
    }
  }
  return mMembers.size();
}

} // namespace tarragonsill::Test
