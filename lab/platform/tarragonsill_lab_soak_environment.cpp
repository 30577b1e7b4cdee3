#include "tarragonsill_lab_soak_environment.hpp"

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/transport/tarragonsill_http_connection.hpp"

namespace tarragonsill::Lab {

namespace {

constexpr std::uint16_t kHostPort = 18080;
constexpr std::uint16_t kStorePort = 18169;
constexpr std::size_t kUpstreamsPerService = 6;
/// Routers ask twice a second and turn away after two misses.
constexpr milliseconds kReadinessPeriod{ 500 };
constexpr milliseconds kReadinessTimeout{ 200 };
constexpr int kMissesOut = 2;
/// The platform starts a process again after a short time.
constexpr milliseconds kRestartDelay{ 300 };
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
           { "host", ToText(SoakWorld::kRoutes[aService].mAddress) },
           { "pathPrefix", "/443/" },
           { "type", "safe" },
           { "service", ServiceName(aService) } };
}

} // namespace

SoakRouter::SoakRouter(std::vector<NodePlace> aPlaces)
  : mPlaces(std::move(aPlaces))
  , mMisses(mPlaces.size(), kMissesOut)
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
    for (std::size_t index = 0; index < mPlaces.size() && !mStop; ++index) {
      HttpConnection connection(
        { mPlaces[index].Readiness(), kReadinessTimeout, false });
      auto const answer = connection.Get("/readiness", kReadinessTimeout);
      bool const isReady =
        answer && answer->mStatus == HttpConnection::kStatusOk;
      std::lock_guard const lock(mMutex);
      mMisses[index] = isReady ? 0 : mMisses[index] + 1;
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
  for (std::size_t index = 0; index < mPlaces.size(); ++index) {
    all.push_back(mPlaces[index].Packets());
    if (mMisses[index] < kMissesOut) {
      ready.push_back(all.back());
    }
  }
  return ready.empty() ? all : ready;
}

SoakWorld::SoakWorld(SoakOptions aOptions, SoakJudge& aJudge)
  : mOptions(std::move(aOptions))
  , mJudge(aJudge)
{
}

Result<std::unique_ptr<SoakWorld>>
SoakWorld::Start(SoakOptions aOptions, SoakJudge& aJudge)
{
  std::unique_ptr<SoakWorld> world(new SoakWorld(std::move(aOptions), aJudge));
  auto const started = world->StartAll();
  if (!started) {
    return started.LastReason();
  }
  return world;
}

NodePlace
SoakWorld::PlaceOf(std::size_t aVm) const
{
  bool const isStale =
    mOptions.mMutant == SoakMutant::StaleVm && aVm + 1 == mProxies.size();
  NodePlace place;
  place.mName = "vm-" + std::to_string(aVm);
  place.mZone = mZones[aVm % mZones.size()];
  place.mZones = mZones;
  place.mWithout = mOptions.mDisabledMechanisms;
  place.mAddress = { mOptions.mNetwork.Vms() + static_cast<std::uint32_t>(aVm) +
                     1 };
  place.mStore = isStale ? StoreAt(2) : Endpoint{ place.mAddress, kStorePort };
  if (!isStale) {
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
      place.mSeeds.push_back(
        { { mOptions.mNetwork.Vms() + seed }, NodePlace::kControlPort });
    }
  }
  return place;
}

Endpoint
SoakWorld::StoreAt(std::uint32_t aNumber) const
{
  return { { mOptions.mNetwork.Stores() + aNumber }, kStorePort };
}

Endpoint
SoakWorld::HostAt(std::size_t aUpstream) const
{
  auto const number = static_cast<std::uint32_t>(aUpstream) + 1;
  return { { mOptions.mNetwork.Hosts() + number }, kHostPort };
}

Result<Done>
SoakWorld::StartAll()
{
  for (auto* const store : { &mStore, &mStaleStore }) {
    auto started =
      ObjectStore::Start(store == &mStore ? StoreAt(1) : StoreAt(2));
    if (!started) {
      return started.LastReason();
    }
    *store = started.Take();
  }
  if (mOptions.mMutant == SoakMutant::NoEra) {
    mStore->OmitEra();
  }
  Configure();
  for (std::size_t index = 0; index < 2 * kUpstreamsPerService; ++index) {
    AddUpstream(index % 2);
  }
  std::vector<NodePlace> places;
  mProxies.resize(static_cast<std::size_t>(mOptions.mEntries));
  for (std::size_t vm = 0; vm < mProxies.size(); ++vm) {
    places.push_back(PlaceOf(vm));
    auto proxy =
      FaultProxy::Start({ places[vm].mAddress, kStorePort }, StoreAt(1));
    if (!proxy) {
      return proxy.LastReason();
    }
    mProxies[vm] = proxy.Take();
    mVms.emplace_back(mOptions.mProgram, mOptions.mDirectory, places[vm]);
    auto const started = mVms.back().Start();
    if (!started) {
      return started;
    }
  }
  mStartAt.resize(mVms.size());
  mRouter = std::make_unique<SoakRouter>(std::move(places));
  return Done{};
}

void
SoakWorld::Configure()
{
  ++mVersion;
  auto const now = Clock::now();
  WriteConfiguration();
  if (mVersion == 1) {
    mJudge.SetRoute(now, kRoutes[0], true);
  }
  mJudge.SetRoute(now, kRoutes[1], mHasSecondRoute);
}

void
SoakWorld::WriteConfiguration()
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
  nlohmann::json const configuration = { { "version", mVersion },
                                         { "routes", routes },
                                         { "services", services },
                                         { "limits",
                                           { { "idleTimeoutMs", 15000 } } } };
  mStore->Put("config", "main", configuration);
  if (mVersion == 1) {
    mStaleStore->Put("config", "main", configuration);
  }
}

void
SoakWorld::Register(std::size_t aUpstream)
{
  auto const& host = mHosts[aUpstream];
  nlohmann::json const entry = { { "service", ServiceName(host.mService) },
                                 { "address", ToText(HostAt(aUpstream)) },
                                 { "zone", host.mZone },
                                 { "slots", 4 },
                                 { "state",
                                   host.mIsDraining ? "draining" : "ready" },
                                 { "coldLeftMs", 0 },
                                 { "seq", 1 },
                                 { "version", std::to_string(mChurn) },
                                 { "born", 1796000000000 } };
  mStore->Put("servers", host.mName, entry);
  if (!host.mIsDraining) {
    mStaleStore->Put("servers", host.mName, entry);
  }
}

void
SoakWorld::AddUpstream(std::size_t aService)
{
  auto const index = mHosts.size();
  auto const identity = kFirstIdentity + index;
  auto host =
    PlatformUpstream::Start(HostAt(index), identity, NodePlace::kPacketPort);
  if (!host) {
    return;
  }
  std::array<char, 17> digits{};
  (void)std::snprintf(digits.data(),
                      digits.size(),
                      "%llx",
                      static_cast<unsigned long long>(identity));
  auto const name = "i-" + std::string(digits.data());
  mHosts.push_back({ host.Take(),
                     aService,
                     name,
                     mZones[(index / 2) % mZones.size()],
                     CookieOf(name),
                     false });
  mJudge.AddUpstream(
    mHosts.back().mCookie,
    { name, mHosts.back().mZone, kRoutes[aService], TimePoint{}, false });
  Register(index);
}

bool
SoakWorld::IsServing(std::size_t aUpstream) const
{
  auto const& host = mHosts[aUpstream];
  return !host.mIsDraining && !host.mHost.HasCrashed();
}

void
SoakWorld::Drain(TimePoint aNow, std::size_t aUpstream)
{
  mHosts[aUpstream].mIsDraining = true;
  Register(aUpstream);
  mJudge.At(mHosts[aUpstream].mCookie).mDrainedAt = aNow;
}

void
SoakWorld::Crash(std::size_t aUpstream, bool aIsKnown)
{
  auto& host = mHosts[aUpstream];
  host.mHost.Crash();
  mJudge.At(host.mCookie).mHasCrashed = true;
  if (aIsKnown) {
    mStore->Remove("servers", host.mName);
  }
}

void
SoakWorld::ToggleRoute()
{
  mHasSecondRoute = !mHasSecondRoute;
  Configure();
}

void
SoakWorld::Evacuate(TimePoint aNow, std::size_t aZone, bool aIsOut)
{
  mIsEvacuated = aIsOut;
  auto const& zone = mZones[aZone % mZones.size()];
  mEvacuatedZone = aIsOut ? zone : std::string();
  if (aIsOut) {
    mStore->Put("evacuations", zone, nlohmann::json::object());
  } else {
    mStore->Remove("evacuations", zone);
  }
  mJudge.SetEvacuated(aNow, zone, aIsOut);
}

void
SoakWorld::Churn(int aChanges)
{
  for (int change = 0; change < aChanges; ++change) {
    ++mChurn;
    for (std::size_t upstream = 0; upstream < mHosts.size(); ++upstream) {
      if (!mHosts[upstream].mHost.HasCrashed()) {
        Register(upstream);
      }
    }
  }
}

void
SoakWorld::WriteAgain(std::size_t aWriter)
{
  if (aWriter < mHosts.size()) {
    if (!mHosts[aWriter].mHost.HasCrashed()) {
      Register(aWriter);
    }
    return;
  }
  if (aWriter == mHosts.size()) {
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
SoakWorld::LapseCrashed()
{
  for (auto const& host : mHosts) {
    if (host.mHost.HasCrashed()) {
      mStore->Remove("servers", host.mName);
    }
  }
}

void
SoakWorld::Poll()
{
  for (auto& host : mHosts) {
    host.mHost.Poll();
  }
}

void
SoakWorld::Restart(TimePoint aNow)
{
  for (std::size_t vm = 0; vm < mVms.size(); ++vm) {
    if (mVms[vm].IsRunning()) {
      continue;
    }
    mJudge.NoteDown(mVms[vm].Place().Packets(), aNow);
    if (mStartAt[vm] == TimePoint{}) {
      mStartAt[vm] = aNow + kRestartDelay;
    }
    if (aNow >= mStartAt[vm] && mOptions.mMutant != SoakMutant::NoRestart) {
      mStartAt[vm] = TimePoint{};
      (void)mVms[vm].Start();
    }
  }
}

std::uint64_t
SoakWorld::ForeignPackets() const
{
  std::uint64_t packets = 0;
  for (auto const& host : mHosts) {
    packets += host.mHost.HasCrashed() ? 0 : host.mHost.ForeignPackets();
  }
  return packets;
}

} // namespace tarragonsill::Lab
