#include "tarragonsill_test.hpp"

#include "platform/tarragonsill_lab_object_store.hpp"
#include "support/loopback_network.hpp"
#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"
#include "tarragonsill/transport/tarragonsill_store_watch.hpp"

#include <algorithm>
#include <memory>
#include <thread>

using namespace tarragonsill;

namespace {

/// Number of objects whose list needs two pages; a page has at most 50.
constexpr int kTwoPages = 60;

Endpoint
StoreAddress()
{
  return Test::LoopbackNetwork::At(0x0302, 18169);
}

} // namespace

TEST_GROUP(StoreWatch)
{
  std::unique_ptr<Lab::ObjectStore> mStore;
  Counters mCounters;
  PublishedFreshness mFreshness;
  std::unique_ptr<StoreWatch<Platform::ObjectFormat>> mWatch;

  void setup() override
  {
    mStore = Test::TakeOrFail(Lab::ObjectStore::Start(StoreAddress()));
    mWatch = std::make_unique<StoreWatch<Platform::ObjectFormat>>(
      StoreAddress(), ObjectKind::Evacuations, mCounters, mFreshness);
  }

  void teardown() override
  {
    mWatch.reset();
    mStore.reset();
  }

  WatchPollResult PollUntilUpdate()
  {
    constexpr int kMaxPolls = 40;
    WatchPollResult result;
    for (int poll = 0; poll < kMaxPolls && !result.mUpdate; ++poll) {
      result = mWatch->Poll();
    }
    CHECK(result.mUpdate.has_value());
    return result;
  }

  void PutEvacuations(int aCount)
  {
    for (int zone = 0; zone < aCount; ++zone) {
      mStore->Put("evacuations", "zone-" + std::to_string(zone), {});
    }
  }
};

// Guards against review/14: a list does not show what was removed before it.
TEST(StoreWatch, a_list_with_history_has_earlier_removals)
{
  PutEvacuations(3);
  mStore->Remove("evacuations", "zone-1");
  mWatch->SetReadsHistory(true);
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  auto const listed = mStore->Position();
  mStore->Remove("evacuations", "zone-2");
  auto const result = PollUntilUpdate();
  CHECK(result.mUpdate->mIsWholeList);
  CHECK(result.mUpdate->mHasHistory);
  CHECK(result.mUpdate->mUpTo == listed);
  LONGS_EQUAL(3, result.mUpdate->mChanges.size());
  CHECK(result.mUpdate->mChanges.back().mName == "zone-1");
  CHECK(result.mUpdate->mChanges.back().mRemoved);
  // What happened after the list follows.
  auto const next = mWatch->Poll();
  CHECK(next.mUpdate.has_value());
  LONGS_EQUAL(1, next.mUpdate->mChanges.size());
  CHECK(next.mUpdate->mAfter == listed);
}

TEST(StoreWatch, a_list_has_the_history_that_the_store_still_knows)
{
  PutEvacuations(40);
  mStore->Remove("evacuations", "zone-1");
  mStore->CompactHistory();
  for (int zone = 2; zone < 30; ++zone) {
    mStore->Remove("evacuations", "zone-" + std::to_string(zone));
  }
  mWatch->SetReadsHistory(true);
  auto const result = PollUntilUpdate();
  CHECK(result.mUpdate->mHasHistory);
  auto const& changes = result.mUpdate->mChanges;
  LONGS_EQUAL(11 + 28, changes.size());
  LONGS_EQUAL(
    28, std::count_if(changes.begin(), changes.end(), [](auto const& aChange) {
      return aChange.mRemoved;
    }));
}

// Guards against a VM that takes what the store dropped meanwhile for known.
TEST(StoreWatch, a_list_after_a_lost_history_has_none)
{
  PutEvacuations(2);
  mWatch->SetReadsHistory(true);
  CHECK(PollUntilUpdate().mUpdate->mHasHistory);
  mStore->Remove("evacuations", "zone-1");
  PutEvacuations(3);
  mStore->CompactHistory();
  auto const again = PollUntilUpdate();
  CHECK(again.mUpdate->mIsWholeList);
  CHECK_FALSE(again.mUpdate->mHasHistory);
}

TEST(StoreWatch, a_list_without_an_answer_about_its_history_is_complete)
{
  PutEvacuations(2);
  mStore->Remove("evacuations", "zone-1");
  mWatch->SetReadsHistory(true);
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  mStore->SetDown(true);
  auto const result = PollUntilUpdate();
  CHECK(result.mUpdate->mIsWholeList);
  CHECK_FALSE(result.mUpdate->mHasHistory);
  LONGS_EQUAL(1, result.mUpdate->mChanges.size());
}

TEST(StoreWatch, accepts_a_list_from_an_up_to_date_replica)
{
  PutEvacuations(2);
  mWatch->SetMinListPosition(mStore->Position());
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  CHECK(result.mUpdate->mIsWholeList);
  LONGS_EQUAL(2, result.mUpdate->mChanges.size());
}

TEST(StoreWatch, lists_again_without_replicas_if_a_replica_lags)
{
  PutEvacuations(1);
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  PutEvacuations(3);
  mWatch->SetMinListPosition(mStore->Position());
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(3, result.mUpdate->mChanges.size());
}

TEST(StoreWatch, restarts_a_list_if_a_later_page_is_from_an_older_replica)
{
  PutEvacuations(kTwoPages);
  auto const minListPosition = mStore->Position();
  mStore->CaptureStaleReplica();
  mStore->Put("evacuations", "zone-later", {});
  mWatch->SetMinListPosition(minListPosition);
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  // The second page would be older than the position to watch from.
  mStore->ServeStaleReplica(true);
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(kTwoPages + 1, result.mUpdate->mChanges.size());
  CHECK(mStore->Position() == result.mUpdate->mUpTo);
}

TEST(StoreWatch, resuming_a_watch_discards_the_min_list_position)
{
  PutEvacuations(1);
  mWatch->SetMinListPosition(mStore->Position());
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  // A peer relayed all changes up to here, so no list was needed.
  mWatch->ResumeFrom(mStore->Position());
  PutEvacuations(2);
  mStore->CompactHistory();
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(2, result.mUpdate->mChanges.size());
}

TEST(StoreWatch, a_list_without_a_min_list_position_never_comes_from_a_replica)
{
  PutEvacuations(1);
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  PutEvacuations(2);
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(2, result.mUpdate->mChanges.size());
}

TEST(StoreWatch,
     a_watch_does_not_continue_from_a_revision_reused_after_a_rollback)
{
  PutEvacuations(3);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mStore->RollBack(seconds{ 20 });
  // The store's revision passes that of the watch again, so the store does not
  // report that its history is gone.
  PutEvacuations(5);
  auto const afterRollback = mWatch->Poll();
  CHECK(afterRollback.mAnswered);
  CHECK_FALSE(afterRollback.mUpdate.has_value());
  LONGS_EQUAL(2, afterRollback.mEra);
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  CHECK(result.mUpdate->mIsWholeList);
  CHECK(result.mUpdate->mUpTo == mStore->Position());
  LONGS_EQUAL(5, result.mUpdate->mChanges.size());
}

TEST(StoreWatch, a_watch_from_a_revision_lost_in_a_rollback_lists_again)
{
  PutEvacuations(3);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mStore->RollBack(seconds{ 20 });
  auto const afterRollback = mWatch->Poll();
  LONGS_EQUAL(2, afterRollback.mEra);
  CHECK_FALSE(afterRollback.mUpdate.has_value());
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(0, result.mUpdate->mChanges.size());
}

TEST(StoreWatch, rejects_answers_of_a_replica_from_an_older_era)
{
  PutEvacuations(3);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mStore->CaptureStaleReplica();
  mStore->RollBack(seconds{ 20 });
  mWatch->ObserveEra(mStore->Position().mEra);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mStore->ServeStaleReplica(true);
  mWatch->SetWait(milliseconds{ 20 });
  auto const staleResult = mWatch->Poll();
  CHECK_FALSE(staleResult.mAnswered);
  CHECK_FALSE(staleResult.mUpdate.has_value());
  // The next call requests an answer that must be current.
  PutEvacuations(1);
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(1, result.mUpdate->mChanges.size());
}

TEST(StoreWatch, all_pages_of_a_list_come_from_the_same_era)
{
  PutEvacuations(kTwoPages);
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  mStore->RollBack(milliseconds{ 0 });
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(2, result.mUpdate->mUpTo.mEra);
  for (auto const& change : result.mUpdate->mChanges) {
    LONGS_EQUAL(2, change.mPosition.mEra);
  }
}

TEST(StoreWatch, uses_era_zero_if_the_store_sends_no_era)
{
  mStore->OmitEra();
  PutEvacuations(2);
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(0, result.mEra);
  LONGS_EQUAL(0, result.mUpdate->mUpTo.mEra);
}

TEST(StoreWatch, a_refused_call_reports_a_new_era)
{
  PutEvacuations(1);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mStore->RollBack(milliseconds{ 0 });
  mStore->SetDown(true);
  auto const refusedResult = mWatch->Poll();
  CHECK_FALSE(refusedResult.mAnswered);
  LONGS_EQUAL(2, refusedResult.mEra);
  mStore->SetDown(false);
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  CHECK(result.mUpdate->mIsWholeList);
}

TEST(StoreWatch, a_list_continues_after_a_name_with_reserved_characters)
{
  // Guards against a name of another writer that ends the query of the next
  // page, so that the pages after it are never read.
  constexpr int kFirstPage = 50;
  PutEvacuations(kFirstPage - 1);
  mStore->Put("evacuations", "zone-z &watch=9#%41+", {});
  mStore->Put("evacuations", "zone-zz", {});
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  LONGS_EQUAL(kFirstPage + 1, result.mUpdate->mChanges.size());
  STRCMP_EQUAL("zone-zz", result.mUpdate->mChanges.back().mName.c_str());
}

TEST(StoreWatch, a_list_without_a_name_to_continue_after_is_not_complete)
{
  // Guards against upstreams of later pages that count as removed because no
  // name of a page can be read.
  for (int object = 0; object < kTwoPages; ++object) {
    mStore->PutNameless("evacuations", "zone-" + std::to_string(object));
  }
  auto const result = mWatch->Poll();
  CHECK_FALSE(result.mAnswered);
  CHECK_FALSE(result.mUpdate.has_value());
}

TEST(StoreWatch, a_watch_of_a_lagging_replica_gets_changes_in_bounded_time)
{
  // Guards against drains that take effect as late as a replica lags: an answer
  // that is allowed to be stale says nothing about its age.
  PutEvacuations(1);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  mWatch->SetWait(milliseconds{ 20 });
  mWatch->SetConfirmAfter(milliseconds{ 40 });
  PutEvacuations(2);
  std::size_t changes = 0;
  std::optional<ConfirmedPosition> confirmed;
  for (int call = 0; call < 10 && changes == 0; ++call) {
    auto const result = mWatch->Poll();
    CHECK(result.mAnswered);
    changes += result.mUpdate ? result.mUpdate->mChanges.size() : 0;
    confirmed = result.mConfirmed;
  }
  LONGS_EQUAL(1, changes);
  CHECK(confirmed.has_value());
  CHECK(confirmed->mPosition == mStore->Position());
}

TEST(StoreWatch, a_watch_is_confirmed_only_when_its_position_is_old)
{
  PutEvacuations(1);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mWatch->SetWait(milliseconds{ 5 });
  mWatch->SetConfirmAfter(seconds{ 60 });
  for (int call = 0; call < 5; ++call) {
    CHECK_FALSE(mWatch->Poll().mIsConfirmation);
  }
  mWatch->SetConfirmAfter(milliseconds{ 0 });
  CHECK(mWatch->Poll().mIsConfirmation);
  LONGS_EQUAL(1, mCounters.Value(Counter::StoreConfirmations));
}

TEST(StoreWatch, positions_that_other_calls_confirmed_need_no_confirmation)
{
  PutEvacuations(1);
  CHECK(mWatch->Poll().mUpdate.has_value());
  mWatch->SetWait(milliseconds{ 5 });
  mWatch->SetConfirmAfter(milliseconds{ 40 });
  std::this_thread::sleep_for(milliseconds{ 50 });
  StoreFreshness known{ "vm-2" };
  known.RecordAnswer({ mStore->Position(), Clock::now() });
  mFreshness.Publish(known);
  CHECK_FALSE(mWatch->Poll().mIsConfirmation);
}

TEST(StoreWatch, a_replica_without_the_position_is_not_asked_again_at_once)
{
  // Otherwise the watch would alternate between lists and replicas that answer
  // that their history is gone, without any pause.
  PutEvacuations(1);
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  PutEvacuations(2);
  mWatch->SetWait(milliseconds{ 50 });
  CHECK(mWatch->Poll().mUpdate.has_value());
  CHECK_FALSE(mWatch->Poll().mUpdate.has_value());
  CHECK(mWatch->Poll().mUpdate->mIsWholeList);
  auto const before = Clock::now();
  auto const result = mWatch->Poll();
  CHECK(result.mUpdate.has_value());
  CHECK_FALSE(result.mUpdate->mIsWholeList);
  CHECK(Clock::now() - before >= milliseconds{ 50 });
}
