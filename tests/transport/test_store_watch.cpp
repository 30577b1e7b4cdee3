#include "tarragonsill_test.hpp"

#include "platform/tarragonsill_lab_object_store.hpp"
#include "tarragonsill/platform/tarragonsill_platform_objects.hpp"
#include "tarragonsill/transport/tarragonsill_store_watch.hpp"

#include <memory>

using namespace tarragonsill;

namespace {

constexpr Endpoint kStore{ { 0x7F170002 }, 18169 };
/// The stand-in hands out lists in pages of fifty.
constexpr int kTwoPages = 60;

} // namespace

TEST_GROUP(StoreWatch)
{
  std::unique_ptr<Lab::ObjectStore> mStore;
  Counters mCounters;
  std::unique_ptr<StoreWatch<Platform::ObjectFormat>> mWatch;

  void setup() override
  {
    mStore = Lab::ObjectStore::Start(kStore).Take();
    mWatch = std::make_unique<StoreWatch<Platform::ObjectFormat>>(
      kStore, ObjectKind::Evacuations, mCounters);
  }

  void teardown() override
  {
    mWatch.reset();
    mStore.reset();
  }

  void Evacuate(int aCount)
  {
    for (int zone = 0; zone < aCount; ++zone) {
      mStore->Put("evacuations", "zone-" + std::to_string(zone), {});
    }
  }
};

TEST(StoreWatch, a_list_of_a_replica_that_is_up_to_date_is_taken)
{
  Evacuate(2);
  mWatch->SetFloor(mStore->Position());
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  CHECK(step.mUpdate->mIsWholeList);
  LONGS_EQUAL(2, step.mUpdate->mChanges.size());
}

TEST(StoreWatch, a_list_of_a_replica_that_lags_is_made_again_by_the_store)
{
  Evacuate(1);
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  Evacuate(3);
  mWatch->SetFloor(mStore->Position());
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(3, step.mUpdate->mChanges.size());
}

TEST(StoreWatch, pages_of_a_list_never_go_back_to_an_older_replica)
{
  Evacuate(kTwoPages);
  auto const floor = mStore->Position();
  mStore->CaptureStaleReplica();
  mStore->Put("evacuations", "zone-later", {});
  mWatch->SetFloor(floor);
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  // The second page would come from before the revision to watch from.
  mStore->ServeStaleReplica(true);
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(kTwoPages + 1, step.mUpdate->mChanges.size());
  CHECK(mStore->Position() == step.mUpdate->mUpTo);
}

TEST(StoreWatch, a_floor_of_the_start_does_not_serve_a_list_of_later)
{
  Evacuate(1);
  mWatch->SetFloor(mStore->Position());
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  // A peer told everything up to here, so that nothing was listed.
  mWatch->ResumeFrom(mStore->Position());
  Evacuate(2);
  mStore->CompactHistory();
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(2, step.mUpdate->mChanges.size());
}

TEST(StoreWatch, a_list_without_a_floor_never_comes_from_a_replica)
{
  Evacuate(1);
  mStore->CaptureStaleReplica();
  mStore->ServeStaleReplica(true);
  Evacuate(2);
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(2, step.mUpdate->mChanges.size());
}

TEST(StoreWatch, a_revision_that_is_given_out_again_does_not_continue_a_watch)
{
  Evacuate(3);
  CHECK(mWatch->Step().mUpdate.has_value());
  mStore->RollBack(seconds{ 20 });
  // The store passes the revision from which the watch goes on, so that no
  // answer says that its history is gone.
  Evacuate(5);
  auto const risen = mWatch->Step();
  CHECK(risen.mAnswered);
  CHECK_FALSE(risen.mUpdate.has_value());
  LONGS_EQUAL(2, risen.mEra);
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  CHECK(step.mUpdate->mIsWholeList);
  CHECK(step.mUpdate->mUpTo == mStore->Position());
  LONGS_EQUAL(5, step.mUpdate->mChanges.size());
}

TEST(StoreWatch, a_watch_from_a_revision_that_the_copy_lacks_lists_anew)
{
  Evacuate(3);
  CHECK(mWatch->Step().mUpdate.has_value());
  mStore->RollBack(seconds{ 20 });
  auto const risen = mWatch->Step();
  LONGS_EQUAL(2, risen.mEra);
  CHECK_FALSE(risen.mUpdate.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(0, step.mUpdate->mChanges.size());
}

TEST(StoreWatch, answers_of_a_replica_of_the_former_era_are_not_taken)
{
  Evacuate(3);
  CHECK(mWatch->Step().mUpdate.has_value());
  mStore->CaptureStaleReplica();
  mStore->RollBack(seconds{ 20 });
  mWatch->NoteEra(mStore->Position().mEra);
  CHECK(mWatch->Step().mUpdate.has_value());
  mStore->ServeStaleReplica(true);
  mWatch->SetWait(milliseconds{ 20 });
  auto const old = mWatch->Step();
  CHECK_FALSE(old.mAnswered);
  CHECK_FALSE(old.mUpdate.has_value());
  // The next call asks for an answer that may not lag.
  Evacuate(1);
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(1, step.mUpdate->mChanges.size());
}

TEST(StoreWatch, pages_of_one_list_come_from_one_era)
{
  Evacuate(kTwoPages);
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  mStore->RollBack(milliseconds{ 0 });
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  CHECK_FALSE(mWatch->Step().mUpdate.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(2, step.mUpdate->mUpTo.mEra);
  for (auto const& change : step.mUpdate->mChanges) {
    LONGS_EQUAL(2, change.mPosition.mEra);
  }
}

TEST(StoreWatch, a_store_that_names_no_era_has_one)
{
  mStore->OmitEra();
  Evacuate(2);
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  LONGS_EQUAL(0, step.mEra);
  LONGS_EQUAL(0, step.mUpdate->mUpTo.mEra);
}

TEST(StoreWatch, a_refused_call_tells_of_a_new_era_too)
{
  Evacuate(1);
  CHECK(mWatch->Step().mUpdate.has_value());
  mStore->RollBack(milliseconds{ 0 });
  mStore->SetDown(true);
  auto const refused = mWatch->Step();
  CHECK_FALSE(refused.mAnswered);
  LONGS_EQUAL(2, refused.mEra);
  mStore->SetDown(false);
  auto const step = mWatch->Step();
  CHECK(step.mUpdate.has_value());
  CHECK(step.mUpdate->mIsWholeList);
}
