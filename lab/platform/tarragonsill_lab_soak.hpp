#ifndef TARRAGONSILL_LAB_SOAK_HPP_INCLUDED
#define TARRAGONSILL_LAB_SOAK_HPP_INCLUDED

#include "platform/tarragonsill_lab_soak_environment.hpp"

/// Plays random faults against real processes and checks the operators' rules
/// all the while, from what callers and upstreams see.
namespace tarragonsill::Lab {

struct SoakReport
{
  std::vector<std::string> mViolations; ///< Each with its time.
  FlowCallerReport mCallers;
  std::size_t mFaults = 0;
  std::uint64_t mMaxMemoryBytes = 0;
  std::size_t mMaxDescriptors = 0;
  std::uint64_t mMaxLogBytesPerSecond = 0;

  std::string ToText() const;
};

/// Plays one seed. The list of events goes to `events.txt` in the directory.
Result<SoakReport> RunSoak(SoakOptions const& aOptions);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_HPP_INCLUDED
