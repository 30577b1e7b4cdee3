#ifndef TARRAGONSILL_COUNTED_HPP_INCLUDED
#define TARRAGONSILL_COUNTED_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

/// Figures that repeat exactly, with bounds from the stated targets.
namespace tarragonsill::Counted {

struct Figure
{
  std::string mName;
  double mValue = 0;
  double mMax = 0; ///< The bound; 0 means that nothing is allowed.
  std::string mUnit;

  bool Holds() const { return mValue <= mMax; }
};

/// Allocations on the packet path, bytes for each flow, imbalance.
std::vector<Figure> PacketFigures();
/// The same of steering by cookie.
std::vector<Figure> CookieFigures();
/// Control bytes, detection time and false suspicions in a zone of a size.
std::vector<Figure> ControlFigures(unsigned aCores, unsigned aSeconds);
/// Passes packets of established flows; to be run under an instruction
/// counter, which gives the cost of a packet as a difference of two runs.
void PassPackets(std::string const& aKind,
                 std::uint32_t aFlows,
                 std::uint64_t aPackets);

/// The same with steering by cookie.
void PassCookiePackets(std::uint32_t aFlows, std::uint64_t aPackets);

/// Allocations since the start of the process.
std::uint64_t AllocationCount();

} // namespace tarragonsill::Counted

#endif // TARRAGONSILL_COUNTED_HPP_INCLUDED
