#ifndef TARRAGONSILL_LATENCY_HISTOGRAM_HPP_INCLUDED
#define TARRAGONSILL_LATENCY_HISTOGRAM_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>
#include <string>
#include <string_view>

/// Counts of durations in buckets that grow by a constant factor.
namespace tarragonsill {

class LatencyHistogram
{
public:
  LatencyHistogram();
  ~LatencyHistogram();

  /// Counts a duration; safe to call while another thread reads.
  void Record(Duration aTime);
  /// The text exposition format: cumulative buckets in seconds.
  std::string ToExposition(std::string_view aName,
                           std::string_view aEntry) const;

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_LATENCY_HISTOGRAM_HPP_INCLUDED
