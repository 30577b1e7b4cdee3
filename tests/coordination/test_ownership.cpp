#include "tarragonsill_test.hpp"

#include "support/packet_path.hpp"

#include <map>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

CoreGroup
MakeGroup(unsigned aCores, std::uint64_t aSeed = 1)
{
  ServiceOptions shape;
  shape.mUpstreams = 6;
  CoreGroup::Options options;
  options.mSeed = aSeed;
  CoreGroup group(options, MakeConfiguration(shape));
  for (unsigned index = 0; index < aCores; ++index) {
    group.Add("a");
  }
  return group;
}

/// The cores that may admit work to each thing now, or could after a pause.
std::map<Endpoint, std::vector<std::size_t>>
Holders(CoreGroup& aGroup)
{
  std::map<Endpoint, std::vector<std::size_t>> holders;
  for (std::size_t core = 0; core < aGroup.Count(); ++core) {
    if (!aGroup.At(core).mRunning) {
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
UpstreamsHeld(CoreGroup& aGroup)
{
  std::size_t held = 0;
  for (auto const& [key, cores] : Holders(aGroup)) {
    held += key.mAddress.mValue != 0 ? 1 : 0;
  }
  return held;
}

bool
Exclusive(CoreGroup& aGroup)
{
  for (auto const& [key, cores] : Holders(aGroup)) {
    if (cores.size() > 1) {
      return false;
    }
  }
  return true;
}

} // namespace

TEST_GROUP(Ownership){};

TEST(Ownership, every_upstream_gets_one_owner)
{
  for (unsigned const cores : { 1U, 2U, 3U, 7U }) {
    auto group = MakeGroup(cores);
    CHECK(group.RunUntilServing());
    group.Run(seconds{ 2 }, [&] { CHECK(Exclusive(group)); });
    LONGS_EQUAL(6, UpstreamsHeld(group));
  }
}

TEST(Ownership, a_removed_owner_is_succeeded)
{
  auto group = MakeGroup(3);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Kill(0);
  group.Run(seconds{ 6 }, [&] { CHECK(Exclusive(group)); });
  group.ListRemoved(0);
  group.Run(seconds{ 4 }, [&] { CHECK(Exclusive(group)); });
  LONGS_EQUAL(6, UpstreamsHeld(group));
}

TEST(Ownership, a_paused_owner_that_wakes_up_owns_nothing_at_first)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Pause(0, seconds{ 8 });
  group.Run(seconds{ 6 });
  group.ListRemoved(0); // The platform replaced the VM while it stood still.
  group.Run(seconds{ 5 }, [&] { CHECK(Exclusive(group)); });
  group.Run(seconds{ 10 }, [&] { CHECK(Exclusive(group)); });
  LONGS_EQUAL(6, UpstreamsHeld(group));
}

TEST(Ownership, an_owner_that_resumes_after_a_pause_still_knows_every_flow)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  std::uint32_t opened = 0;
  for (std::uint32_t caller = 0; caller < 200; ++caller) {
    opened += OpenFlow(group, caller % 2, caller) ? 1 : 0;
  }
  group.Run(seconds{ 1 });
  group.Pause(0, milliseconds{ 1500 });
  group.Run(seconds{ 6 });
  std::uint32_t counted = 0;
  for (std::size_t core = 0; core < group.Count(); ++core) {
    for (auto const& openWork : group.At(core).mEngine.OpenWork()) {
      counted += openWork.mWork.mConnections;
    }
  }
  LONGS_EQUAL(opened, counted);
}

TEST(Ownership, a_packet_worker_that_wakes_first_admits_nothing)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Pause(0, seconds{ 8 });
  group.Run(seconds{ 6 });
  group.ListRemoved(0);
  // Runs until the core is awake but its control plane has not run yet.
  for (bool awake = false; !awake;) {
    group.Run(milliseconds{ 10 }, [&] { awake = group.Runs(0); });
  }
  auto const& counters = group.At(0).mCounters;
  auto const before = counters.Value(Counter::FlowsAdmitted);
  for (std::uint32_t caller = 0; caller < 50; ++caller) {
    Follow(group, 0, CallerPacket(caller, TcpFlags::kSyn));
  }
  LONGS_EQUAL(before, counters.Value(Counter::FlowsAdmitted));
  CHECK(counters.Value(Counter::FlowsRefusedNoLease) > 0);
}

TEST(Ownership, a_join_moves_upstreams_without_overlap)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  group.Add("a");
  group.ListLive();
  group.Run(seconds{ 8 }, [&] { CHECK(Exclusive(group)); });
  LONGS_EQUAL(6, UpstreamsHeld(group));
}

TEST(Ownership, a_successor_counts_the_work_of_the_earlier_owner)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  std::map<Endpoint, std::uint32_t> open;
  for (std::uint32_t caller = 0; caller < 300; ++caller) {
    if (auto const upstream = OpenFlow(group, caller % 2, caller)) {
      ++open[*upstream];
    }
    group.Run(milliseconds{ 10 });
  }
  group.Run(seconds{ 2 });
  group.Kill(0);
  group.Run(seconds{ 6 });
  group.ListRemoved(0);
  group.Run(seconds{ 5 });
  for (std::uint32_t caller = 1000; caller < 1800; ++caller) {
    if (auto const upstream = OpenFlow(group, 1, caller)) {
      ++open[*upstream];
    }
  }
  for (auto const& [upstream, count] : open) {
    CHECK(count <= 100);
  }
}
