#include "tarragonsill_test.hpp"

#include "support/core_group.hpp"

using namespace tarragonsill;
using Test::CoreGroup;

namespace {

CoreGroup
MakeGroup(unsigned aCount, double aLoss = 0)
{
  CoreGroup::Options options;
  options.mLoss = aLoss;
  CoreGroup group(options, Test::MakeConfiguration({}));
  for (unsigned index = 0; index < aCount; ++index) {
    group.Add("a");
  }
  return group;
}

MemberHealth
HealthAt(CoreGroup& aGroup, std::size_t aObserver, std::size_t aTarget)
{
  auto const name = aGroup.At(aTarget).mControlPlane.Members().Self().mName;
  return aGroup.At(aObserver).mControlPlane.Members().Find(name)->mHealth;
}

} // namespace

TEST_GROUP(Membership){};

TEST(Membership, every_peer_marks_a_killed_member_as_failed_within_six_seconds)
{
  auto group = MakeGroup(7);
  CHECK(group.RunUntilServing());
  group.Kill(3);
  group.Run(seconds{ 6 });
  for (std::size_t observer = 0; observer < group.Count(); ++observer) {
    if (observer == 3) {
      continue;
    }
    CHECK(HealthAt(group, observer, 3) == MemberHealth::Failed);
  }
}

TEST(Membership,
     a_member_refutes_suspicion_after_a_short_pause_under_packet_loss)
{
  auto group = MakeGroup(7, 0.05);
  CHECK(group.RunUntilServing());
  group.Pause(2, milliseconds{ 700 });
  group.Run(seconds{ 10 });
  for (std::size_t observer = 0; observer < group.Count(); ++observer) {
    if (observer == 2) {
      continue;
    }
    CHECK(HealthAt(group, observer, 2) <= MemberHealth::Suspect);
  }
}

TEST(Membership, members_are_alive_again_after_a_network_partition_heals)
{
  auto group = MakeGroup(2);
  CHECK(group.RunUntilServing());
  group.SetLinkCut(0, 1, true);
  group.Run(seconds{ 6 });
  CHECK(HealthAt(group, 0, 1) == MemberHealth::Failed);
  group.SetLinkCut(0, 1, false);
  group.Run(seconds{ 6 });
  CHECK(HealthAt(group, 0, 1) == MemberHealth::Alive);
  CHECK(HealthAt(group, 1, 0) == MemberHealth::Alive);
}

TEST(Membership,
     a_member_that_answers_stays_alive_when_the_platform_lists_it_as_removed)
{
  auto group = MakeGroup(3);
  CHECK(group.RunUntilServing());
  group.ReportRemovedVm(1);
  group.Run(seconds{ 1 });
  CHECK(HealthAt(group, 0, 1) == MemberHealth::Alive);
}

TEST(Membership, a_restarted_member_has_a_new_incarnation)
{
  auto group = MakeGroup(3);
  CHECK(group.RunUntilServing());
  group.Kill(1);
  group.Run(seconds{ 6 });
  group.ReportRemovedVm(1);
  CHECK(HealthAt(group, 0, 1) == MemberHealth::Gone);
  group.Restart(1);
  CHECK(group.RunUntilServing());
  group.Run(seconds{ 2 });
  CHECK(HealthAt(group, 0, 1) == MemberHealth::Alive);
  LONGS_EQUAL(2,
              group.At(0)
                .mControlPlane.Members()
                .Find(group.At(1).mControlPlane.Members().Self().mName)
                ->mIncarnation);
}

TEST(Membership, control_traffic_stays_within_its_target_for_any_group_size)
{
  constexpr double kTargetBytesPerSecond = 3 * 1024;
  for (unsigned const size : { 2U, 7U, 20U }) {
    auto group = MakeGroup(size);
    CHECK(group.RunUntilServing());
    std::vector<std::uint64_t> before;
    for (std::size_t index = 0; index < group.Count(); ++index) {
      before.push_back(group.BytesSent(index));
    }
    group.Run(seconds{ 10 });
    for (std::size_t index = 0; index < group.Count(); ++index) {
      auto const bytes =
        static_cast<double>(group.BytesSent(index) - before[index]);
      CHECK(bytes / 10 <= kTargetBytesPerSecond);
    }
  }
}
