#include "tarragonsill_test.hpp"

#include "platform/tarragonsill_lab_flow_callers.hpp"
#include "platform/tarragonsill_lab_object_store.hpp"
#include "platform/tarragonsill_lab_platform_upstreams.hpp"
#include "tarragonsill/transport/tarragonsill_node_daemon.hpp"

#include <memory>
#include <thread>

using namespace tarragonsill;

namespace {

constexpr std::uint16_t kPacketPort = 18172;
constexpr Endpoint kStore{ { 0x7F170001 }, 18169 };
constexpr Endpoint kCallers{ { 0x7F150001 }, kPacketPort };
constexpr Endpoint kRoute{ { 0xC6120001 }, 443 };
constexpr Endpoint kOtherRoute{ { 0xC6120002 }, 443 };
constexpr int kFlows = 60;

Endpoint
VmAddress(std::size_t aIndex, std::uint16_t aPort)
{
  return { { 0x7F140001 + static_cast<std::uint32_t>(aIndex) }, aPort };
}

std::string
UpstreamName(std::size_t aIndex)
{
  return "i-00a" + std::to_string(aIndex);
}

} // namespace

/// Whole entry VMs between stand-ins of the operators' platform, on loopback.
TEST_GROUP(NodeRuns)
{
  std::unique_ptr<Lab::ObjectStore> mStore;
  std::vector<std::unique_ptr<NodeDaemon>> mVms;
  std::vector<Lab::PlatformUpstream> mHosts;
  std::unique_ptr<Lab::FlowCallers> mCallers;

  void setup() override
  {
    mStore = Lab::ObjectStore::Start(kStore).Take();
    Configure(1, true);
    mCallers = std::make_unique<Lab::FlowCallers>(
      Lab::FlowCallers::Start(kCallers).Take());
    for (std::size_t index = 0; index < 4; ++index) {
      AddHost(index);
    }
    mVms.resize(3);
    for (std::size_t index = 0; index < mVms.size(); ++index) {
      StartVm(index);
    }
    Rotate({ 0, 1, 2 });
    Run(milliseconds{ 500 });
    for (int flow = 0; flow < kFlows; ++flow) {
      mCallers->Open(Clock::now(), kRoute);
    }
    Run(milliseconds{ 700 });
    LONGS_EQUAL(kFlows, mCallers->Report().mOpened);
  }

  void teardown() override
  {
    mVms.clear();
    mStore.reset();
  }

  void Configure(int aVersion, bool aHasRoute)
  {
    auto routes = nlohmann::json::array();
    routes.push_back({ { "name", "other" },
                       { "host", "198.18.0.2" },
                       { "pathPrefix", "/443/" },
                       { "type", "safe" },
                       { "service", "svc" } });
    if (aHasRoute) {
      routes.push_back({ { "name", "main" },
                         { "host", "198.18.0.1" },
                         { "pathPrefix", "/443/" },
                         { "type", "safe" },
                         { "service", "svc" } });
    }
    mStore->Put(
      "config",
      "main",
      { { "version", aVersion },
        { "routes", routes },
        { "services",
          { { { "name", "svc" }, { "coldS", 2.0 }, { "coldRateS", 2.0 } } } },
        { "limits", { { "idleTimeoutMs", 15000 } } } });
  }

  void Register(std::size_t aIndex, char const* aState)
  {
    Endpoint const address{ { 0x7F160001 + static_cast<std::uint32_t>(aIndex) },
                            18080 };
    mStore->Put("servers",
                UpstreamName(aIndex),
                { { "service", "svc" },
                  { "address", ToText(address) },
                  { "zone", aIndex % 2 == 0 ? "a" : "b" },
                  { "slots", 4 },
                  { "state", aState },
                  { "coldLeftMs", 0 },
                  { "seq", 1 },
                  { "born", 1796000000000 } });
  }

  void AddHost(std::size_t aIndex)
  {
    Endpoint const address{ { 0x7F160001 + static_cast<std::uint32_t>(aIndex) },
                            18080 };
    auto const identity = 0xA0 + aIndex;
    mHosts.push_back(
      Lab::PlatformUpstream::Start(address, identity, kPacketPort).Take());
    Register(aIndex, "ready");
  }

  void StartVm(std::size_t aIndex)
  {
    NodeSettings settings;
    settings.mName = "vm-" + std::to_string(aIndex);
    settings.mZone = aIndex < 2 ? "a" : "b";
    settings.mZones = { "a", "b" };
    settings.mPackets = VmAddress(aIndex, kPacketPort);
    settings.mReadiness = VmAddress(aIndex, 18167);
    settings.mPeers = VmAddress(aIndex, 17720);
    settings.mMetrics = VmAddress(aIndex, 17721);
    settings.mKnowledge = VmAddress(aIndex, 17722);
    settings.mSeeds = { VmAddress(0, 17720), VmAddress(1, 17720) };
    settings.mStore = kStore;
    auto vm = NodeDaemon::Start(settings);
    CHECK(vm.HasValue());
    mVms[aIndex] = vm.Take();
  }

  void Rotate(std::vector<std::size_t> const& aVms)
  {
    std::vector<Endpoint> addresses;
    for (auto const index : aVms) {
      addresses.push_back(VmAddress(index, kPacketPort));
    }
    mCallers->SetRotation(addresses);
  }

  void Run(milliseconds aTime)
  {
    auto const end = Clock::now() + aTime;
    while (Clock::now() < end) {
      mCallers->Poll(Clock::now());
      for (auto& host : mHosts) {
        host.Poll();
      }
    }
  }

  void CheckNothingBroke()
  {
    auto const& report = mCallers->Report();
    LONGS_EQUAL(0, report.mResets);
    LONGS_EQUAL(0, report.mStalled);
    LONGS_EQUAL(kFlows, report.mOpened);
  }
};

TEST(NodeRuns, flows_survive_the_kill_and_restart_of_every_vm)
{
  auto const before = mCallers->Report().mAnswers;
  mVms.clear();
  mVms.resize(3);
  Run(milliseconds{ 300 });
  for (std::size_t index = 0; index < mVms.size(); ++index) {
    StartVm(index);
  }
  Run(milliseconds{ 2500 });
  CheckNothingBroke();
  CHECK(mCallers->Report().mAnswers > before + kFlows);
}

TEST(NodeRuns, flows_survive_a_rolling_restart_and_another_hash_each_time)
{
  std::vector<std::vector<std::size_t>> const others = { { 1, 2 },
                                                         { 0, 2 },
                                                         { 0, 1 } };
  for (std::size_t index = 0; index < mVms.size(); ++index) {
    Rotate(others[index]);
    mVms[index].reset();
    Run(milliseconds{ 400 });
    StartVm(index);
    Run(milliseconds{ 300 });
    Rotate({ 0, 1, 2 });
    Run(milliseconds{ 300 });
  }
  CheckNothingBroke();
}

TEST(NodeRuns, a_removed_route_ends_its_flows_and_takes_no_new_ones)
{
  Configure(2, false);
  Run(milliseconds{ 1500 });
  LONGS_EQUAL(kFlows, mCallers->Report().mResets);
  for (int flow = 0; flow < 10; ++flow) {
    mCallers->Open(Clock::now(), kRoute);
    mCallers->Open(Clock::now(), kOtherRoute);
  }
  Run(milliseconds{ 700 });
  LONGS_EQUAL(10, mCallers->Report().mRefused);
  LONGS_EQUAL(kFlows + 10, mCallers->Report().mOpened);
}

TEST(NodeRuns, a_draining_upstream_keeps_its_flows_and_gets_no_new_ones)
{
  Register(0, "draining");
  Run(milliseconds{ 600 });
  auto const before = mHosts[0].OpenedFlows();
  CHECK(before > 0);
  for (int flow = 0; flow < 40; ++flow) {
    mCallers->Open(Clock::now(), kRoute);
  }
  Run(milliseconds{ 700 });
  LONGS_EQUAL(before, mHosts[0].OpenedFlows());
  LONGS_EQUAL(0, mCallers->Report().mResets);
  LONGS_EQUAL(kFlows + 40, mCallers->Report().mOpened);
}

TEST(NodeRuns, a_vm_that_starts_while_the_store_is_down_learns_from_its_peers)
{
  Run(milliseconds{ 1000 });
  mStore->SetDown(true);
  mVms[1].reset();
  StartVm(1);
  Run(milliseconds{ 2500 });
  // Every flow passes the VM that was never told anything by the store.
  Rotate({ 1 });
  for (int flow = 0; flow < 20; ++flow) {
    mCallers->Open(Clock::now(), kOtherRoute);
  }
  Run(milliseconds{ 1000 });
  LONGS_EQUAL(kFlows + 20, mCallers->Report().mOpened);
  LONGS_EQUAL(0, mCallers->Report().mResets);
  LONGS_EQUAL(0, mCallers->Report().mStalled);
}

TEST(NodeRuns, a_lost_history_is_followed_by_a_new_list)
{
  mStore->CompactHistory();
  Register(0, "draining");
  Run(milliseconds{ 1500 });
  auto const before = mHosts[0].OpenedFlows();
  for (int flow = 0; flow < 20; ++flow) {
    mCallers->Open(Clock::now(), kRoute);
  }
  Run(milliseconds{ 700 });
  LONGS_EQUAL(before, mHosts[0].OpenedFlows());
}

TEST(NodeRuns, flows_of_an_upstream_that_crashed_are_given_up_together)
{
  auto const lost = mHosts[0].OpenedFlows();
  mHosts[0].Crash();
  // The first repeated data raises a doubt, a refused connection proves it.
  Run(milliseconds{ 900 });
  LONGS_EQUAL(lost, mCallers->Report().mResets);
}

TEST(NodeRuns, flows_of_an_upstream_that_fell_silent_are_given_up)
{
  mHosts[0].SetSilent(true);
  auto const lost = mHosts[0].OpenedFlows();
  Run(milliseconds{ 2500 });
  LONGS_EQUAL(lost, mCallers->Report().mResets);
  LONGS_EQUAL(0, mCallers->Report().mStalled);
}
