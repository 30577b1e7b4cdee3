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
  mWatch->SetFloor(mStore->Revision());
  auto const step = mWatch->Step();
  CHECK(step.mNews.has_value());
  CHECK(step.mNews->mIsWholeList);
  LONGS_EQUAL(2, step.mNews->mChanges.size());
}

TEST(StoreWatch, a_list_of_a_replica_that_lags_is_made_again_by_the_store)
{
  Evacuate(1);
  mStore->KeepOldReplica();
  mStore->SetReplicaLags(true);
  Evacuate(3);
  mWatch->SetFloor(mStore->Revision());
  CHECK_FALSE(mWatch->Step().mNews.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mNews.has_value());
  LONGS_EQUAL(3, step.mNews->mChanges.size());
}

TEST(StoreWatch, pages_of_a_list_never_go_back_to_an_older_replica)
{
  Evacuate(kTwoPages);
  auto const floor = mStore->Revision();
  mStore->KeepOldReplica();
  Evacuate(1);
  mWatch->SetFloor(floor);
  CHECK_FALSE(mWatch->Step().mNews.has_value());
  // The second page would come from before the revision to watch from.
  mStore->SetReplicaLags(true);
  CHECK_FALSE(mWatch->Step().mNews.has_value());
  CHECK_FALSE(mWatch->Step().mNews.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mNews.has_value());
  LONGS_EQUAL(kTwoPages, step.mNews->mChanges.size());
  LONGS_EQUAL(mStore->Revision(), step.mNews->mRevision);
}

TEST(StoreWatch, a_floor_of_the_start_does_not_serve_a_list_of_later)
{
  Evacuate(1);
  mWatch->SetFloor(mStore->Revision());
  mStore->KeepOldReplica();
  mStore->SetReplicaLags(true);
  // A peer told everything up to here, so that nothing was listed.
  mWatch->ResumeFrom(mStore->Revision());
  Evacuate(2);
  mStore->ForgetHistory();
  CHECK_FALSE(mWatch->Step().mNews.has_value());
  auto const step = mWatch->Step();
  CHECK(step.mNews.has_value());
  LONGS_EQUAL(2, step.mNews->mChanges.size());
}

TEST(StoreWatch, a_list_without_a_floor_never_comes_from_a_replica)
{
  Evacuate(1);
  mStore->KeepOldReplica();
  mStore->SetReplicaLags(true);
  Evacuate(2);
  auto const step = mWatch->Step();
  CHECK(step.mNews.has_value());
  LONGS_EQUAL(2, step.mNews->mChanges.size());
}
