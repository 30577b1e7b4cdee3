#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_upstream_watch.hpp"

#include <random>

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
/// Callers repeat data after this time (platform).
constexpr milliseconds kRepeat{ 200 };

} // namespace

TEST_GROUP(UpstreamWatch)
{
  UpstreamWatch mWatch;
};

TEST(UpstreamWatch, a_handshake_in_time_leaves_no_doubt)
{
  mWatch.OpeningSent(kStart);
  mWatch.Answered(kStart + milliseconds{ 8 });
  CHECK(mWatch.Health(kStart + seconds{ 5 }) == UpstreamHealth::Answering);
}

TEST(UpstreamWatch, an_overdue_handshake_makes_it_doubtful_until_an_answer)
{
  mWatch.OpeningSent(kStart);
  auto const late = kStart + UpstreamWatch::kHandshakeMost;
  CHECK(mWatch.Health(late) == UpstreamHealth::Doubtful);
  mWatch.Answered(late);
  CHECK(mWatch.Health(late) == UpstreamHealth::Answering);
}

TEST(UpstreamWatch, handshakes_alone_never_make_it_silent)
{
  for (int count = 0; count < 50; ++count) {
    mWatch.OpeningSent(kStart + milliseconds{ 20 * count });
  }
  CHECK(mWatch.Health(kStart + seconds{ 10 }) == UpstreamHealth::Doubtful);
}

TEST(UpstreamWatch, two_repeating_flows_and_no_answer_make_it_silent)
{
  mWatch.DataRepeated(kStart + kRepeat, kStart, true);
  mWatch.DataRepeated(kStart + kRepeat, kStart + milliseconds{ 10 }, true);
  CHECK(mWatch.Health(kStart + milliseconds{ 300 }) ==
        UpstreamHealth::Doubtful);
  CHECK(mWatch.Health(kStart + kRepeat + UpstreamWatch::kCheckTime) ==
        UpstreamHealth::Silent);
}

TEST(UpstreamWatch, copies_that_come_late_and_all_at_once_wait_for_a_check)
{
  // Found by the soak, seed 11: a stall let thirty flows repeat at once.
  auto const late = kStart + milliseconds{ 600 };
  for (int flow = 0; flow < 30; ++flow) {
    mWatch.DataRepeated(late, kStart, true);
  }
  CHECK(mWatch.Health(late) == UpstreamHealth::Doubtful);
  CHECK(mWatch.Health(late + UpstreamWatch::kCheckTime) ==
        UpstreamHealth::Silent);
}

TEST(UpstreamWatch, one_that_takes_connections_is_given_up_much_later)
{
  mWatch.DataRepeated(kStart + kRepeat, kStart, true);
  mWatch.DataRepeated(kStart + kRepeat, kStart, true);
  mWatch.InReach(kStart + milliseconds{ 210 });
  CHECK(mWatch.Health(kStart + seconds{ 1 }) == UpstreamHealth::Doubtful);
  CHECK(mWatch.Health(kStart + UpstreamWatch::kSilentThoughInReach) ==
        UpstreamHealth::Silent);
}

TEST(UpstreamWatch, one_flow_has_to_repeat_itself_for_longer)
{
  mWatch.DataRepeated(kStart + kRepeat, kStart, true);
  mWatch.DataRepeated(kStart + kRepeat, kStart, false);
  CHECK(mWatch.Health(kStart + seconds{ 2 }) == UpstreamHealth::Doubtful);
  mWatch.DataRepeated(kStart + kRepeat, kStart, false);
  CHECK(mWatch.Health(kStart + UpstreamWatch::kSilentAloneAfter) ==
        UpstreamHealth::Silent);
}

TEST(UpstreamWatch, data_from_before_the_last_answer_counts_from_the_answer_on)
{
  mWatch.Answered(kStart + milliseconds{ 190 });
  mWatch.DataRepeated(kStart + kRepeat, kStart, true);
  mWatch.DataRepeated(kStart + kRepeat, kStart, true);
  CHECK(mWatch.Health(kStart + milliseconds{ 360 }) ==
        UpstreamHealth::Doubtful);
}

TEST(UpstreamWatch,
     an_upstream_under_five_percent_of_loss_is_hardly_ever_silent)
{
  // Ten flows with a request of 60 ms every 100 ms; each packet of a request
  // is lost with 5 %, and repeated after 200 ms. A slow one takes 330 ms.
  std::mt19937_64 random(20261204);
  std::bernoulli_distribution lost(0.05);
  constexpr int kRounds = 20000;
  int silent = 0;
  auto now = kStart;
  for (int round = 0; round < kRounds; ++round) {
    now += milliseconds{ 100 };
    for (int flow = 0; flow < 10; ++flow) {
      if (lost(random)) {
        mWatch.DataRepeated(now, now - kRepeat, true);
      } else {
        mWatch.Answered(now + milliseconds{ 5 * flow });
      }
    }
    bool const isSilent =
      mWatch.Health(now + milliseconds{ 60 }) == UpstreamHealth::Silent;
    silent += isSilent ? 1 : 0;
  }
  LONGS_EQUAL(0, silent);
}

TEST(UpstreamWatch, a_doubtful_upstream_is_tried_once_in_a_probation_period)
{
  mWatch.OpeningSent(kStart);
  CHECK_FALSE(mWatch.IsProbeDue(kStart + milliseconds{ 500 }));
  auto const due = kStart + UpstreamWatch::kProbation;
  CHECK(mWatch.IsProbeDue(due));
  mWatch.ProbeSent(due);
  CHECK_FALSE(mWatch.IsProbeDue(due + milliseconds{ 500 }));
  CHECK(mWatch.IsProbeDue(due + UpstreamWatch::kProbation));
}
