#ifndef TARRAGONSILL_LAB_SOAK_ENVIRONMENT_HPP_INCLUDED
#define TARRAGONSILL_LAB_SOAK_ENVIRONMENT_HPP_INCLUDED

#include "platform/tarragonsill_lab_fault_proxy.hpp"
#include "platform/tarragonsill_lab_node_process.hpp"
#include "platform/tarragonsill_lab_object_store.hpp"
#include "platform/tarragonsill_lab_platform_upstreams.hpp"
#include "platform/tarragonsill_lab_soak_checker.hpp"
#include "platform/tarragonsill_lab_soak_plan.hpp"

#include <mutex>
#include <thread>

/// What a soak plays with: VMs as real processes, each with a proxy on its way
/// to the store, upstreams, and routers that ask for readiness.
namespace tarragonsill::Lab {

/// What a soak breaks on purpose, to show that its checks notice.
enum class SoakMutant : std::uint8_t
{
  None,
  StaleVm,    ///< One VM never hears of a change.
  FalseReset, ///< A flow of a living upstream is reset.
  NoRestart,  ///< VMs that were killed stay down.
  NoEra,      ///< VMs see no era, so that they go by revisions alone.
};

/// The loopback networks of one soak; four of them for each number.
struct SoakNetwork
{
  std::uint32_t mNumber = 0;

  std::uint32_t Vms() const { return At(0); }
  std::uint32_t Hosts() const { return At(1); }
  std::uint32_t Stores() const { return At(2); }
  std::uint32_t Callers() const { return At(3); }

private:
  static constexpr std::uint32_t kFirst = 40;

  std::uint32_t At(std::uint32_t aPart) const
  {
    return (127U << 24) | ((kFirst + 4 * mNumber + aPart) << 16);
  }
};

struct SoakOptions
{
  SoakNetwork mNetwork;
  std::uint64_t mSeed = 1;
  int mSeconds = 30;
  int mEntries = 6;
  std::string mProgram;
  std::string mDirectory; ///< Settings, logs and the list of events.
  SoakMutant mMutant = SoakMutant::None;
  SoakChoice mFaultFilter;
  /// Mechanisms that the VMs switch off, by comma.
  std::string mDisabledMechanisms;
};

/// Asks VMs for readiness as the operators' routers do.
class SoakRouter
{
public:
  explicit SoakRouter(std::vector<NodePlace> aPlaces);
  ~SoakRouter();

  /// The VMs in rotation; all of them if none is ready.
  std::vector<Endpoint> Rotation() const;

private:
  void Run();

  std::vector<NodePlace> mPlaces;
  mutable std::mutex mMutex;
  std::vector<int> mMisses;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

class SoakWorld
{
public:
  static constexpr Endpoint kRoutes[] = { { { 0xC6120001 }, 443 },
                                          { { 0xC6120002 }, 443 } };

  /// Starts everything; the reason is `SystemFailure`.
  static Result<std::unique_ptr<SoakWorld>> Start(SoakOptions aOptions,
                                                  SoakJudge& aJudge);

  void Poll();
  /// Starts again what ended, unless a mutant forbids it.
  void Restart(TimePoint aNow);

  std::vector<NodeProcess>& Vms() { return mVms; }
  FaultProxy& ProxyOf(std::size_t aVm) { return *mProxies[aVm]; }
  ObjectStore& Store() { return *mStore; }
  SoakRouter const& Router() const { return *mRouter; }
  std::vector<std::string> const& Zones() const { return mZones; }
  /// Upstreams that were started, those that ended included.
  std::size_t UpstreamCount() const { return mHosts.size(); }
  bool IsServing(std::size_t aUpstream) const;
  void AddUpstream(std::size_t aService);
  void Drain(TimePoint aNow, std::size_t aUpstream);
  void Crash(std::size_t aUpstream, bool aIsKnown);
  void ToggleRoute();
  void Evacuate(TimePoint aNow, std::size_t aZone, bool aIsOut);
  bool IsEvacuated() const { return mIsEvacuated; }
  /// Upstreams change their entries so that the store's revision rises.
  void Churn(int aChanges);
  /// Upstreams and the operator: each of these writes what it wrote last, also
  /// where the store has lost it.
  std::size_t WriterCount() const { return mHosts.size() + 2; }
  void WriteAgain(std::size_t aWriter);
  /// The entries of upstreams that have crashed lapse.
  void LapseCrashed();
  /// Packets of flows that living upstreams do not hold.
  std::uint64_t ForeignPackets() const;

private:
  struct Host
  {
    PlatformUpstream mHost;
    std::size_t mService = 0;
    std::string mName;
    std::string mZone;
    std::uint32_t mCookie = 0;
    bool mIsDraining = false;
  };

  SoakWorld(SoakOptions aOptions, SoakJudge& aJudge);
  Result<Done> StartAll();
  Endpoint StoreAt(std::uint32_t aNumber) const;
  Endpoint HostAt(std::size_t aUpstream) const;
  NodePlace PlaceOf(std::size_t aVm) const;
  void Configure();
  void WriteConfiguration();
  void Register(std::size_t aUpstream);

  SoakOptions mOptions;
  SoakJudge& mJudge;
  std::vector<std::string> mZones{ "a", "b" };
  std::unique_ptr<ObjectStore> mStore;
  /// For the mutant that never hears of a change.
  std::unique_ptr<ObjectStore> mStaleStore;
  std::vector<std::unique_ptr<FaultProxy>> mProxies;
  std::vector<NodeProcess> mVms;
  std::vector<TimePoint> mStartAt; ///< Of VMs that are down.
  std::vector<Host> mHosts;
  std::unique_ptr<SoakRouter> mRouter;
  int mVersion = 0;
  bool mHasSecondRoute = true;
  bool mIsEvacuated = false;
  std::string mEvacuatedZone;
  int mChurn = 0; ///< Shows in every entry, so that it differs from before.
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_ENVIRONMENT_HPP_INCLUDED
