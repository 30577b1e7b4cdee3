// The cases of this review. Usage: standin CASE RECORD
// Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
#include "standin.hpp"

using namespace standin;

namespace {

std::string
Route(std::string const& aName, u32 aIp, u16 aPort, std::string const& aType,
      std::string const& aService)
{
  return "{\"name\":\"" + aName + "\",\"host\":\"" + IpText(aIp) +
         "\",\"pathPrefix\":\"/" + std::to_string(aPort) + "/\",\"type\":\"" +
         aType +
         "\",\"timeoutMs\":5000,\"latencyTargetMs\":300,\"priority\":1,"
         "\"service\":\"" +
         aService + "\",\"maxAttempts\":2}";
}

std::string
Configuration(int aVersion, std::string const& aRoutes,
              std::vector<std::string> const& aServices, double aColdRate)
{
  std::string services;
  for (auto const& name : aServices) {
    services += std::string(services.empty() ? "" : ",") + "{\"name\":\"" +
                name +
                "\",\"healthPath\":\"/health\",\"maxConns\":2000,"
                "\"protocol\":\"h1\",\"tls\":false,\"coldS\":2.0,"
                "\"coldRateS\":" +
                std::to_string(aColdRate) + "}";
  }
  return "{\"version\":" + std::to_string(aVersion) + ",\"routes\":[" +
         aRoutes + "],\"services\":[" + services +
         "],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
         "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
}

struct Opening
{
  u64 sentAt;
  u64 arrivedAt;
  std::string vm;
};

/// The largest number of openings that were sent and arrived inside one second.
std::size_t
MostInOneSecond(std::vector<Opening> const& aOpenings, u64& aBegin)
{
  std::size_t most = 0;
  for (auto const& first : aOpenings) {
    std::size_t count = 0;
    for (auto const& other : aOpenings) {
      count += other.sentAt >= first.sentAt &&
                   other.arrivedAt < first.sentAt + 1'000'000
                 ? 1
                 : 0;
    }
    if (count > most) {
      most = count;
      aBegin = first.sentAt;
    }
  }
  return most;
}

/// Counts what cold hosts take, and judges FAILBACK.
class ColdJudge
{
public:
  static constexpr double kFactor = 1.5, kSlack = 5;

  ColdJudge(Record& aRecord, double aRate)
    : mRecord(aRecord)
    , mRate(aRate)
  {
  }
  void Sent(Clients& aClients, u16 aPort, u32 aRoute)
  {
    auto const& attempt = aClients.At(aPort);
    mSent[{ aClients.Address(), aPort, aRoute, Deployment::kRoutePort }] = {
      attempt.lastVm ? attempt.lastVm->name : "none", attempt.sentAt
    };
  }
  void Observe(Host& aHost)
  {
    aHost.onOpening = [this](Host& aHost, Packet const& aPacket) {
      auto const& [vm, sentAt] = mSent[IdOf(aPacket)];
      if (aHost.ColdLeftMs() > 0) {
        mOpenings[aHost.Id()].push_back({ sentAt, NowUs(), vm });
        mFlows[IdOf(aPacket)] = aHost.Id();
        mRecord.Line("cold host %s takes a flow, sent at %.3f through %s",
                     aHost.Id().c_str(), mRecord.Seconds(sentAt), vm.c_str());
      }
    };
  }
  /// Returns whether the rule was broken.
  bool Judge(std::vector<Clients*> const& aClients, u32 aRoute)
  {
    std::map<std::string, int> outcomes;
    int late = 0;
    for (auto const* clients : aClients) {
      for (auto const& [port, attempt] : clients->All()) {
        ++outcomes[attempt.hasEnded ? attempt.outcome : "still open"];
        bool const isAtCold =
          mFlows.count({ clients->Address(), port, aRoute,
                         Deployment::kRoutePort }) > 0;
        late += isAtCold && attempt.isOpen &&
                    attempt.outcome == "time budget over"
                  ? 1
                  : 0;
      }
    }
    for (auto const& [outcome, count] : outcomes) {
      mRecord.Line("flows: %s: %d", outcome.c_str(), count);
    }
    mRecord.Line("requests that a cold host had taken and that were not "
                 "answered within their time budget: %d",
                 late);
    auto const limit = mRate * kFactor + kSlack;
    bool isBroken = false;
    for (auto const& [host, openings] : mOpenings) {
      u64 begin = 0;
      auto const most = MostInOneSecond(openings, begin);
      std::map<std::string, int> byVm;
      for (auto const& opening : openings) {
        if (opening.sentAt >= begin && opening.arrivedAt < begin + 1'000'000) {
          ++byVm[opening.vm];
        }
      }
      std::string parts;
      for (auto const& [vm, count] : byVm) {
        parts += (parts.empty() ? "" : ", ") + std::to_string(count) +
                 " through " + vm;
      }
      mRecord.Line("FAILBACK: the cold host %s took at most %zu requests in one "
                   "second, from %.3f on (%s); allowed are %.0f",
                   host.c_str(), most, mRecord.Seconds(begin), parts.c_str(),
                   limit);
      isBroken = isBroken || double(most) > limit;
    }
    return isBroken;
  }

private:
  Record& mRecord;
  double mRate;
  std::map<FlowId, std::pair<std::string, u64>> mSent;
  std::map<FlowId, std::string> mFlows;
  std::map<std::string, std::vector<Opening>> mOpenings;
};

/// FLOW: entry VMs are restarted in turn while datagrams are lost now and then.
int
LateAnswer(Record& aRecord)
{
  // "Datagrams are lost occasionally": here the first answers to the opening
  // packets of 14 flows, some seconds before each restart, so that no other
  // loss plays a part, and each host is calm again by then.
  constexpr int kLossesPerRestart = 14;
  constexpr u64 kStabilityUs = 4'000'000;
  auto& deployment = Deployment::Begin(aRecord);
  deployment.zones = { "hofud-a", "hofud-b", "hofud-c" };
  Loop loop;
  std::mt19937 random(std::random_device{}());
  auto const chance = [&] {
    return std::uniform_real_distribution<double>(0, 1)(random);
  };
  std::vector<std::string> seeds;
  std::map<std::string, int> const counts = { { "hofud-a", 3 },
                                              { "hofud-b", 2 },
                                              { "hofud-c", 2 } };
  for (auto const& zone : deployment.zones) {
    for (int number = 1; number <= counts.at(zone); ++number) {
      auto& vm = deployment.AddVm(zone, number, {}, true);
      if (number == 1) {
        seeds.push_back(Deployment::Control(vm));
      }
    }
  }
  for (auto const& vm : deployment.vms) {
    vm->seeds = seeds;
  }
  deployment.store->Put(
    "config", "main",
    Configuration(7,
                  Route("order-change", deployment.RouteIp(),
                        Deployment::kRoutePort, "unsafe", "askrift"),
                  { "askrift" }, 0.0));
  std::map<u32, std::string> zoneOfClient;
  for (u32 index = 0; index < 3; ++index) {
    zoneOfClient[deployment.block | (200 + index)] = deployment.zones[index];
  }
  std::map<FlowId, Host*> openAt;
  std::map<std::string, Host*> ranAt;
  std::vector<std::unique_ptr<Host>> hosts;
  int lost = 0;
  std::atomic<int> toLose{ 0 };
  std::string losingZone;
  std::mutex losingMutex;
  std::set<FlowId> answered;
  std::map<Host*, u64> lastLoss;
  for (u32 index = 0; index < 14; ++index) {
    Host::Options options;
    options.ip = deployment.block | (100 + index);
    char id[32];
    std::snprintf(id, sizeof(id), "i-51c0%04x", unsigned(0x1000 + index * 77));
    options.id = id;
    options.service = "askrift";
    options.zone = deployment.zones[index % 3];
    options.slots = 4;
    hosts.push_back(std::make_unique<Host>(loop, deployment, options));
    auto& host = *hosts.back();
    // The work of order-change: 72 ms in the mean, 430 ms at most.
    host.drawWorkMs = [&] {
      return std::min(430.0,
                      std::exponential_distribution<double>(1.0 / 72)(random));
    };
    host.onOpen = [&](Host& aHost, FlowId aFlow) { openAt[aFlow] = &aHost; };
    host.onRun = [&](Host& aHost, std::string const& aRequest, FlowId) {
      if (ranAt.count(aRequest) > 0) {
        aRecord.Line("request %s ran twice", aRequest.c_str());
      }
      ranAt[aRequest] = &aHost;
    };
    host.losesOutgoing = [&](Host& aHost, Packet const& aPacket) {
      if ((aPacket.flags & kSyn) == 0 || toLose <= 0) {
        return false;
      }
      FlowId const flow{ aPacket.dst, aPacket.dport, aPacket.src,
                         aPacket.sport };
      bool const isFirst = answered.insert(flow).second;
      std::lock_guard const lock(losingMutex);
      if (!isFirst || zoneOfClient[aPacket.dst] != losingZone ||
          chance() < 0.5) {
        return false;
      }
      --toLose;
      ++lost;
      lastLoss[&aHost] = NowUs();
      return true;
    };
    host.KeepBeating(1200);
  }
  for (auto const& vm : deployment.vms) {
    deployment.Start(*vm);
  }
  deployment.StartRouters();
  if (!deployment.WaitUntilReady(15)) {
    CannotRun("the entry VMs are not ready");
  }
  std::map<std::string, std::unique_ptr<Clients>> clients;
  u32 clientIp = 200;
  int broken = 0;
  for (auto const& zone : deployment.zones) {
    clients[zone] = std::make_unique<Clients>(loop, deployment, zone,
                                              deployment.block | clientIp++);
    auto& zoneClients = *clients[zone];
    zoneClients.onSynAck = [&](u16 aPort, Clients::Attempt& aAttempt,
                               Packet const& aPacket) {
      if (aAttempt.isOpen && aPacket.seq + 1 != aAttempt.acked) {
        aRecord.Line("request %s (port %u): a second host answers the opening "
                     "packet, echo %08x",
                     aAttempt.request.c_str(), unsigned(aPort), aPacket.echo);
      }
    };
    zoneClients.onReset = [&](u16 aPort, Clients::Attempt& aAttempt,
                              Packet const&, bool aIsOfSystem) {
      if (!aAttempt.isOpen) {
        return;
      }
      FlowId const flow{ zoneClients.Address(), aPort, deployment.RouteIp(),
                         Deployment::kRoutePort };
      auto const open = openAt.find(flow);
      bool const isHeld = open != openAt.end();
      // A host that has just lost a datagram counts as disturbed.
      auto const loss = isHeld ? lastLoss.find(open->second) : lastLoss.end();
      bool const isCalm =
        loss == lastLoss.end() || NowUs() > loss->second + kStabilityUs;
      aRecord.Line("request %s (port %u): reset by %s, last packet through %s; "
                   "the flow is open at %s%s, the request %s",
                   aAttempt.request.c_str(), unsigned(aPort),
                   aIsOfSystem ? "the system" : "another host",
                   aAttempt.lastVm ? aAttempt.lastVm->name.c_str() : "none",
                   isHeld ? open->second->Id().c_str() : "no host",
                   isCalm ? "" : " (not counted: a datagram of it was lost)",
                   ranAt.count(aAttempt.request) > 0 ? "runs there"
                                                     : "has not run");
      broken += isHeld && isCalm ? 1 : 0;
    };
  }
  // Long flows of twelve requests, with pauses: 9 new flows and about 100
  // requests a second in each zone.
  std::function<void(std::string)> request = [&](std::string aZone) {
    clients[aZone]->Send("POST", 5000, Deployment::kRoutePort, 11,
                         400 + 1200 * chance());
    loop.After(1000.0 / 9, [&request, aZone] { request(aZone); });
  };
  for (auto const& zone : deployment.zones) {
    request(zone);
  }
  std::atomic<bool> isRolled{ false };
  std::thread roll([&] {
    std::this_thread::sleep_for(std::chrono::seconds(5));
    for (auto const& vm : deployment.vms) {
      {
        std::lock_guard const lock(losingMutex);
        losingZone = vm->zone;
      }
      toLose = kLossesPerRestart;
      std::this_thread::sleep_for(std::chrono::milliseconds(6000));
      toLose = 0;
      if (Trouble()) {
        // Planned work: SIGTERM, the process ends within graceS, and it starts
        // again.
        deployment.Signal(*vm, SIGTERM);
        (void)deployment.Reap(*vm);
        std::this_thread::sleep_for(std::chrono::milliseconds(300));
        vm->isFirstStart = false;
        deployment.Start(*vm);
      } else {
        std::this_thread::sleep_for(std::chrono::milliseconds(2700));
      }
      std::this_thread::sleep_for(std::chrono::seconds(2));
    }
    isRolled = true;
  });
  std::function<void()> check = [&] {
    if (isRolled) {
      loop.After(3000, [&] { loop.Stop(); });
    } else {
      loop.After(200, check);
    }
  };
  check();
  loop.Run();
  roll.join();
  std::map<std::string, int> outcomes;
  for (auto const& [zone, zoneClients] : clients) {
    for (auto const& [port, attempt] : zoneClients->All()) {
      ++outcomes[attempt.hasEnded ? attempt.outcome : "still open"];
    }
  }
  for (auto const& [outcome, count] : outcomes) {
    aRecord.Line("flows: %s: %d", outcome.c_str(), count);
  }
  for (auto const& [zone, zoneClients] : clients) {
    aRecord.Line("zone %s: %d requests answered", zone.c_str(),
                 zoneClients->Answered());
  }
  aRecord.Line("lost answers to an opening packet: %d", lost);
  aRecord.Line("FLOW: %d open flows were reset by others than their host",
               broken);
  return broken > 0 ? 1 : 0;
}

/// CONFIG: the settings name another address of the platform's store.
int
MovedStore(Record& aRecord)
{
  constexpr u64 kBoundUs = 3'000'000; // configPropagationMs
  auto& deployment = Deployment::Begin(aRecord);
  deployment.zones = { "hofud-a", "hofud-b", "hofud-c" };
  Loop loop;
  std::vector<std::string> seeds;
  for (auto const& zone : deployment.zones) {
    seeds.push_back(Deployment::Control(deployment.AddVm(zone, 1, {}, true)));
    (void)deployment.AddVm(zone, 2, {}, true);
  }
  for (auto const& vm : deployment.vms) {
    vm->seeds = seeds;
  }
  std::vector<std::string> const services = { "askrift", "midar" };
  auto const route = [&](std::string const& aService) {
    return Route("order-change", deployment.RouteIp(), Deployment::kRoutePort,
                 "unsafe", aService);
  };
  deployment.store->Put("config", "main",
                        Configuration(7, route("askrift"), services, 0));
  std::map<std::string, std::string> ranAt;
  std::vector<std::unique_ptr<Host>> hosts;
  for (u32 index = 0; index < 6; ++index) {
    Host::Options options;
    options.ip = deployment.block | (100 + index);
    char id[32];
    std::snprintf(id, sizeof(id), "i-51c0%04x", unsigned(0x1000 + index * 77));
    options.id = id;
    options.service = services[index % 2];
    options.zone = deployment.zones[index / 2];
    options.workMs = 72;
    hosts.push_back(std::make_unique<Host>(loop, deployment, options));
    hosts.back()->onRun = [&](Host& aHost, std::string const& aRequest,
                              FlowId) {
      ranAt[aRequest] = aHost.Settings().service;
    };
    hosts.back()->KeepBeating(1200);
  }
  for (auto const& vm : deployment.vms) {
    deployment.Start(*vm);
  }
  deployment.StartRouters();
  if (!deployment.WaitUntilReady(15)) {
    CannotRun("the entry VMs are not ready");
  }
  std::map<std::string, std::unique_ptr<Clients>> clients;
  std::map<std::string, u64> sentAt;
  std::map<std::string, std::string> through;
  u32 clientIp = 200;
  std::function<void(std::string)> request = [&](std::string aZone) {
    auto const port =
      clients[aZone]->Send("POST", 5000, Deployment::kRoutePort);
    auto const& attempt = clients[aZone]->At(port);
    sentAt[attempt.request] = attempt.sentAt;
    through[attempt.request] = attempt.lastVm ? attempt.lastVm->name : "none";
    loop.After(1000.0 / 20, [&request, aZone] { request(aZone); });
  };
  for (auto const& zone : deployment.zones) {
    clients[zone] = std::make_unique<Clients>(loop, deployment, zone,
                                              deployment.block | clientIp++);
    request(zone);
  }
  u64 ackedAt = 0;
  auto const oldIp = deployment.storeIp;
  loop.After(4000, [&] {
    if (!Trouble()) {
      return;
    }
    deployment.storeIp = deployment.block | 2;
    deployment.store->Listen(deployment.storeIp, Deployment::kStorePort);
    aRecord.Line("the store answers at %s as well; settings files change",
                 IpText(deployment.storeIp).c_str());
    for (auto const& vm : deployment.vms) {
      (void)deployment.WriteSettings(*vm);
      deployment.Signal(*vm, SIGHUP);
    }
  });
  loop.After(14000, [&] {
    if (Trouble()) {
      deployment.store->Close(oldIp);
      aRecord.Line("the store no longer answers at its old address");
    }
  });
  // Longer than stabilityWindowMs after that.
  loop.After(20000, [&] {
    deployment.store->Put("config", "main",
                          Configuration(9, route("midar"), services, 0));
    ackedAt = NowUs();
    aRecord.Line("version 9 acknowledged: the route moves from askrift to "
                 "midar");
  });
  loop.After(32000, [&] { loop.Stop(); });
  loop.Run();
  int late = 0, old = 0;
  std::map<std::string, int> byVm;
  for (auto const& [name, at] : sentAt) {
    if (at <= ackedAt + kBoundUs) {
      continue;
    }
    ++late;
    auto const ran = ranAt.find(name);
    if (ran != ranAt.end() && ran->second == "askrift") {
      ++old;
      ++byVm[through[name]];
      if (old <= 20) {
        aRecord.Line("request %s, sent %.3f s after the ack through %s, ran at "
                     "the old service",
                     name.c_str(), double(at - ackedAt) / 1e6,
                     through[name].c_str());
      }
    }
  }
  for (auto const& [vm, count] : byVm) {
    aRecord.Line("%s: %d requests to the old service", vm.c_str(), count);
  }
  aRecord.Line("CONFIG: of %d requests that were sent later than 3 s after the "
               "ack, %d ran at the old service",
               late, old);
  return old > 0 ? 1 : 0;
}

/// FAILBACK: all entry VMs are killed just after an evacuated zone was taken
/// back.
int
ColdZone(Record& aRecord)
{
  constexpr double kColdRate = 10;
  auto& deployment = Deployment::Begin(aRecord);
  deployment.zones = { "hofud-a", "hofud-b", "hofud-c" };
  Loop loop;
  std::vector<std::string> seeds;
  std::map<std::string, int> const counts = { { "hofud-a", 3 },
                                              { "hofud-b", 2 },
                                              { "hofud-c", 2 } };
  for (auto const& zone : deployment.zones) {
    for (int number = 1; number <= counts.at(zone); ++number) {
      auto& vm = deployment.AddVm(zone, number, {}, true);
      if (number == 1) {
        seeds.push_back(Deployment::Control(vm));
      }
    }
  }
  for (auto const& vm : deployment.vms) {
    vm->seeds = seeds;
  }
  deployment.store->Put(
    "config", "main",
    Configuration(7,
                  Route("order-change", deployment.RouteIp(),
                        Deployment::kRoutePort, "unsafe", "askrift"),
                  { "askrift" }, kColdRate));
  ColdJudge judge(aRecord, kColdRate);
  std::vector<std::unique_ptr<Host>> hosts;
  std::mt19937 random(std::random_device{}());
  for (u32 index = 0; index < 14; ++index) {
    Host::Options options;
    options.ip = deployment.block | (100 + index);
    char id[32];
    std::snprintf(id, sizeof(id), "i-51c0%04x", unsigned(0x1000 + index * 77));
    options.id = id;
    options.service = "askrift";
    options.zone = deployment.zones[index % 3];
    options.workMs = 55;
    options.coldWorkMs = 88; // A cold host is slower.
    hosts.push_back(std::make_unique<Host>(loop, deployment, options));
    auto& host = *hosts.back();
    judge.Observe(host);
    host.Beat();
  }
  for (auto const& vm : deployment.vms) {
    deployment.Start(*vm);
  }
  deployment.StartRouters();
  if (!deployment.WaitUntilReady(15)) {
    CannotRun("the entry VMs are not ready");
  }
  u32 clientIp = 200;
  std::map<std::string, std::unique_ptr<Clients>> clients;
  std::vector<Clients*> allClients;
  // 133 requests a second in each zone, over a flow each; the hosts can run
  // 1,000 a second.
  std::function<void(std::string)> request = [&](std::string aZone) {
    auto const port =
      clients[aZone]->Send("POST", 5000, Deployment::kRoutePort);
    judge.Sent(*clients[aZone], port, deployment.RouteIp());
    loop.After(1000.0 / 133, [&request, aZone] { request(aZone); });
  };
  for (auto const& zone : deployment.zones) {
    clients[zone] = std::make_unique<Clients>(loop, deployment, zone,
                                              deployment.block | clientIp++);
    allClients.push_back(clients[zone].get());
    request(zone);
  }
  for (auto const& host : hosts) {
    loop.After(double(random() % 1200), [&host] { host->KeepBeating(1200); });
  }
  loop.After(4000, [&] {
    deployment.store->Put("evacuations", "hofud-a", "{}");
    aRecord.Line("zone hofud-a is evacuated");
  });
  loop.After(12000, [&] {
    for (auto const& host : hosts) {
      if (host->Settings().zone == "hofud-a") {
        host->TurnCold(2000);
      }
    }
    deployment.store->Remove("evacuations", "hofud-a");
    aRecord.Line("zone hofud-a is taken back; its hosts are cold");
  });
  loop.After(12100, [&] {
    if (!Trouble()) {
      return;
    }
    for (auto const& vm : deployment.vms) {
      deployment.Kill(*vm);
    }
    loop.After(300, [&] {
      for (auto const& vm : deployment.vms) {
        vm->isFirstStart = false;
        deployment.Start(*vm);
      }
    });
  });
  loop.After(18000, [&] { loop.Stop(); });
  loop.Run();
  return judge.Judge(allClients, deployment.RouteIp()) ? 1 : 0;
}

/// FAILBACK: a host starts again under its id while the store is down.
int
RestartInOutage(Record& aRecord)
{
  constexpr double kColdRate = 4;
  auto& deployment = Deployment::Begin(aRecord);
  deployment.zones = { "hofud-a", "hofud-b", "hofud-c" };
  Loop loop;
  std::vector<std::string> seeds;
  std::map<std::string, int> const counts = { { "hofud-a", 3 },
                                              { "hofud-b", 2 },
                                              { "hofud-c", 2 } };
  for (auto const& zone : deployment.zones) {
    for (int number = 1; number <= counts.at(zone); ++number) {
      auto& vm = deployment.AddVm(zone, number, {}, true);
      if (number == 1) {
        seeds.push_back(Deployment::Control(vm));
      }
    }
  }
  for (auto const& vm : deployment.vms) {
    vm->seeds = seeds;
  }
  deployment.store->Put(
    "config", "main",
    Configuration(7,
                  Route("order-change", deployment.RouteIp(),
                        Deployment::kRoutePort, "unsafe", "askrift"),
                  { "askrift" }, kColdRate));
  ColdJudge judge(aRecord, kColdRate);
  std::vector<std::unique_ptr<Host>> hosts;
  std::mt19937 random(std::random_device{}());
  for (u32 index = 0; index < 14; ++index) {
    Host::Options options;
    options.ip = deployment.block | (100 + index);
    char id[32];
    std::snprintf(id, sizeof(id), "i-51c0%04x", unsigned(0x1000 + index * 77));
    options.id = id;
    options.service = "askrift";
    options.zone = deployment.zones[index % 3];
    options.workMs = 55;
    options.coldWorkMs = 88; // A cold host is slower.
    hosts.push_back(std::make_unique<Host>(loop, deployment, options));
    auto& host = *hosts.back();
    judge.Observe(host);
    host.Beat();
  }
  for (auto const& vm : deployment.vms) {
    deployment.Start(*vm);
  }
  deployment.StartRouters();
  if (!deployment.WaitUntilReady(15)) {
    CannotRun("the entry VMs are not ready");
  }
  u32 clientIp = 200;
  std::map<std::string, std::unique_ptr<Clients>> clients;
  std::vector<Clients*> allClients;
  // 200 requests a second in each zone, over a flow each; the hosts can run
  // 1,000 a second.
  std::function<void(std::string)> request = [&](std::string aZone) {
    auto const port =
      clients[aZone]->Send("POST", 5000, Deployment::kRoutePort);
    judge.Sent(*clients[aZone], port, deployment.RouteIp());
    loop.After(1000.0 / 200, [&request, aZone] { request(aZone); });
  };
  for (auto const& zone : deployment.zones) {
    clients[zone] = std::make_unique<Clients>(loop, deployment, zone,
                                              deployment.block | clientIp++);
    allClients.push_back(clients[zone].get());
    request(zone);
  }
  for (auto const& host : hosts) {
    loop.After(double(random() % 1200), [&host] { host->KeepBeating(1200); });
  }
  loop.After(6000, [&] {
    if (Trouble()) {
      deployment.store->SetDown(true);
      aRecord.Line("the store is down");
    }
  });
  loop.After(7000, [&] {
    // The first two hosts of zone hofud-a, one after the other.
    aRecord.Line("host %s ends and starts again", hosts[0]->Id().c_str());
    hosts[0]->Restart(500, 2000);
  });
  loop.After(9000, [&] {
    aRecord.Line("host %s ends and starts again", hosts[3]->Id().c_str());
    hosts[3]->Restart(500, 2000);
  });
  loop.After(11000, [&] {
    deployment.store->SetDown(false);
    aRecord.Line("the store is up");
  });
  loop.After(18000, [&] { loop.Stop(); });
  loop.Run();
  return judge.Judge(allClients, deployment.RouteIp()) ? 1 : 0;
}

/// RECOVER: an entry of another writer, and the final fault.
int
OddEntry(Record& aRecord)
{
  constexpr u64 kRecoveryUs = 12'000'000; // recoveryS
  auto& deployment = Deployment::Begin(aRecord);
  deployment.zones = { "hofud-a", "hofud-b", "hofud-c" };
  Loop loop;
  std::vector<std::string> seeds;
  for (auto const& zone : deployment.zones) {
    seeds.push_back(Deployment::Control(deployment.AddVm(zone, 1, {}, true)));
    (void)deployment.AddVm(zone, 2, {}, true);
  }
  for (auto const& vm : deployment.vms) {
    vm->seeds = seeds;
  }
  deployment.store->Put(
    "config", "main",
    Configuration(7,
                  Route("order-change", deployment.RouteIp(),
                        Deployment::kRoutePort, "unsafe", "askrift"),
                  { "askrift" }, 0));
  std::vector<std::unique_ptr<Host>> hosts;
  for (u32 index = 0; index < 9; ++index) {
    Host::Options options;
    options.ip = deployment.block | (100 + index);
    char id[32];
    std::snprintf(id, sizeof(id), "i-%x1c0%04x", unsigned(index + 4),
                  unsigned(index * 77));
    options.id = id;
    options.service = "askrift";
    options.zone = deployment.zones[index % 3];
    options.workMs = 72;
    hosts.push_back(std::make_unique<Host>(loop, deployment, options));
    hosts.back()->KeepBeating(1200);
  }
  for (auto const& vm : deployment.vms) {
    deployment.Start(*vm);
  }
  deployment.StartRouters();
  if (!deployment.WaitUntilReady(15)) {
    CannotRun("the entry VMs are not ready");
  }
  u32 clientIp = 200;
  std::map<std::string, std::unique_ptr<Clients>> clients;
  std::function<void(std::string)> request = [&](std::string aZone) {
    (void)clients[aZone]->Send("POST", 5000, Deployment::kRoutePort);
    loop.After(1000.0 / 30, [&request, aZone] { request(aZone); });
  };
  for (auto const& zone : deployment.zones) {
    clients[zone] = std::make_unique<Clients>(loop, deployment, zone,
                                              deployment.block | clientIp++);
    request(zone);
  }
  if (Trouble()) {
    loop.After(4000, [&] {
      // Bytes that cannot be read, in its name and in its spec; less than
      // maxValueBytes.
      std::string const text(1'048'400, '\xfe');
      deployment.store->Put("servers", "i-7\xff\xfe", "\"" + text + "\"");
      aRecord.Line("another writer has written an entry");
    });
  }
  u64 killedAt = 0, backAt = 0;
  loop.After(10000, [&] {
    killedAt = NowUs();
    for (auto const& vm : deployment.vms) {
      deployment.Kill(*vm);
    }
    loop.After(1000, [&] {
      for (auto const& vm : deployment.vms) {
        vm->isFirstStart = false;
        deployment.Start(*vm);
      }
      backAt = NowUs();
      aRecord.Line("the machines are back");
    });
  });
  loop.After(33000, [&] { loop.Stop(); });
  loop.Run();
  int before = 0, servedBefore = 0, after = 0, servedAfter = 0;
  for (auto const& [zone, zoneClients] : clients) {
    for (auto const& [port, attempt] : zoneClients->All()) {
      bool const isServed = attempt.outcome == "closed after its last answer";
      // The last ones may still be under way.
      if (attempt.sentAt < killedAt - 1'000'000) {
        ++before;
        servedBefore += isServed ? 1 : 0;
      } else if (attempt.sentAt > backAt + kRecoveryUs &&
                 attempt.sentAt < NowUs() - 5'000'000) {
        ++after;
        servedAfter += isServed ? 1 : 0;
      }
    }
  }
  aRecord.Line("before the final fault %d of %d requests were served",
               servedBefore, before);
  aRecord.Line("RECOVER: of %d requests that were sent later than 12 s after "
               "the machines were back, %d were served",
               after, servedAfter);
  bool const wasServed = 4 * servedBefore >= before;
  return wasServed && after > 0 && 4 * servedAfter < after ? 1 : 0;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  (void)std::signal(SIGPIPE, SIG_IGN);
  for (int const signal : { SIGTERM, SIGINT, SIGALRM }) {
    (void)std::signal(signal, [](int) {
      Deployment::KillAll();
      ::_exit(2);
    });
  }
  (void)::alarm(110);
  if (aCount != 3) {
    CannotRun("usage: standin CASE RECORD");
  }
  std::string const name = aArguments[1];
  Record record(aArguments[2]);
  record.Line("case %s, %s the disruption", name.c_str(),
              Trouble() ? "with" : "without");
  std::map<std::string, std::function<int(Record&)>> const cases = {
    { "late-answer", LateAnswer },
    { "moved-store", MovedStore },
    { "cold-zone", ColdZone },
    { "odd-entry", OddEntry },
    { "restart-in-outage", RestartInOutage },
  };
  auto const found = cases.find(name);
  if (found == cases.end()) {
    CannotRun("no case " + name);
  }
  int const result = found->second(record);
  Deployment::EndAll();
  record.Line("result: %s", result == 1 ? "the rule was broken"
                                        : "the rule held");
  std::fflush(nullptr);
  std::_Exit(result);
}
