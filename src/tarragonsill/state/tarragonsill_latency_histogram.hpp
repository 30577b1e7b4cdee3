#ifndef TARRAGONSILL_LATENCY_HISTOGRAM_HPP_INCLUDED
#define TARRAGONSILL_LATENCY_HISTOGRAM_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>
#include <string>
#include <string_view>

/// A histogram of durations with logarithmic buckets.
namespace tarragonsill {

/// A histogram of durations for the metrics page.
class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  /// Adds a duration; safe to call while another thread reads.
  void Record(Duration aTime);
  /// Formats the histogram as Prometheus text exposition, with cumulative
  /// buckets in seconds.
  std::string ToExposition(std::string_view aName,
                           std::string_view aEntry) const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_LATENCY_HISTOGRAM_HPP_INCLUDED
