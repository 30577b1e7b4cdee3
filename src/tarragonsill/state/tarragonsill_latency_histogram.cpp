#include "tarragonsill/state/tarragonsill_latency_histogram.hpp"

#include <cstdint>
#include <sstream>

#include <boost/histogram.hpp>

namespace tarragonsill {

namespace {

namespace hist = boost::histogram;

// 20 logarithmic buckets from 1 ms to 10 s; each bound is 1.58 times the
// previous one.
constexpr unsigned kBuckets = 20;
constexpr double kMinSeconds = 0.001;
constexpr double kMaxSeconds = 10.0;

using Axis = hist::axis::regular<double, hist::axis::transform::log>;
using Count = hist::accumulators::thread_safe<std::uint64_t>;

auto
MakeHistogram()
{
  return hist::make_histogram_with(hist::dense_storage<Count>(),
                                   Axis(kBuckets, kMinSeconds, kMaxSeconds));
}

} // namespace

struct LatencyHistogram::Impl
{
  decltype(MakeHistogram()) mHistogram = MakeHistogram();
};

LatencyHistogram::LatencyHistogram()
  : mImpl(std::make_unique<Impl>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void
LatencyHistogram::Record(Duration aTime)
{
  mImpl->mHistogram(std::chrono::duration<double>(aTime).count());
}

std::string
LatencyHistogram::ToExposition(std::string_view aName,
                               std::string_view aEntry) const
{
  auto const& histogram = mImpl->mHistogram;
  auto const& axis = histogram.axis();
  std::ostringstream text;
  auto const writeBucket = [&](std::string const& aBound,
                               std::uint64_t aCount) {
    text << aName << "_bucket{entry=\"" << aEntry << "\",le=\"" << aBound
         << "\"} " << aCount << '\n';
  };
  // Index -1 holds the durations below the first bucket.
  std::uint64_t total = histogram.at(-1).load();
  for (int index = 0; index < axis.size(); ++index) {
    std::ostringstream bound;
    bound << axis.bin(index).lower();
    writeBucket(bound.str(), total);
    total += histogram.at(index).load();
  }
  std::ostringstream lastBound;
  lastBound << kMaxSeconds;
  writeBucket(lastBound.str(), total);
  total += histogram.at(axis.size()).load();
  writeBucket("+Inf", total);
  text << aName << "_count{entry=\"" << aEntry << "\"} " << total << '\n';
  return text.str();
}

} // namespace tarragonsill
