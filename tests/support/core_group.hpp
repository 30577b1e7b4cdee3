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

/// Simulates the control messages of several entry VMs on one virtual clock,
/// with delays, loss, pauses and cut links. Upstreams and callers are not
/// simulated.
namespace tarragonsill::Test {

/// The core of one entry VM, which is free of I/O: its control plane and its
/// packet engine.
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
  bool mAlive = true; ///< False once the core has been killed.
  TimePoint mPausedUntil{};
  /// Set until the first step after a pause has ended. In that step, packets
  /// may be handled before the timers of the control plane run.
  bool mJustResumed = false;
  /// Messages that arrived while the core was paused.
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

  /// Starts a core in a zone; its seeds are all earlier cores.
  Core& Add(std::string const& aZone);
  /// Stops a core without informing the others.
  void Kill(std::size_t aIndex);
  /// Restarts a killed core as a new process at the same address.
  void Restart(std::size_t aIndex);
  void Pause(std::size_t aIndex, milliseconds aDuration);
  /// Cuts or restores the link between two cores.
  void SetLinkCut(std::size_t aLeft, std::size_t aRight, bool aCut);
  /// Passes a platform list with this VM as removed to every running core.
  void ReportRemovedVm(std::size_t aIndex);
  /// Passes the platform's list of live VMs to every running core.
  void ReportLiveVms();
  void ApplyConfiguration(Configuration aConfiguration);

  /// Advances the clock by `aDuration`; calls `aEachStep` after every step.
  void Run(milliseconds aDuration, std::function<void()> const& aEachStep = {});
  /// Runs until every core that has not been killed serves. Returns false if
  /// this does not happen within 20 s.
  bool RunUntilServing();

  TimePoint Now() const { return mNow; }
  std::size_t Count() const { return mCores.size(); }
  Core& At(std::size_t aIndex) { return *mCores[aIndex]; }
  /// Whether a core is neither killed nor paused.
  bool IsRunning(std::size_t aIndex) const;
  /// The leases that the packet worker of a core would use now.
  AdmissionLeases const& LeasesOf(std::size_t aIndex);
  /// The number of bytes that a core has sent to others.
  std::uint64_t BytesSent(std::size_t aIndex) const
  {
    return mBytesSent[aIndex];
  }
  /// The index of the core with this data endpoint; `Count()` if there is none.
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
  /// Exchanges state between the control plane and the packet engine of a core.
  void ExchangeState(std::size_t aIndex);
  void TickCore(std::size_t aIndex);
  std::unique_ptr<Core> MakeCore(std::size_t aIndex,
                                 std::uint64_t aIncarnation);

  Options mOptions;
  std::shared_ptr<Configuration const> mConfiguration;
  std::vector<std::unique_ptr<Core>> mCores;
  std::vector<Member> mMembers;
  std::vector<std::shared_ptr<AdmissionLeases const>> mLeases;
  std::vector<std::uint64_t> mBytesSent;
  std::multimap<TimePoint, Delivery> mInFlight;
  std::set<std::pair<std::size_t, std::size_t>> mCutLinks;
  std::map<Endpoint, std::size_t> mIndexByControl;
  std::mt19937_64 mRandom;
  TimePoint mNow = kStart;
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_CORE_GROUP_HPP_INCLUDED
