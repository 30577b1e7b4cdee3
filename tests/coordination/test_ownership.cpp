#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <map>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

CoreGroup
MakeGroup(unsigned aCores, std::uint64_t aSeed = 1)
{
  ServiceOptions serviceOptions;
  serviceOptions.mUpstreams = 6;
  CoreGroup::Options options;
  options.mSeed = aSeed;
  CoreGroup group(options, MakeConfiguration(serviceOptions));
  for (unsigned index = 0; index < aCores; ++index) {
    group.Add("a");
  }
  return group;
}

/// The cores with an unexpired lease of each resource. Paused cores count: they
/// could admit work when they resume.
std::map<Endpoint, std::vector<std::size_t>>
HoldersByResource(CoreGroup& aGroup)
{
  std::map<Endpoint, std::vector<std::size_t>> holders;
  for (std::size_t core = 0; core < aGroup.Count(); ++core) {
    if (!aGroup.At(core).mAlive) {
      continue;
    }
    for (auto const& lease : aGroup.LeasesOf(core)) {
      if (lease.mUntil > aGroup.Now()) {
        holders[lease.mUpstream].push_back(core);
      }
    }
  }
  return holders;
}

std::size_t
OwnedUpstreamCount(CoreGroup& aGroup)
{
  std::size_t count = 0;
  for (auto const& [key, cores] : HoldersByResource(aGroup)) {
    count += key.mAddress.mValue != 0 ? 1 : 0;
  }
  return count;
}

bool
IsOwnershipExclusive(CoreGroup& aGroup)
{
  for (auto const& [key, cores] : HoldersByResource(aGroup)) {
    if (cores.size() > 1) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_GROUP(Ownership){};

TEST(Ownership, every_upstream_has_exactly_one_owner)
{
  for (unsigned const cores : { 1U, 2U, 3U, 7U }) {
    auto group = MakeGroup(cores);
    CHECK(group.RunUntilServing());
    group.Run(seconds{ 2 }, [&] { CHECK(IsOwnershipExclusive(group)); });
    LONGS_EQUAL(6, OwnedUpstreamCount(group));
  }
}

TEST(Ownership, ownership_moves_when_the_owner_is_removed)
{
  auto group = MakeGroup(3);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Kill(0);
  group.Run(seconds{ 6 }, [&] { CHECK(IsOwnershipExclusive(group)); });
  group.ReportRemovedVm(0);
  group.Run(seconds{ 4 }, [&] { CHECK(IsOwnershipExclusive(group)); });
  LONGS_EQUAL(6, OwnedUpstreamCount(group));
}

TEST(Ownership,
     an_owner_that_was_replaced_during_a_pause_owns_nothing_when_it_resumes)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Pause(0, seconds{ 8 });
  group.Run(seconds{ 6 });
  // The platform replaced the VM while it was paused.
  group.ReportRemovedVm(0);
  group.Run(seconds{ 5 }, [&] { CHECK(IsOwnershipExclusive(group)); });
  group.Run(seconds{ 10 }, [&] { CHECK(IsOwnershipExclusive(group)); });
  LONGS_EQUAL(6, OwnedUpstreamCount(group));
}

TEST(Ownership, an_owner_still_counts_every_flow_after_a_pause)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  std::uint32_t openedFlows = 0;
  for (std::uint32_t caller = 0; caller < 200; ++caller) {
    openedFlows += OpenFlow(group, caller % 2, caller) ? 1 : 0;
  }
  group.Run(seconds{ 1 });
  group.Pause(0, milliseconds{ 1500 });
  group.Run(seconds{ 6 });
  std::uint32_t countedFlows = 0;
  for (std::size_t core = 0; core < group.Count(); ++core) {
    for (auto const& openWork : group.At(core).mEngine.OpenWork()) {
      countedFlows += openWork.mWork.mConnections;
    }
  }
  LONGS_EQUAL(openedFlows, countedFlows);
}

TEST(Ownership,
     a_packet_worker_that_resumes_before_its_control_plane_admits_nothing)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Pause(0, seconds{ 8 });
  group.Run(seconds{ 6 });
  group.ReportRemovedVm(0);
  // Runs until the core has resumed but its control plane has not run yet.
  for (bool resumed = false; !resumed;) {
    group.Run(milliseconds{ 10 }, [&] { resumed = group.IsRunning(0); });
  }
  auto const& counters = group.At(0).mCounters;
  auto const before = counters.Value(Counter::FlowsAdmitted);
  for (std::uint32_t caller = 0; caller < 50; ++caller) {
    FollowPacket(group, 0, CallerPacket(caller, TcpFlags::kSyn));
  }
  LONGS_EQUAL(before, counters.Value(Counter::FlowsAdmitted));
  CHECK(counters.Value(Counter::FlowsRefusedNoLease) > 0);
}

TEST(Ownership, a_join_moves_upstreams_without_overlapping_ownership)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Add("a");
  group.ReportLiveVms();
  group.Run(seconds{ 8 }, [&] { CHECK(IsOwnershipExclusive(group)); });
  LONGS_EQUAL(6, OwnedUpstreamCount(group));
}

TEST(Ownership, a_successor_counts_the_open_work_of_the_earlier_owner)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  std::map<Endpoint, std::uint32_t> openFlows;
  for (std::uint32_t caller = 0; caller < 300; ++caller) {
    if (auto const upstream = OpenFlow(group, caller % 2, caller)) {
      ++openFlows[*upstream];
    }
    group.Run(milliseconds{ 10 });
  }
  group.Run(seconds{ 2 });
  group.Kill(0);
  group.Run(seconds{ 6 });
  group.ReportRemovedVm(0);
  group.Run(seconds{ 5 });
  for (std::uint32_t caller = 1000; caller < 1800; ++caller) {
    if (auto const upstream = OpenFlow(group, 1, caller)) {
      ++openFlows[*upstream];
    }
  }
  for (auto const& [upstream, openCount] : openFlows) {
    CHECK(openCount <= 100);
  }
}
