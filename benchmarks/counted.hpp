#ifndef TARRAGONSILL_COUNTED_HPP_INCLUDED
#define TARRAGONSILL_COUNTED_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

/// Deterministic figures with bounds from the documented targets.
namespace tarragonsill::Counted {

struct Figure
{
  std::string mName;
  double mValue = 0;
  double mMax = 0; ///< Inclusive bound.
  std::string mUnit;

  bool IsWithinBound() const { return mValue <= mMax; }
};

/// Allocations on the packet path, bytes per flow and load imbalance.
std::vector<Figure> PacketFigures();
/// Allocations and load imbalance of cookie steering.
std::vector<Figure> CookieFigures();
/// Control traffic, detection time and false failures in a zone of a given
/// size.
std::vector<Figure> ControlFigures(unsigned aCores, unsigned aSeconds);
/// Bytes of load reports in a zone of a given size.
std::vector<Figure> LoadReportFigures(unsigned aVms,
                                      unsigned aUpstreams,
                                      unsigned aSeconds);
/// Forwards packets of established flows. Run it under an instruction counter;
/// the difference between two runs is the cost of the extra packets.
void ForwardPackets(std::string const& aKind,
                    std::uint32_t aFlows,
                    std::uint64_t aPackets);

/// Forwards packets of established flows with cookie steering.
void ForwardCookiePackets(std::uint32_t aFlows, std::uint64_t aPackets);

/// Counts allocations since the process started.
std::uint64_t AllocationCount();

} // namespace tarragonsill::Counted

#endif // TARRAGONSILL_COUNTED_HPP_INCLUDED
