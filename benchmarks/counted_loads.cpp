#include "counted.hpp"

#include "support/load_exchange_group.hpp"

#include <algorithm>

namespace tarragonsill::Counted {

std::vector<Figure>
LoadReportFigures(unsigned aVms, unsigned aUpstreams, unsigned aSeconds)
{
  constexpr double kMaxMeanBytesPerSecond = 3 * 1024;
  constexpr double kMaxBytesPerSecond = 12 * 1024;
  constexpr seconds kWarmUp{ 4 };
  Test::LoadExchangeGroup zone(aVms, aUpstreams);
  zone.Run(kWarmUp);
  std::fill(zone.mBytes.begin(), zone.mBytes.end(), 0);
  zone.Run(seconds{ aSeconds });
  std::size_t sum = 0;
  std::size_t max = 0;
  for (auto const bytes : zone.mBytes) {
    sum += bytes;
    max = std::max(max, bytes);
  }
  auto const size = "load reports of " + std::to_string(aVms) + " VMs, " +
                    std::to_string(aUpstreams) + " upstreams in the zone";
  return { { size + ", mean",
             static_cast<double>(sum) / aVms / aSeconds,
             kMaxMeanBytesPerSecond,
             "bytes/s" },
           { size + ", busiest VM",
             static_cast<double>(max) / aSeconds,
             kMaxBytesPerSecond,
             "bytes/s" } };
}

} // namespace tarragonsill::Counted
