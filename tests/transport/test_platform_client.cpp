#include "tarragonsill_test.hpp"

#include "support/loopback_network.hpp"
#include "tarragonsill/transport/tarragonsill_platform_client.hpp"
#include "tarragonsill_lab_platform.hpp"

#include <memory>
#include <thread>

using namespace tarragonsill;

namespace {

constexpr milliseconds kShortWait{ 50 };

Endpoint
PlatformAddress()
{
  return Test::LoopbackNetwork::At(0x0401, 18080);
}

} // namespace

TEST_GROUP(PlatformClient)
{
  std::unique_ptr<Lab::Platform> mPlatform;
  Counters mCounters;
  std::unique_ptr<PlatformClient> mClient;

  void setup() override
  {
    mPlatform = Test::TakeOrFail(
      Lab::Platform::Start(PlatformAddress(), milliseconds{ 0 }));
    mClient = MakeClient(200);
  }

  std::unique_ptr<PlatformClient> MakeClient(std::uint32_t aCallsPerSecond)
  {
    PlatformClient::Options options;
    options.mAddress = PlatformAddress();
    options.mCallsPerSecond = aCallsPerSecond;
    return std::make_unique<PlatformClient>(options, mCounters);
  }

  PlatformObject ReadObject()
  {
    auto object = mClient->Read("object");
    return object ? object.Take() : PlatformObject{};
  }
};

TEST(PlatformClient, a_write_at_the_current_version_is_applied)
{
  auto const outcome = mClient->Write("object", {}, "change-1", "text");
  CHECK(outcome.HasValue());
  CHECK(outcome->mApplied);
  LONGS_EQUAL(1, ReadObject().mPosition.mRevision);
  STRCMP_EQUAL("text", ReadObject().mText.c_str());
}

TEST(
  PlatformClient,
  of_two_concurrent_writes_one_is_applied_and_the_other_gets_the_current_object)
{
  auto const first = mClient->Write("object", {}, "change-1", "ours");
  auto const second = mClient->Write("object", {}, "change-2", "theirs");
  CHECK(first->mApplied);
  CHECK(second.HasValue());
  CHECK_FALSE(second->mApplied);
  LONGS_EQUAL(1, second->mCurrent.mPosition.mRevision);
  STRCMP_EQUAL("ours", second->mCurrent.mText.c_str());
}

TEST(PlatformClient, a_write_whose_answer_was_lost_is_found_and_not_repeated)
{
  mPlatform->LoseNextWriteAnswer();
  auto const outcome = mClient->Write("object", {}, "change-1", "text");
  CHECK(outcome.HasValue());
  CHECK(outcome->mApplied);
  LONGS_EQUAL(1, ReadObject().mPosition.mRevision);
}

TEST(PlatformClient, an_object_lists_the_ids_of_earlier_changes)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mApplied);
  CHECK(mClient->Write("object", ReadObject(), "change-2", "second")->mApplied);
  auto const object = ReadObject();
  LONGS_EQUAL(2, object.mChanges.size());
  STRCMP_EQUAL("change-1", object.mChanges.front().c_str());
}

TEST(PlatformClient, calls_fail_as_unavailable_while_the_platform_is_down)
{
  mPlatform->SetDown(true);
  auto const object = mClient->Read("object");
  CHECK_FALSE(object.HasValue());
  CHECK(object.LastReason().mCode == ReasonCode::Unavailable);
  CHECK_FALSE(mClient->ListVms().HasValue());
}

TEST(PlatformClient, reading_an_absent_object_fails_as_not_found)
{
  CHECK(mClient->Read("object").LastReason().mCode == ReasonCode::NotFound);
}

TEST(PlatformClient, a_watch_returns_newer_versions_only)
{
  CHECK(mClient->Write("object", {}, "change-1", "text")->mApplied);
  auto const newer = mClient->Watch("object", {}, kShortWait);
  CHECK(newer.HasValue());
  auto const none = mClient->Watch("object", { 0, 1 }, kShortWait);
  CHECK(none.LastReason().mCode == ReasonCode::Timeout);
}

TEST(PlatformClient, calls_over_the_budget_are_not_sent)
{
  mClient = MakeClient(3);
  for (int call = 0; call < 3; ++call) {
    (void)mClient->Read("object");
  }
  auto const before = mPlatform->CallCount();
  auto const refused = mClient->Read("object");
  CHECK(refused.LastReason().mCode == ReasonCode::LimitReached);
  LONGS_EQUAL(before, mPlatform->CallCount());
}

TEST(PlatformClient, no_call_is_sent_to_a_platform_in_a_denied_network)
{
  PlatformClient::Options options;
  options.mAddress = PlatformAddress();
  options.mIsDenied = [](Endpoint aAddress) {
    return aAddress == PlatformAddress();
  };
  PlatformClient client(options, mCounters);
  auto const before = mPlatform->CallCount();
  CHECK(client.Read("object").LastReason().mCode == ReasonCode::Unavailable);
  CHECK(client.Write("object", {}, "change-1", "text").LastReason().mCode ==
        ReasonCode::Unavailable);
  LONGS_EQUAL(before, mPlatform->CallCount());
}

TEST(PlatformClient, the_vm_list_is_read)
{
  mPlatform->ListVm(
    { "e1", "a", PlatformAddress(), PlatformVm::State::Removed });
  auto const vms = mClient->ListVms();
  CHECK(vms.HasValue());
  LONGS_EQUAL(1, vms->size());
  CHECK(vms->front().mState == PlatformVm::State::Removed);
}

TEST(PlatformClient, the_backoff_grows_and_stays_bounded)
{
  for (unsigned failures = 0; failures < 40; ++failures) {
    auto const maxBackoff =
      std::min<milliseconds::rep>(5000, 100LL << std::min(failures, 20U));
    for (int sample = 0; sample < 20; ++sample) {
      auto const backoff = mClient->Backoff(failures).count();
      CHECK(backoff >= 1 && backoff <= maxBackoff);
    }
  }
}

TEST(PlatformClient, a_write_conditional_on_an_older_era_is_not_applied)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mApplied);
  CHECK(mClient->Write("object", ReadObject(), "change-2", "second")->mApplied);
  auto const read = ReadObject();
  mPlatform->RollBack(seconds{ 30 });
  // After two writes the store has again assigned the version that was read.
  CHECK(mClient->Write("object", ReadObject(), "change-3", "third")->mApplied);
  CHECK(mClient->Write("object", ReadObject(), "change-4", "fourth")->mApplied);
  LONGS_EQUAL(read.mPosition.mRevision, ReadObject().mPosition.mRevision);
  auto const outcome = mClient->Write("object", read, "change-5", "fifth");
  CHECK(outcome.HasValue());
  CHECK_FALSE(outcome->mApplied);
  STRCMP_EQUAL("fourth", ReadObject().mText.c_str());
}

TEST(PlatformClient,
     a_write_on_a_version_lost_in_a_store_rollback_fails_as_a_conflict)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mApplied);
  std::this_thread::sleep_for(milliseconds{ 20 });
  auto const beforeSecondWrite = Clock::now();
  std::this_thread::sleep_for(milliseconds{ 20 });
  CHECK(mClient->Write("object", ReadObject(), "change-2", "second")->mApplied);
  auto const read = ReadObject();
  mPlatform->RollBack(
    std::chrono::duration_cast<milliseconds>(Clock::now() - beforeSecondWrite));
  STRCMP_EQUAL("first", ReadObject().mText.c_str());
  auto const outcome = mClient->Write("object", read, "change-3", "third");
  CHECK_FALSE(outcome.HasValue());
  CHECK(outcome.LastReason().mCode == ReasonCode::Conflict);
  CHECK(outcome.LastReason().mText.find("must be made again") !=
        std::string::npos);
}

TEST(PlatformClient,
     a_watch_returns_writes_after_a_store_rollback_but_not_the_restored_object)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mApplied);
  CHECK(mClient->Write("object", ReadObject(), "change-2", "second")->mApplied);
  auto const lastPosition = ReadObject().mPosition;
  mPlatform->RollBack(seconds{ 30 });
  auto const none = mClient->Watch("object", lastPosition, kShortWait);
  CHECK_FALSE(none.HasValue());
  CHECK(mClient->Write("object", {}, "change-3", "third")->mApplied);
  // The new version is lower than the last one, but its era is higher.
  auto const newer = mClient->Watch("object", lastPosition, kShortWait);
  CHECK(newer.HasValue());
  LONGS_EQUAL(1, newer->mPosition.mRevision);
  CHECK(newer->mPosition > lastPosition);
}
