#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_receive_backlog.hpp"

using namespace tarragonsill;

// Guards against packets that were queued while a VM was suspended, above all
// as it started, and that are taken for new (review/7: open flows are reset).
TEST_GROUP(ReceiveBacklog)
{
  static constexpr milliseconds kPauseThreshold{ 150 };
  static constexpr milliseconds kWait{ 50 };

  ReceiveBacklog mBacklog{ seconds{ 100 }, kPauseThreshold };
  ReceiveBacklog::BootTime mNow{ seconds{ 100 } };

  /// Reads after some processing; the read waits for a datagram.
  bool Read(milliseconds aProcessing, milliseconds aWait, bool aIsEmptied)
  {
    auto const start = mNow + aProcessing;
    mNow = start + aWait;
    return mBacklog.RecordRead(start, mNow, aIsEmptied);
  }

  void CheckAge(milliseconds aExpected)
  {
    CHECK(mBacklog.MaxAge(mNow) == aExpected);
  }
};

TEST(ReceiveBacklog, a_datagram_is_as_old_as_the_work_since_the_last_read)
{
  CHECK_FALSE(Read(milliseconds{ 3 }, kWait, true));
  CheckAge(milliseconds{ 3 });
  CHECK_FALSE(Read(milliseconds{ 7 }, milliseconds{ 0 }, true));
  CheckAge(milliseconds{ 7 });
}

TEST(ReceiveBacklog, what_came_before_the_first_read_is_as_old_as_the_socket)
{
  CHECK(Read(milliseconds{ 2500 }, milliseconds{ 0 }, true));
  CheckAge(milliseconds{ 2500 });
  CHECK_FALSE(Read(milliseconds{ 1 }, kWait, true));
  CheckAge(milliseconds{ 1 });
}

TEST(ReceiveBacklog, a_pause_during_a_read_counts_as_age)
{
  (void)Read(milliseconds{ 1 }, kWait, true);
  CHECK(Read(milliseconds{ 1 }, milliseconds{ 1000 }, true));
  CheckAge(milliseconds{ 1001 });
}

TEST(ReceiveBacklog, a_backlog_lasts_until_a_read_has_emptied_the_queue)
{
  (void)Read(milliseconds{ 1 }, kWait, true);
  CHECK(Read(milliseconds{ 1 }, milliseconds{ 1000 }, false));
  // Slow work on each batch: far longer than a fixed time after the pause.
  CHECK_FALSE(Read(milliseconds{ 40 }, milliseconds{ 0 }, false));
  CheckAge(milliseconds{ 1041 });
  CHECK_FALSE(Read(milliseconds{ 40 }, milliseconds{ 0 }, true));
  CheckAge(milliseconds{ 1081 });
  CHECK_FALSE(Read(milliseconds{ 40 }, milliseconds{ 0 }, true));
  CheckAge(milliseconds{ 40 });
}

TEST(ReceiveBacklog, a_second_pause_does_not_make_older_datagrams_younger)
{
  (void)Read(milliseconds{ 1 }, milliseconds{ 2000 }, false);
  CHECK(Read(milliseconds{ 200 }, milliseconds{ 0 }, false));
  CheckAge(milliseconds{ 2201 });
}

TEST(ReceiveBacklog, a_backlog_ends_although_datagrams_keep_coming)
{
  (void)Read(milliseconds{ 1 }, milliseconds{ 2000 }, false);
  for (auto time = milliseconds{ 0 }; time <= ReceiveBacklog::kMaxBacklogTime;
       time += milliseconds{ 100 }) {
    (void)Read(milliseconds{ 100 }, milliseconds{ 0 }, false);
  }
  CheckAge(milliseconds{ 100 });
}

TEST(ReceiveBacklog, a_datagram_ages_while_it_is_handled)
{
  (void)Read(milliseconds{ 1 }, kWait, true);
  mNow += seconds{ 2 };
  CheckAge(milliseconds{ 2001 });
}
