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

/// The system under test of a soak: entry VMs as real processes, a fault proxy
/// between each VM and the store, upstreams, and routers that check readiness.
namespace tarragonsill::Lab {

/// Defects that a soak must detect; they show that its checks work.
enum class SoakMutant : std::uint8_t
{
  None,
  StaleVm,    ///< One VM never receives a change.
  FalseReset, ///< A flow is reset although its upstream is alive.
  NoRestart,  ///< Killed VMs are not restarted.
  NoEra,      ///< The store sends no era, so VMs compare revisions only.
};

/// The loopback networks of one soak. Each number has four networks.
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
  std::string mDirectory; ///< Holds settings, logs and `events.txt`.
  SoakMutant mMutant = SoakMutant::None;
  SoakFaultFilter mFaultFilter;
  /// Comma-separated mechanisms that the VMs disable.
  std::string mDisabledMechanisms;
};

/// Polls the readiness of VMs like the operators' routers.
class SoakRouter
{
public:
  explicit SoakRouter(std::vector<NodeProcessOptions> aVms);
  ~SoakRouter();

  /// Returns the VMs in rotation, or all VMs if none is ready.
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

  /// Starts the stores, upstreams and VMs. Fails with `SystemFailure`.
  static Result<std::unique_ptr<SoakEnvironment>> Start(SoakOptions aOptions,
                                                        SoakChecker& aChecker);

  void Poll();
  /// Restarts VMs that have exited, unless the mutant is `NoRestart`.
  void RestartVms(TimePoint aNow);

  std::vector<NodeProcess>& Vms() { return mVms; }
  FaultProxy& StoreProxy(std::size_t aVm) { return *mProxies[aVm]; }
  ObjectStore& Store() { return *mStore; }
  SoakRouter const& Router() const { return *mRouter; }
  std::vector<std::string> const& Zones() const { return mZones; }
  /// Counts all started upstreams, including crashed ones.
  std::size_t UpstreamCount() const { return mUpstreams.size(); }
  bool IsServing(std::size_t aUpstream) const;
  void AddUpstream(std::size_t aService);
  void Drain(TimePoint aNow, std::size_t aUpstream);
  void Crash(std::size_t aUpstream, bool aIsDeregistered);
  /// Lets a running upstream stand still. Returns false if it does already, or
  /// did until a moment ago and callers still wait.
  bool Suspend(TimePoint aNow, std::size_t aUpstream, milliseconds aDuration);
  /// Removes the registration of an upstream that keeps running.
  void Deregister(std::size_t aUpstream);
  void ToggleRoute();
  void Evacuate(TimePoint aNow, std::size_t aZone, bool aIsEvacuated);
  bool IsEvacuated() const { return mIsEvacuated; }
  /// Rewrites the registrations of all upstreams several times to raise the
  /// store's revision.
  void ChurnRegistrations(int aRounds);
  /// Counts the writers of the store: the upstreams, the configuration and the
  /// evacuations of the operator.
  std::size_t WriterCount() const { return mUpstreams.size() + 2; }
  /// Repeats the last write of a writer, which the store may have lost.
  void Rewrite(std::size_t aWriter);
  /// Removes the registrations of crashed upstreams, as the platform does after
  /// missed heartbeats.
  void ExpireCrashedRegistrations();
  /// Counts packets that running upstreams got for flows they have not opened.
  std::uint64_t UnknownFlowPackets() const;
  /// Returns a line for each such packet since the last call.
  std::vector<std::string> TakeUnknownFlowPackets();

private:
  struct Upstream
  {
    PlatformUpstream mServer;
    std::size_t mService = 0;
    std::string mName;
    std::string mZone;
    std::uint32_t mCookie = 0;
    bool mIsDraining = false;
    TimePoint mNextSuspension{}; ///< The earliest one.
  };

  SoakEnvironment(SoakOptions aOptions, SoakChecker& aChecker);
  Result<Success> StartAll();
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
  /// Serves the VM of the `StaleVm` mutant and gets no changes.
  std::unique_ptr<ObjectStore> mStaleStore;
  std::vector<std::unique_ptr<FaultProxy>> mProxies;
  std::vector<NodeProcess> mVms;
  std::vector<TimePoint> mRestartAt; ///< Restart times of VMs that are down.
  std::vector<Upstream> mUpstreams;
  std::unique_ptr<SoakRouter> mRouter;
  int mConfigurationVersion = 0;
  bool mHasSecondRoute = true;
  bool mIsEvacuated = false;
  std::string mEvacuatedZone;
  /// Written with every registration so that a rewrite changes it.
  int mRegistrationVersion = 0;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_ENVIRONMENT_HPP_INCLUDED
