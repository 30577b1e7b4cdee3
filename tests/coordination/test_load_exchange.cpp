#include "tarragonsill_test.hpp"

#include "support/load_exchange_group.hpp"

#include <algorithm>
#include <memory>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

constexpr std::size_t kVms = 17;
constexpr std::size_t kUpstreams = 38;
constexpr seconds kWarmUp{ 3 };

double
BytesPerSecond(std::size_t aBytes, seconds aTime)
{
  return static_cast<double>(aBytes) / static_cast<double>(aTime.count());
}

/// A report about the first shard.
LoadReport
ReportOf(std::uint32_t aSequence)
{
  LoadReport report;
  report.mSequence = aSequence;
  return report;
}

} // namespace

/// The pattern: a zone of 17 VMs with 38 upstreams, of which each VM sees half
/// an answer a second.
TEST_GROUP(LoadExchange)
{
  std::unique_ptr<LoadExchangeGroup> mGroup =
    std::make_unique<LoadExchangeGroup>(kVms, kUpstreams);
  LoadExchangeGroup& mZone = *mGroup;

  /// The oldest observation in use at any VM.
  milliseconds MaxAge() const
  {
    auto oldest = mZone.mNow;
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      for (auto const& [process, load] : mZone.LoadsAt(vm).mByProcess) {
        oldest = std::min(oldest, load.mAsOf);
      }
    }
    return std::chrono::duration_cast<milliseconds>(mZone.mNow - oldest);
  }

  std::uint32_t MinReporters() const
  {
    auto reporters = static_cast<std::uint32_t>(kVms);
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      if (mZone.mVms[vm]) {
        reporters = std::min(reporters, mZone.LoadsAt(vm).mReporters);
      }
    }
    return reporters;
  }
};

TEST(LoadExchange, a_change_of_load_is_known_to_all_after_about_a_second)
{
  mZone.Run(kWarmUp);
  CHECK(mZone.AllKnowAll());
  LONGS_EQUAL(kVms - 1, MinReporters());
  mZone.mFlows[3][5] = 40;
  mZone.mFlows[9][20] = 0;
  mZone.Run(milliseconds{ 1100 });
  CHECK(mZone.AllKnowAll());
  milliseconds maxAge{ 0 };
  mZone.Run(seconds{ 2 }, [&] { maxAge = std::max(maxAge, MaxAge()); });
  CHECK(maxAge <= milliseconds{ 1100 });
}

TEST(LoadExchange, the_speed_of_an_upstream_is_known_to_vms_that_never_saw_it)
{
  mZone.mRelativeTimes = { 0.5, 1.7 };
  mZone.mFlows[4][0] = 0;
  mZone.Run(seconds{ 10 });
  auto loads = mZone.LoadsAt(4);
  auto const& fast = loads.mByProcess[mZone.mUpstreams[0]];
  DOUBLES_EQUAL(0.5, fast.mRelativeTime, 0.02);
  // An answer in half a second from each of 16 VMs, over about four seconds.
  CHECK(fast.mAnswers > 100.0);
  DOUBLES_EQUAL(1.7, loads.mByProcess[mZone.mUpstreams[1]].mRelativeTime, 0.02);
}

TEST(LoadExchange, reports_survive_the_loss_of_a_fifth_of_the_messages)
{
  std::mt19937_64 random(3);
  std::bernoulli_distribution isLost(0.2);
  mZone.mIsLost = [&](std::size_t, std::size_t) { return isLost(random); };
  mZone.Run(kWarmUp);
  std::size_t withReports = 0;
  std::size_t checks = 0;
  mZone.Run(seconds{ 20 }, [&] {
    for (std::size_t vm = 0; vm < kVms; ++vm) {
      ++checks;
      withReports += mZone.LoadsAt(vm).mReporters > 0 ? 1 : 0;
    }
  });
  // A VM falls back for a moment if many messages in a row are lost.
  CHECK(withReports * 20 >= checks * 19);
  mZone.mIsLost = [](std::size_t, std::size_t) { return false; };
  mZone.Run(seconds{ 6 });
  CHECK(mZone.AllKnowAll());
}

TEST(LoadExchange, late_and_reordered_reports_do_not_bring_back_an_old_load)
{
  mZone.mMaxDelay = milliseconds{ 900 };
  mZone.Run(kWarmUp);
  for (std::size_t vm = 0; vm < kVms; ++vm) {
    mZone.mFlows[vm][7] = 30;
  }
  mZone.Run(seconds{ 4 });
  mZone.Run(seconds{ 3 }, [&] { CHECK(mZone.AllKnowAll()); });
}

TEST(LoadExchange, the_reports_of_a_dead_collector_are_replaced_in_time)
{
  mZone.Run(kWarmUp);
  mZone.Kill(mZone.CollectorOf(0));
  // Nobody is told, so that each VM finds out by itself.
  mZone.Run(seconds{ 6 }, [&] { CHECK(MinReporters() > 0); });
  CHECK(mZone.AllKnowAll());
}

TEST(LoadExchange, a_collector_that_starts_again_is_used_again)
{
  mZone.Run(kWarmUp);
  auto const collector = mZone.CollectorOf(1);
  mZone.Kill(collector);
  mZone.Run(milliseconds{ 800 });
  mZone.Restart(collector);
  mZone.Run(seconds{ 5 });
  CHECK(mZone.AllKnowAll());
  LONGS_EQUAL(kVms - 1, MinReporters());
}

TEST(LoadExchange, an_upstream_that_starts_again_begins_anew)
{
  mZone.Run(kWarmUp);
  auto const before = mZone.mUpstreams[6];
  mZone.mUpstreams[6] = before + 1;
  mZone.mRelativeTimes.assign(kUpstreams, 1.0);
  mZone.mRelativeTimes[6] = 2.0;
  mZone.Run(milliseconds{ 1100 });
  auto loads = mZone.LoadsAt(0);
  LONGS_EQUAL(0, loads.mByProcess[before].mFlows);
  LONGS_EQUAL(kVms - 1, loads.mByProcess[before + 1].mFlows);
  DOUBLES_EQUAL(2.0, loads.mByProcess[before + 1].mRelativeTime, 0.02);
}

TEST(LoadExchange, a_vm_that_is_cut_off_falls_back_on_what_it_sees_itself)
{
  mZone.Run(kWarmUp);
  mZone.mIsLost = [](std::size_t aFrom, std::size_t aTo) {
    return aFrom == 2 || aTo == 2;
  };
  mZone.Run(seconds{ 6 });
  LONGS_EQUAL(0, mZone.LoadsAt(2).mReporters);
  CHECK(mZone.LoadsAt(2).mByProcess.empty());
  LONGS_EQUAL(kVms - 2, mZone.LoadsAt(0).mReporters);
  mZone.mIsLost = [](std::size_t, std::size_t) { return false; };
  mZone.Run(seconds{ 15 });
  CHECK(mZone.KnowsAll(2));
}

TEST(LoadExchange, new_programs_know_each_other_beside_old_ones)
{
  // Half of the VMs, with the first collectors, neither send nor read reports.
  for (std::uint32_t shard = 0; shard < LoadExchange::kShards; ++shard) {
    mZone.Kill(mZone.CollectorOf(shard));
  }
  for (std::size_t vm = 0; vm < kVms; vm += 3) {
    mZone.Kill(vm);
  }
  mZone.Run(seconds{ 30 });
  CHECK(mZone.AllKnowAll());
  mZone.Run(seconds{ 60 }, [&] { CHECK(MinReporters() > 0); });
}

TEST(LoadExchange, zones_of_two_vms_exchange_nothing)
{
  LoadExchangeGroup zone(2, kUpstreams);
  zone.Run(seconds{ 5 });
  LONGS_EQUAL(0, zone.mMessages[0] + zone.mMessages[1]);
  LONGS_EQUAL(0, zone.LoadsAt(0).mReporters);
}

TEST(LoadExchange, the_bytes_of_a_vm_stay_within_the_budget)
{
  constexpr seconds kTime{ 20 };
  for (auto const& [vms, upstreams] : { std::pair(3, 20),
                                        std::pair(17, 38),
                                        std::pair(24, 60),
                                        std::pair(75, 250) }) {
    LoadExchangeGroup zone(vms, upstreams);
    zone.Run(kWarmUp);
    std::fill(zone.mBytes.begin(), zone.mBytes.end(), 0);
    zone.Run(kTime);
    std::size_t sum = 0;
    std::size_t max = 0;
    for (auto const bytes : zone.mBytes) {
      sum += bytes;
      max = std::max(max, bytes);
    }
    auto const count = static_cast<std::size_t>(vms);
    CHECK(BytesPerSecond(sum / count, kTime) <= 3072.0);
    CHECK(BytesPerSecond(max, kTime) <= 12.0 * 1024);
    CHECK(sum > 0);
  }
}

TEST(LoadExchange, with_far_too_many_upstreams_nothing_is_exchanged)
{
  LoadExchangeGroup zone(30, 3000);
  zone.Run(seconds{ 4 });
  LONGS_EQUAL(0, zone.mMessages[0]);
  LONGS_EQUAL(0, zone.LoadsAt(0).mReporters);
}

TEST(LoadExchange, a_group_stands_for_the_zone_by_its_number_of_vms)
{
  LoadExchangeGroup zone(100, 20);
  zone.Run(seconds{ 4 });
  auto loads = zone.LoadsAt(0);
  CHECK(loads.mReporters < LoadExchange::kMaxGroup);
  // Each VM has one flow at each upstream.
  DOUBLES_EQUAL(99.0, loads.mByProcess[zone.mUpstreams[0]].mFlows, 1e-6);
}

TEST(LoadExchange, malformed_and_exaggerated_reports_are_bounded)
{
  wire::LoadReport message;
  message.add_process(1);
  CHECK_FALSE(ReadLoadReport(message));
  message.add_flows(4'000'000'000);
  message.add_in_progress(4'000'000'000);
  message.add_answers(4'000'000'000);
  message.add_relative_time(0);
  auto const report = ReadLoadReport(message).Take();
  CHECK(report.mLoads[0].mFlows <= 1e6);
  CHECK(report.mLoads[0].mRelativeTime > 0.0);
  for (std::size_t count = 0; count < kMaxReportedLoads; ++count) {
    message.add_process(1);
    message.add_flows(1);
    message.add_in_progress(1);
    message.add_answers(1);
    message.add_relative_time(100);
  }
  CHECK_FALSE(ReadLoadReport(message));
  LoadExchange vm({ 1, 1 });
  vm.SetServingVms({ 1, 2, 3 });
  auto unknownShard = report;
  unknownShard.mShard = LoadExchange::kShards;
  CHECK_FALSE(vm.Handle(mZone.mNow, { 2, 1 }, unknownShard));
  CHECK(vm.Handle(mZone.mNow, { 2, 1 }, ReportOf(7)).has_value());
  // Repeated, overtaken, or from a former process.
  CHECK_FALSE(vm.Handle(mZone.mNow, { 2, 1 }, ReportOf(7)));
  CHECK_FALSE(vm.Handle(mZone.mNow, { 2, 0 }, ReportOf(8)));
  CHECK(vm.Handle(mZone.mNow, { 2, 2 }, ReportOf(1)).has_value());
}
