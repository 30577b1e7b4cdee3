#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_opening_hedger.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr std::uint32_t kSlot = 3;
constexpr milliseconds kLate{ 70 };

} // namespace

TEST_GROUP(OpeningHedger)
{
  OpeningHedger mHedger;
  TimePoint mNow = kStart;

  void setup() override
  {
    mHedger.SetMaxShare(0.1);
    RecordHandshakes(milliseconds{ 7 });
  }

  void RecordHandshakes(milliseconds aTime)
  {
    for (int count = 0; count < 64; ++count) {
      mHedger.RecordHandshake(mNow, kSlot, aTime);
    }
  }

  void Keep(std::size_t aBytes = 36)
  {
    PendingOpening opening;
    opening.mSlot = kSlot;
    opening.mOpenedAt = mNow;
    opening.mBytes.resize(aBytes);
    mHedger.Keep(std::move(opening));
  }

  /// Whether an opening of now is hedged when it is due, if another upstream
  /// answers meanwhile.
  bool IsJustified(HedgeEvidence const& aEvidence, bool aWasSuspected = false)
  {
    PendingOpening opening;
    opening.mSlot = kSlot;
    opening.mOpenedAt = mNow;
    opening.mWasSuspected = aWasSuspected;
    mHedger.RecordAnswer(mNow + milliseconds{ 5 });
    return mHedger.IsJustified(mNow + kLate, opening, aEvidence);
  }

  /// What is known of the only silent one of four upstreams.
  HedgeEvidence OneSilent() const
  {
    return { mNow - seconds{ 1 }, UpstreamHealth::Doubtful, 4, 1 };
  }
};

TEST(OpeningHedger, is_off_by_default)
{
  CHECK_FALSE(OpeningHedger().IsEnabled());
}

TEST(OpeningHedger, waits_at_least_as_long_as_an_upstream_takes_to_be_suspected)
{
  LONGS_EQUAL(60, mHedger.Wait()->count());
  RecordHandshakes(milliseconds{ 45 });
  LONGS_EQUAL(90, mHedger.Wait()->count());
}

TEST(OpeningHedger, knows_no_time_before_it_has_seen_enough_handshakes)
{
  CHECK_FALSE(OpeningHedger().Wait().has_value());
}

/// The pattern of all upstreams becoming slow at once.
TEST(OpeningHedger, keeps_nothing_while_handshakes_usually_take_long)
{
  RecordHandshakes(milliseconds{ 90 });
  Keep();
  POINTERS_EQUAL(nullptr, mHedger.Next());
}

/// The pattern of a crowd of callers while an upstream is dark.
TEST(OpeningHedger, hedges_no_more_than_the_share_of_the_openings)
{
  int hedges = 0;
  for (int count = 1; count <= 1000; ++count) {
    Keep();
    mHedger.DropNext();
    hedges += mHedger.TakeShare(mNow) ? 1 : 0;
    CHECK(hedges <= 0.1 * count + 1e-6);
  }
  CHECK(hedges >= 99);
}

/// The pattern of a long calm before a failure.
TEST(OpeningHedger, saves_up_a_few_hedges_only)
{
  for (int count = 0; count < 1000; ++count) {
    Keep();
  }
  int hedges = 0;
  while (mHedger.TakeShare(mNow)) {
    ++hedges;
  }
  LONGS_EQUAL(OpeningHedger::kBurst, hedges);
}

TEST(OpeningHedger, bounds_the_memory_for_opening_packets)
{
  Keep(OpeningHedger::kMaxPacketBytes + 1);
  POINTERS_EQUAL(nullptr, mHedger.Next());
  for (std::size_t count = 0; count < 2 * OpeningHedger::kMaxPending; ++count) {
    Keep();
  }
  LONGS_EQUAL(OpeningHedger::kMaxPending,
              mHedger.TakeDue(mNow + seconds{ 1 }).size());
}

TEST(OpeningHedger, a_pause_of_this_vm_discards_what_is_pending)
{
  Keep();
  mHedger.HandleLocalPause();
  POINTERS_EQUAL(nullptr, mHedger.Next());
}

/// The pattern of one upstream going dark.
TEST(OpeningHedger, hedges_an_opening_at_a_silent_upstream_that_usually_answers)
{
  CHECK(IsJustified(OneSilent()));
}

TEST(OpeningHedger, an_answer_to_any_other_flow_forbids_a_hedge)
{
  auto evidence = OneSilent();
  evidence.mLastAnswer = mNow + milliseconds{ 1 };
  CHECK_FALSE(IsJustified(evidence));
}

TEST(OpeningHedger, a_vm_that_gets_no_answers_at_all_does_not_hedge)
{
  PendingOpening opening;
  opening.mSlot = kSlot;
  opening.mOpenedAt = mNow;
  mHedger.RecordAnswer(mNow - milliseconds{ 1 });
  CHECK_FALSE(mHedger.IsJustified(mNow + kLate, opening, OneSilent()));
}

TEST(OpeningHedger, nothing_is_hedged_while_many_upstreams_are_silent)
{
  auto evidence = OneSilent();
  evidence.mSuspectedUpstreams = 2;
  CHECK_FALSE(IsJustified(evidence));
}

/// The pattern of an upstream that has just started, or is far away.
TEST(OpeningHedger, an_upstream_that_is_slow_or_unknown_is_not_hedged)
{
  mHedger.RecordHandshake(mNow, kSlot, milliseconds{ 100 });
  CHECK_FALSE(IsJustified(OneSilent()));
  mHedger.ForgetUpstream(kSlot);
  CHECK_FALSE(IsJustified(OneSilent()));
  CHECK(IsJustified(OneSilent(), true));
}

TEST(OpeningHedger, an_upstream_that_answered_a_hedge_late_is_not_hedged)
{
  mHedger.RecordLateAnswer(mNow, kSlot);
  CHECK_FALSE(IsJustified(OneSilent()));
  CHECK_FALSE(IsJustified(OneSilent(), true));
}

TEST(OpeningHedger, a_hedge_that_is_overdue_is_left_to_the_caller)
{
  PendingOpening opening;
  opening.mSlot = kSlot;
  opening.mOpenedAt = mNow;
  mHedger.RecordAnswer(mNow);
  CHECK_FALSE(
    mHedger.IsJustified(mNow + OpeningHedger::kLatest, opening, OneSilent()));
}
