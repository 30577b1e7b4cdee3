#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_upstream_watch.hpp"

#include <random>

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

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
  mWatch.DataRepeated(kStart, true);
  mWatch.DataRepeated(kStart + milliseconds{ 10 }, true);
  CHECK(mWatch.Health(kStart + milliseconds{ 300 }) ==
        UpstreamHealth::Doubtful);
  CHECK(mWatch.Health(kStart + UpstreamWatch::kSilentAfter) ==
        UpstreamHealth::Silent);
}

TEST(UpstreamWatch, one_flow_has_to_repeat_itself_for_longer)
{
  mWatch.DataRepeated(kStart, true);
  mWatch.DataRepeated(kStart, false);
  CHECK(mWatch.Health(kStart + seconds{ 2 }) == UpstreamHealth::Doubtful);
  mWatch.DataRepeated(kStart, false);
  CHECK(mWatch.Health(kStart + UpstreamWatch::kSilentAloneAfter) ==
        UpstreamHealth::Silent);
}

TEST(UpstreamWatch, data_from_before_the_last_answer_counts_from_the_answer_on)
{
  mWatch.Answered(kStart + milliseconds{ 190 });
  mWatch.DataRepeated(kStart, true);
  mWatch.DataRepeated(kStart, true);
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
        mWatch.DataRepeated(now - milliseconds{ 200 }, true);
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
