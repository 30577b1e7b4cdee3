#ifndef TARRAGONSILL_TEST_CORE_GROUP_HPP_INCLUDED
#define TARRAGONSILL_TEST_CORE_GROUP_HPP_INCLUDED

#include "support/fixtures.hpp"
#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"
#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

/// A message pump: several cores on one virtual clock, with delays, loss,
/// pauses and cuts. It has no upstreams and no callers of its own.
namespace tarragonsill::Test {

/// One entry VM: its coordination and its packet engine.
struct Core
{
  Core(ControlPlane::Options aOptions,
       Member aSelf,
       std::vector<Endpoint> aSeeds)
    : mControlPlane(aOptions, aSelf, std::move(aSeeds), mCounters)
    , mEngine(PacketEngine::Options{ 1024 }, mCounters)
  {
  }

  Counters mCounters;
  ControlPlane mControlPlane;
  PacketEngine mEngine;
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
  bool mRunning = true;
  TimePoint mPausedUntil{};
  /// Set for the first step after a pause: packets may come before timers.
  bool mWoke = false;
  /// What waits while the core is paused.
  std::vector<wire::PeerMessage> mBacklog;
};

class CoreGroup
{
public:
  struct Options
  {
    std::uint64_t mSeed = 1;
    double mLoss = 0;
    milliseconds mMaxDelay{ 5 };
    ControlPlane::Options mControlPlane;
  };

  CoreGroup(Options aOptions, Configuration aConfiguration);

  /// Starts one more core in a zone; its seeds are all cores so far.
  Core& Add(std::string const& aZone);
  /// Ends a core without a word.
  void Kill(std::size_t aIndex);
  /// Starts a killed core again, as a new process at the same address.
  void Restart(std::size_t aIndex);
  void Pause(std::size_t aIndex, milliseconds aFor);
  /// Cuts two cores off from each other, or heals that.
  void SetLinkCut(std::size_t aLeft, std::size_t aRight, bool aCut);
  /// Tells every running core that a VM was removed.
  void ReportRemovedVm(std::size_t aIndex);
  /// Tells every running core the list of VMs that run.
  void ReportLiveVms();
  void ApplyConfiguration(Configuration aConfiguration);

  /// Runs for a time; `aEachStep` is called after every step.
  void Run(milliseconds aTime, std::function<void()> const& aEachStep = {});
  /// Runs until every running core serves; false if that takes too long.
  bool RunUntilServing();

  TimePoint Now() const { return mNow; }
  std::size_t Count() const { return mCores.size(); }
  Core& At(std::size_t aIndex) { return *mCores[aIndex]; }
  bool IsRunning(std::size_t aIndex) const;
  /// The rights that a core would use now, as its packet worker sees them.
  AdmissionLeases const& LeasesOf(std::size_t aIndex);
  /// Bytes that a core has sent to others.
  std::uint64_t BytesSent(std::size_t aIndex) const { return mBytes[aIndex]; }
  /// The index of the core whose data endpoint this is.
  std::size_t IndexAt(Endpoint aData) const;
  bool IsCut(std::size_t aLeft, std::size_t aRight) const;

private:
  struct Delivery
  {
    std::size_t mFrom = 0;
    std::size_t mTo = 0;
    wire::PeerMessage mMessage;
  };

  void Step();
  void Deliver();
  void Send(std::size_t aFrom, Outbox& aOutbox);
  void Exchange(std::size_t aIndex);
  void TickCore(std::size_t aIndex);
  std::unique_ptr<Core> MakeCore(std::size_t aIndex,
                                 std::uint64_t aIncarnation);

  Options mOptions;
  std::shared_ptr<Configuration const> mConfiguration;
  std::vector<std::unique_ptr<Core>> mCores;
  std::vector<Member> mMembers;
  std::vector<std::shared_ptr<AdmissionLeases const>> mLeases;
  std::vector<std::uint64_t> mBytes;
  std::multimap<TimePoint, Delivery> mWire;
  std::set<std::pair<std::size_t, std::size_t>> mCuts;
  std::map<Endpoint, std::size_t> mByControl;
  std::mt19937_64 mRandom;
  TimePoint mNow = kStart;
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_CORE_GROUP_HPP_INCLUDED
