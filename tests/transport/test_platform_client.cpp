#include "tarragonsill_test.hpp"

#include "tarragonsill/transport/tarragonsill_platform_client.hpp"
#include "tarragonsill_lab_platform.hpp"

#include <memory>
#include <thread>

using namespace tarragonsill;

namespace {

constexpr Endpoint kAddress{ { 0x7F630001 }, 18080 };
constexpr milliseconds kNoWait{ 50 };

} // namespace

TEST_GROUP(PlatformClient)
{
  std::unique_ptr<Lab::Platform> mPlatform;
  Counters mCounters;
  std::unique_ptr<PlatformClient> mClient;

  void setup() override
  {
    auto platform = Lab::Platform::Start(kAddress, milliseconds{ 0 });
    CHECK(platform.HasValue());
    mPlatform = platform.Take();
    mClient = MakeClient(200);
  }

  std::unique_ptr<PlatformClient> MakeClient(std::uint32_t aCallsPerSecond)
  {
    PlatformClient::Options options;
    options.mAddress = kAddress;
    options.mCallsPerSecond = aCallsPerSecond;
    return std::make_unique<PlatformClient>(options, mCounters);
  }

  PlatformObject Stored()
  {
    auto object = mClient->Read("object");
    return object ? object.Take() : PlatformObject{};
  }
};

TEST(PlatformClient, a_write_on_the_read_version_wins)
{
  auto const outcome = mClient->Write("object", {}, "change-1", "text");
  CHECK(outcome.HasValue());
  CHECK(outcome->mWon);
  LONGS_EQUAL(1, Stored().mPosition.mRevision);
  STRCMP_EQUAL("text", Stored().mText.c_str());
}

TEST(PlatformClient, of_two_racing_operators_one_wins_and_one_is_told)
{
  auto const first = mClient->Write("object", {}, "change-1", "ours");
  auto const second = mClient->Write("object", {}, "change-2", "theirs");
  CHECK(first->mWon);
  CHECK(second.HasValue());
  CHECK_FALSE(second->mWon);
  LONGS_EQUAL(1, second->mCurrent.mPosition.mRevision);
  STRCMP_EQUAL("ours", second->mCurrent.mText.c_str());
}

TEST(PlatformClient, a_lost_answer_is_settled_and_nothing_is_written_twice)
{
  mPlatform->LoseNextWriteAnswer();
  auto const outcome = mClient->Write("object", {}, "change-1", "text");
  CHECK(outcome.HasValue());
  CHECK(outcome->mWon);
  LONGS_EQUAL(1, Stored().mPosition.mRevision);
}

TEST(PlatformClient, a_change_that_another_one_followed_still_counts_as_won)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mWon);
  CHECK(mClient->Write("object", Stored(), "change-2", "second")->mWon);
  auto const object = Stored();
  LONGS_EQUAL(2, object.mChanges.size());
  STRCMP_EQUAL("change-1", object.mChanges.front().c_str());
}

TEST(PlatformClient, an_outage_is_a_reason_and_not_an_answer)
{
  mPlatform->SetDown(true);
  auto const object = mClient->Read("object");
  CHECK_FALSE(object.HasValue());
  CHECK(object.LastReason().mCode == ReasonCode::Unavailable);
  CHECK_FALSE(mClient->ListVms().HasValue());
}

TEST(PlatformClient, an_absent_object_is_not_found)
{
  CHECK(mClient->Read("object").LastReason().mCode == ReasonCode::NotFound);
}

TEST(PlatformClient, a_watch_gives_newer_versions_only)
{
  CHECK(mClient->Write("object", {}, "change-1", "text")->mWon);
  auto const newer = mClient->Watch("object", {}, kNoWait);
  CHECK(newer.HasValue());
  auto const none = mClient->Watch("object", { 0, 1 }, kNoWait);
  CHECK(none.LastReason().mCode == ReasonCode::Timeout);
}

TEST(PlatformClient, calls_beyond_the_budget_are_not_made)
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

TEST(PlatformClient, the_list_of_vms_is_read)
{
  mPlatform->ListVm({ "e1", "a", kAddress, PlatformVm::State::Removed });
  auto const vms = mClient->ListVms();
  CHECK(vms.HasValue());
  LONGS_EQUAL(1, vms->size());
  CHECK(vms->front().mState == PlatformVm::State::Removed);
}

TEST(PlatformClient, the_pause_between_attempts_grows_and_stays_bounded)
{
  for (unsigned failures = 0; failures < 40; ++failures) {
    auto const maxPause =
      std::min<milliseconds::rep>(5000, 100LL << std::min(failures, 20U));
    for (int draw = 0; draw < 20; ++draw) {
      auto const pause = mClient->Backoff(failures).count();
      CHECK(pause >= 1 && pause <= maxPause);
    }
  }
}

TEST(PlatformClient, a_condition_of_an_older_era_is_never_met)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mWon);
  CHECK(mClient->Write("object", Stored(), "change-2", "second")->mWon);
  auto const read = Stored();
  mPlatform->RollBack(seconds{ 30 });
  // Two writes give the version that was read out again.
  CHECK(mClient->Write("object", Stored(), "change-3", "third")->mWon);
  CHECK(mClient->Write("object", Stored(), "change-4", "fourth")->mWon);
  LONGS_EQUAL(read.mPosition.mRevision, Stored().mPosition.mRevision);
  auto const outcome = mClient->Write("object", read, "change-5", "fifth");
  CHECK(outcome.HasValue());
  CHECK_FALSE(outcome->mWon);
  STRCMP_EQUAL("fourth", Stored().mText.c_str());
}

TEST(PlatformClient, a_change_that_the_platform_lost_is_told_as_lost)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mWon);
  std::this_thread::sleep_for(milliseconds{ 20 });
  auto const kept = Clock::now();
  std::this_thread::sleep_for(milliseconds{ 20 });
  CHECK(mClient->Write("object", Stored(), "change-2", "second")->mWon);
  auto const read = Stored();
  mPlatform->RollBack(
    std::chrono::duration_cast<milliseconds>(Clock::now() - kept));
  STRCMP_EQUAL("first", Stored().mText.c_str());
  auto const outcome = mClient->Write("object", read, "change-3", "third");
  CHECK_FALSE(outcome.HasValue());
  CHECK(outcome.LastReason().mCode == ReasonCode::Conflict);
  CHECK(outcome.LastReason().mText.find("has to be made again") !=
        std::string::npos);
}

TEST(PlatformClient, an_older_copy_is_no_news_but_what_is_written_there_is)
{
  CHECK(mClient->Write("object", {}, "change-1", "first")->mWon);
  CHECK(mClient->Write("object", Stored(), "change-2", "second")->mWon);
  auto const held = Stored().mPosition;
  mPlatform->RollBack(seconds{ 30 });
  auto const none = mClient->Watch("object", held, kNoWait);
  CHECK_FALSE(none.HasValue());
  CHECK(mClient->Write("object", {}, "change-3", "third")->mWon);
  // Its version is lower than the one that is held.
  auto const news = mClient->Watch("object", held, kNoWait);
  CHECK(news.HasValue());
  LONGS_EQUAL(1, news->mPosition.mRevision);
  CHECK(news->mPosition > held);
}
