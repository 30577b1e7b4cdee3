#include "tarragonsill_test.hpp"

#include "tarragonsill/state/tarragonsill_latency_histogram.hpp"

using namespace tarragonsill;

TEST_GROUP(LatencyHistogram)
{
  LatencyHistogram mHistogram;

  bool PageContains(std::string const& aLine)
  {
    auto const text = mHistogram.ToExposition("answer_seconds", "e");
    return text.find(aLine) != std::string::npos;
  }
};

TEST(LatencyHistogram, buckets_are_cumulative_and_end_with_the_total)
{
  mHistogram.Record(milliseconds{ 0 });
  mHistogram.Record(milliseconds{ 5 });
  mHistogram.Record(milliseconds{ 60 });
  mHistogram.Record(seconds{ 30 });
  CHECK(PageContains("answer_seconds_bucket{entry=\"e\",le=\"0.001\"} 1\n"));
  CHECK(PageContains("answer_seconds_bucket{entry=\"e\",le=\"0.01\"} 2\n"));
  CHECK(PageContains("answer_seconds_bucket{entry=\"e\",le=\"0.1\"} 3\n"));
  CHECK(PageContains("answer_seconds_bucket{entry=\"e\",le=\"+Inf\"} 4\n"));
  CHECK(PageContains("answer_seconds_count{entry=\"e\"} 4\n"));
}

TEST(LatencyHistogram, an_empty_histogram_shows_zeros)
{
  CHECK(PageContains("answer_seconds_bucket{entry=\"e\",le=\"+Inf\"} 0\n"));
}
