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

  std::uint32_t Vms() const { return NetworkAt(0); }
  std::uint32_t Upstreams() const { return NetworkAt(1); }
  std::uint32_t Stores() const { return NetworkAt(2); }
  std::uint32_t Callers() const { return NetworkAt(3); }

private:
  static constexpr std::uint32_t kFirstNetwork = 40;

  std::uint32_t NetworkAt(std::uint32_t aPart) const
  {
    return (127U << 24) | ((kFirstNetwork + 4 * mNumber + aPart) << 16);
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
  SoakFaultFilter mFaultFilter;
  /// Mechanisms that the VMs switch off, by comma.
  std::string mDisabledMechanisms;
};

/// Asks VMs for readiness as the operators' routers do.
class SoakRouter
{
public:
  explicit SoakRouter(std::vector<NodeProcessOptions> aVms);
  ~SoakRouter();

  /// The VMs in rotation; all of them if none is ready.
  std::vector<Endpoint> Rotation() const;

private:
  void Run();

  std::vector<NodeProcessOptions> mVms;
  mutable std::mutex mMutex;
  std::vector<int> mFailedChecks;
  std::atomic<bool> mStop{ false };
  std::thread mThread;
};

class SoakEnvironment
{
public:
  static constexpr Endpoint kRoutes[] = { { { 0xC6120001 }, 443 },
                                          { { 0xC6120002 }, 443 } };

  /// Starts everything; the reason is `SystemFailure`.
  static Result<std::unique_ptr<SoakEnvironment>> Start(SoakOptions aOptions,
                                                        SoakChecker& aChecker);

  void Poll();
  /// Starts again what ended, unless a mutant forbids it.
  void RestartVms(TimePoint aNow);

  std::vector<NodeProcess>& Vms() { return mVms; }
  FaultProxy& StoreProxy(std::size_t aVm) { return *mProxies[aVm]; }
  ObjectStore& Store() { return *mStore; }
  SoakRouter const& Router() const { return *mRouter; }
  std::vector<std::string> const& Zones() const { return mZones; }
  /// Upstreams that were started, those that ended included.
  std::size_t UpstreamCount() const { return mUpstreams.size(); }
  bool IsServing(std::size_t aUpstream) const;
  void AddUpstream(std::size_t aService);
  void Drain(TimePoint aNow, std::size_t aUpstream);
  void Crash(std::size_t aUpstream, bool aIsDeregistered);
  void ToggleRoute();
  void Evacuate(TimePoint aNow, std::size_t aZone, bool aIsEvacuated);
  bool IsEvacuated() const { return mIsEvacuated; }
  /// Upstreams change their entries so that the store's revision rises.
  void ChurnRegistrations(int aRounds);
  /// Upstreams and the operator: each of these writes what it wrote last, also
  /// where the store has lost it.
  std::size_t WriterCount() const { return mUpstreams.size() + 2; }
  void Rewrite(std::size_t aWriter);
  /// The entries of upstreams that have crashed lapse.
  void ExpireCrashedRegistrations();
  /// Packets of flows that living upstreams do not hold.
  std::uint64_t UnknownFlowPackets() const;

private:
  struct Upstream
  {
    PlatformUpstream mServer;
    std::size_t mService = 0;
    std::string mName;
    std::string mZone;
    std::uint32_t mCookie = 0;
    bool mIsDraining = false;
  };

  SoakEnvironment(SoakOptions aOptions, SoakChecker& aChecker);
  Result<Done> StartAll();
  Endpoint StoreAddress(std::uint32_t aNumber) const;
  Endpoint UpstreamAddress(std::size_t aUpstream) const;
  NodeProcessOptions OptionsOf(std::size_t aVm) const;
  void PublishConfiguration();
  void WriteConfiguration();
  void Register(std::size_t aUpstream);

  SoakOptions mOptions;
  SoakChecker& mChecker;
  std::vector<std::string> mZones{ "a", "b" };
  std::unique_ptr<ObjectStore> mStore;
  /// For the mutant that never hears of a change.
  std::unique_ptr<ObjectStore> mStaleStore;
  std::vector<std::unique_ptr<FaultProxy>> mProxies;
  std::vector<NodeProcess> mVms;
  std::vector<TimePoint> mRestartAt; ///< Of VMs that are down.
  std::vector<Upstream> mUpstreams;
  std::unique_ptr<SoakRouter> mRouter;
  int mConfigurationVersion = 0;
  bool mHasSecondRoute = true;
  bool mIsEvacuated = false;
  std::string mEvacuatedZone;
  int mRegistrationVersion =
    0; ///< Shows in every entry, so that it differs from before.
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_ENVIRONMENT_HPP_INCLUDED
