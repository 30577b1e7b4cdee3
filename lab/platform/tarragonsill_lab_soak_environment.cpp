#include "tarragonsill_lab_soak_environment.hpp"

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/transport/tarragonsill_http_connection.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr std::uint16_t kUpstreamPort = 18080;
constexpr std::uint16_t kStorePort = 18169;
constexpr std::size_t kUpstreamsPerService = 6;
/// Routers check readiness twice a second and remove a VM after two failures.
constexpr milliseconds kReadinessPeriod{ 500 };
constexpr milliseconds kReadinessTimeout{ 200 };
constexpr int kMaxFailedChecks = 2;
/// The platform restarts a process after a short delay.
constexpr milliseconds kRestartDelay{ 300 };
/// Requests that waited during a standstill are answered within this time.
constexpr milliseconds kMinTimeBetweenSuspensions{ 500 };
constexpr std::uint64_t kFirstIdentity = 0xA0;

std::string
ServiceName(std::size_t aService)
{
  return "svc" + std::to_string(aService);
}

nlohmann::json
RouteTo(std::size_t aService)
{
  return { { "name", "route-" + ServiceName(aService) },
           { "host", ToText(SoakEnvironment::kRoutes[aService].mAddress) },
           { "pathPrefix", "/443/" },
           { "type", "safe" },
           { "service", ServiceName(aService) } };
}

} // namespace

SoakRouter::SoakRouter(std::vector<NodeProcessOptions> aVms)
  : mVms(std::move(aVms))
  , mFailedChecks(mVms.size(), kMaxFailedChecks)
{
  mThread = std::thread([this] { Run(); });
}

SoakRouter::~SoakRouter()
{
  mStop = true;
  mThread.join();
}

void
SoakRouter::Run()
{
  while (!mStop) {
    auto const next = Clock::now() + kReadinessPeriod;
    for (std::size_t index = 0; index < mVms.size() && !mStop; ++index) {
      HttpConnection connection(
        { mVms[index].Readiness(), kReadinessTimeout, false });
      auto const answer = connection.Get("/readiness", kReadinessTimeout);
      bool const isReady =
        answer && answer->mStatus == HttpConnection::kStatusOk;
      std::lock_guard const lock(mMutex);
      mFailedChecks[index] = isReady ? 0 : mFailedChecks[index] + 1;
    }
    std::this_thread::sleep_until(next);
  }
}

std::vector<Endpoint>
SoakRouter::Rotation() const
{
  std::lock_guard const lock(mMutex);
  std::vector<Endpoint> ready;
  std::vector<Endpoint> all;
  for (std::size_t index = 0; index < mVms.size(); ++index) {
    all.push_back(mVms[index].Packets());
    if (mFailedChecks[index] < kMaxFailedChecks) {
      ready.push_back(all.back());
    }
  }
  return ready.empty() ? all : ready;
}

SoakEnvironment::SoakEnvironment(SoakOptions aOptions, SoakChecker& aChecker)
  : mOptions(std::move(aOptions))
  , mChecker(aChecker)
{
}

Result<std::unique_ptr<SoakEnvironment>>
SoakEnvironment::Start(SoakOptions aOptions, SoakChecker& aChecker)
{
  std::unique_ptr<SoakEnvironment> environment(
    new SoakEnvironment(std::move(aOptions), aChecker));
  auto const started = environment->StartAll();
  if (!started) {
    return started.LastReason();
  }
  return environment;
}

NodeProcessOptions
SoakEnvironment::OptionsOf(std::size_t aVm) const
{
  bool const usesStaleStore =
    mOptions.mMutant == SoakMutant::StaleVm && aVm + 1 == mProxies.size();
  NodeProcessOptions options;
  options.mName = "vm-" + std::to_string(aVm);
  options.mZone = mZones[aVm % mZones.size()];
  options.mZones = mZones;
  options.mDisabledMechanisms = mOptions.mDisabledMechanisms;
  options.mAddress = { mOptions.mNetwork.Vms() +
                       static_cast<std::uint32_t>(aVm) + 1 };
  options.mStore =
    usesStaleStore ? StoreAddress(2) : Endpoint{ options.mAddress, kStorePort };
  if (!usesStaleStore) {
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
      options.mSeeds.push_back({ { mOptions.mNetwork.Vms() + seed },
                                 NodeProcessOptions::kControlPort });
    }
  }
  return options;
}

Endpoint
SoakEnvironment::StoreAddress(std::uint32_t aNumber) const
{
  return { { mOptions.mNetwork.Stores() + aNumber }, kStorePort };
}

Endpoint
SoakEnvironment::UpstreamAddress(std::size_t aUpstream) const
{
  auto const number = static_cast<std::uint32_t>(aUpstream) + 1;
  return { { mOptions.mNetwork.Upstreams() + number }, kUpstreamPort };
}

Result<Success>
SoakEnvironment::StartAll()
{
  for (auto* const store : { &mStore, &mStaleStore }) {
    auto started =
      ObjectStore::Start(store == &mStore ? StoreAddress(1) : StoreAddress(2));
    if (!started) {
      return started.LastReason();
    }
    *store = started.Take();
  }
  if (mOptions.mMutant == SoakMutant::NoEra) {
    mStore->OmitEra();
  }
  PublishConfiguration();
  for (std::size_t index = 0; index < 2 * kUpstreamsPerService; ++index) {
    AddUpstream(index % 2);
  }
  std::vector<NodeProcessOptions> vmOptions;
  mProxies.resize(static_cast<std::size_t>(mOptions.mEntries));
  for (std::size_t vm = 0; vm < mProxies.size(); ++vm) {
    vmOptions.push_back(OptionsOf(vm));
    auto proxy = FaultProxy::Start({ vmOptions[vm].mAddress, kStorePort },
                                   StoreAddress(1));
    if (!proxy) {
      return proxy.LastReason();
    }
    mProxies[vm] = proxy.Take();
    mVms.emplace_back(mOptions.mProgram, mOptions.mDirectory, vmOptions[vm]);
    auto const started = mVms.back().Start();
    if (!started) {
      return started;
    }
  }
  mRestartAt.resize(mVms.size());
  mRouter = std::make_unique<SoakRouter>(std::move(vmOptions));
  return Success{};
}

void
SoakEnvironment::PublishConfiguration()
{
  ++mConfigurationVersion;
  auto const now = Clock::now();
  WriteConfiguration();
  if (mConfigurationVersion == 1) {
    mChecker.SetRoute(now, kRoutes[0], true);
  }
  mChecker.SetRoute(now, kRoutes[1], mHasSecondRoute);
}

void
SoakEnvironment::WriteConfiguration()
{
  auto routes = nlohmann::json::array();
  routes.push_back(RouteTo(0));
  if (mHasSecondRoute) {
    routes.push_back(RouteTo(1));
  }
  auto services = nlohmann::json::array();
  for (std::size_t service = 0; service < 2; ++service) {
    services.push_back({ { "name", ServiceName(service) },
                         { "coldS", 2.0 },
                         { "coldRateS", 2.0 } });
  }
  nlohmann::json const configuration = { { "version", mConfigurationVersion },
                                         { "routes", routes },
                                         { "services", services },
                                         { "limits",
                                           { { "idleTimeoutMs", 15000 } } } };
  mStore->Put("config", "main", configuration);
  if (mConfigurationVersion == 1) {
    mStaleStore->Put("config", "main", configuration);
  }
}

void
SoakEnvironment::Register(std::size_t aUpstream)
{
  auto const& upstream = mUpstreams[aUpstream];
  nlohmann::json const entry = {
    { "service", ServiceName(upstream.mService) },
    { "address", ToText(UpstreamAddress(aUpstream)) },
    { "zone", upstream.mZone },
    { "slots", 4 },
    { "state", upstream.mIsDraining ? "draining" : "ready" },
    { "coldLeftMs", 0 },
    { "seq", 1 },
    { "version", std::to_string(mRegistrationVersion) },
    { "born", 1796000000000 }
  };
  mStore->Put("servers", upstream.mName, entry);
  if (!upstream.mIsDraining) {
    mStaleStore->Put("servers", upstream.mName, entry);
  }
}

void
SoakEnvironment::AddUpstream(std::size_t aService)
{
  auto const index = mUpstreams.size();
  auto const identity = kFirstIdentity + index;
  auto upstream = PlatformUpstream::Start(
    UpstreamAddress(index), identity, NodeProcessOptions::kPacketPort);
  if (!upstream) {
    return;
  }
  std::array<char, 17> digits{};
  (void)std::snprintf(digits.data(),
                      digits.size(),
                      "%llx",
                      static_cast<unsigned long long>(identity));
  auto const name = "i-" + std::string(digits.data());
  mUpstreams.push_back({ upstream.Take(),
                         aService,
                         name,
                         mZones[(index / 2) % mZones.size()],
                         CookieOf(name),
                         false });
  mChecker.AddUpstream(
    mUpstreams.back().mCookie,
    { name, mUpstreams.back().mZone, kRoutes[aService], TimePoint{}, false });
  Register(index);
}

bool
SoakEnvironment::IsServing(std::size_t aUpstream) const
{
  auto const& upstream = mUpstreams[aUpstream];
  return !upstream.mIsDraining && !upstream.mServer.HasCrashed();
}

void
SoakEnvironment::Drain(TimePoint aNow, std::size_t aUpstream)
{
  mUpstreams[aUpstream].mIsDraining = true;
  Register(aUpstream);
  mChecker.UpstreamWithCookie(mUpstreams[aUpstream].mCookie).mDrainedAt = aNow;
}

void
SoakEnvironment::Crash(std::size_t aUpstream, bool aIsDeregistered)
{
  auto& upstream = mUpstreams[aUpstream];
  upstream.mServer.Crash();
  mChecker.UpstreamWithCookie(upstream.mCookie).mHasCrashed = true;
  if (aIsDeregistered) {
    mStore->Remove("servers", upstream.mName);
  }
}

bool
SoakEnvironment::Suspend(TimePoint aNow,
                         std::size_t aUpstream,
                         milliseconds aDuration)
{
  auto& upstream = mUpstreams[aUpstream];
  if (upstream.mServer.HasCrashed() || aNow < upstream.mNextSuspension) {
    return false;
  }
  upstream.mServer.Suspend(aNow + aDuration);
  upstream.mNextSuspension = aNow + aDuration + kMinTimeBetweenSuspensions;
  return true;
}

void
SoakEnvironment::Deregister(std::size_t aUpstream)
{
  mStore->Remove("servers", mUpstreams[aUpstream].mName);
}

void
SoakEnvironment::ToggleRoute()
{
  mHasSecondRoute = !mHasSecondRoute;
  PublishConfiguration();
}

void
SoakEnvironment::Evacuate(TimePoint aNow, std::size_t aZone, bool aIsEvacuated)
{
  mIsEvacuated = aIsEvacuated;
  auto const& zone = mZones[aZone % mZones.size()];
  mEvacuatedZone = aIsEvacuated ? zone : std::string();
  if (aIsEvacuated) {
    mStore->Put("evacuations", zone, nlohmann::json::object());
  } else {
    mStore->Remove("evacuations", zone);
  }
  mChecker.SetEvacuated(aNow, zone, aIsEvacuated);
}

void
SoakEnvironment::ChurnRegistrations(int aRounds)
{
  for (int round = 0; round < aRounds; ++round) {
    ++mRegistrationVersion;
    for (std::size_t upstream = 0; upstream < mUpstreams.size(); ++upstream) {
      if (!mUpstreams[upstream].mServer.HasCrashed()) {
        Register(upstream);
      }
    }
  }
}

void
SoakEnvironment::Rewrite(std::size_t aWriter)
{
  if (aWriter < mUpstreams.size()) {
    if (!mUpstreams[aWriter].mServer.HasCrashed()) {
      Register(aWriter);
    }
    return;
  }
  if (aWriter == mUpstreams.size()) {
    WriteConfiguration();
    return;
  }
  for (auto const& zone : mZones) {
    if (mIsEvacuated && zone == mEvacuatedZone) {
      mStore->Put("evacuations", zone, nlohmann::json::object());
    } else {
      mStore->Remove("evacuations", zone);
    }
  }
}

void
SoakEnvironment::ExpireCrashedRegistrations()
{
  for (auto const& upstream : mUpstreams) {
    if (upstream.mServer.HasCrashed()) {
      mStore->Remove("servers", upstream.mName);
    }
  }
}

void
SoakEnvironment::Poll()
{
  for (auto& upstream : mUpstreams) {
    upstream.mServer.Poll();
  }
}

void
SoakEnvironment::RestartVms(TimePoint aNow)
{
  for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
    if (mVms[vm].IsRunning()) {
      continue;
    }
    mChecker.RecordVmDown(mVms[vm].Options().Packets(), aNow);
    if (mRestartAt[vm] == TimePoint{}) {
      mRestartAt[vm] = aNow + kRestartDelay;
    }
    if (aNow >= mRestartAt[vm] && mOptions.mMutant != SoakMutant::NoRestart) {
      mRestartAt[vm] = TimePoint{};
      (void)mVms[vm].Start();
    }
  }
}

std::uint64_t
SoakEnvironment::UnknownFlowPackets() const
{
  std::uint64_t packets = 0;
  for (auto const& upstream : mUpstreams) {
    packets +=
      upstream.mServer.HasCrashed() ? 0 : upstream.mServer.UnknownFlowPackets();
  }
  return packets;
}

std::vector<std::string>
SoakEnvironment::TakeUnknownFlowPackets()
{
  std::vector<std::string> lines;
  for (auto& upstream : mUpstreams) {
    for (auto const& caller : upstream.mServer.TakeUnknownCallers()) {
      lines.push_back("a packet of " + ToText(caller) + " reached " +
                      upstream.mName + ", which does not hold its flow");
    }
  }
  return lines;
}

} // namespace tarragonsill::Lab
