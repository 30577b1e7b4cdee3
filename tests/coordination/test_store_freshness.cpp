#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_store_freshness.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

constexpr TimePoint
At(int aMilliseconds)
{
  return kStart + milliseconds{ aMilliseconds };
}

} // namespace

TEST_GROUP(StoreFreshness)
{
  StoreFreshness mFreshness{ "vm-1" };
};

TEST(StoreFreshness, nothing_is_current_without_a_confirmed_position)
{
  CHECK(mFreshness.CurrentAsOf({ 1, 50 }) == TimePoint{});
  CHECK_FALSE(mFreshness.Newest().has_value());
  mFreshness.RecordAnswer({ {}, At(0) });
  CHECK_FALSE(mFreshness.Newest().has_value());
}

TEST(StoreFreshness, state_is_current_as_of_the_last_position_that_it_reached)
{
  mFreshness.RecordAnswer({ { 1, 50 }, At(0) });
  mFreshness.RecordAnswer({ { 1, 60 }, At(800) });
  CHECK(mFreshness.CurrentAsOf({ 1, 49 }) == TimePoint{});
  CHECK(mFreshness.CurrentAsOf({ 1, 50 }) == At(0));
  CHECK(mFreshness.CurrentAsOf({ 1, 59 }) == At(0));
  CHECK(mFreshness.CurrentAsOf({ 1, 60 }) == At(800));
  CHECK(mFreshness.CurrentAsOf({ 1, 70 }) == At(800));
}

TEST(StoreFreshness, a_store_without_changes_keeps_state_current)
{
  for (int call = 0; call < 100; ++call) {
    mFreshness.RecordAnswer({ { 1, 50 }, At(call * 800) });
  }
  CHECK(mFreshness.CurrentAsOf({ 1, 50 }) == At(99 * 800));
}

TEST(StoreFreshness, answers_may_be_recorded_in_any_order)
{
  mFreshness.RecordAnswer({ { 1, 60 }, At(800) });
  mFreshness.RecordAnswer({ { 1, 50 }, At(0) });
  mFreshness.RecordAnswer({ { 1, 55 }, At(400) });
  CHECK(mFreshness.CurrentAsOf({ 1, 52 }) == At(0));
  CHECK(mFreshness.CurrentAsOf({ 1, 57 }) == At(400));
  CHECK(mFreshness.Newest()->mPosition == StorePosition(1, 60));
}

TEST(StoreFreshness, a_position_that_vms_pass_to_each_other_does_not_get_newer)
{
  constexpr milliseconds kDelay{ 40 };
  StoreFreshness other{ "vm-2" };
  mFreshness.RecordAnswer({ { 1, 50 }, At(0) });
  for (int exchange = 0; exchange < 100; ++exchange) {
    auto report = *mFreshness.Newest();
    report.mAt += kDelay;
    other.RecordReport(report);
    report = *other.Newest();
    report.mAt += kDelay;
    mFreshness.RecordReport(report);
  }
  CHECK(mFreshness.CurrentAsOf({ 1, 50 }) == At(0));
  CHECK(other.CurrentAsOf({ 1, 50 }) == At(0) + kDelay);
}

TEST(StoreFreshness, positions_from_before_a_store_rollback_confirm_nothing)
{
  mFreshness.RecordAnswer({ { 1, 90 }, At(0) });
  mFreshness.RecordAnswer({ { 2, 40 }, At(800) });
  mFreshness.RecordReport({ { 1, 95 }, At(1600), 7 });
  CHECK(mFreshness.CurrentAsOf({ 2, 40 }) == At(800));
  CHECK(mFreshness.CurrentAsOf({ 2, 39 }) < At(800));
}

TEST(StoreFreshness, memory_is_bounded)
{
  for (std::uint64_t call = 1; call <= 1000; ++call) {
    mFreshness.RecordAnswer({ { 1, call }, At(static_cast<int>(call) * 100) });
  }
  CHECK(mFreshness.CurrentAsOf({ 1, 1000 }) == At(100'000));
  CHECK(mFreshness.CurrentAsOf({ 1, 900 }) == TimePoint{});
}
