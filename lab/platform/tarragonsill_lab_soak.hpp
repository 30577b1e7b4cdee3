#ifndef TARRAGONSILL_LAB_SOAK_HPP_INCLUDED
#define TARRAGONSILL_LAB_SOAK_HPP_INCLUDED

#include "platform/tarragonsill_lab_soak_environment.hpp"

#include <optional>

/// Injects random faults into real processes and continuously checks the
/// guarantees to the operators against what callers and upstreams observe.
namespace tarragonsill::Lab {

struct SoakReport
{
  std::vector<std::string> mViolations; ///< Each starts with its time.
  FlowCallerReport mCallers;
  std::size_t mFaults = 0;
  std::uint64_t mMaxMemoryBytes = 0;
  std::size_t mMaxDescriptors = 0;
  std::uint64_t mMaxLogBytesPerSecond = 0;

  std::string ToText() const;
  /// Why the soak proved nothing, if so: no flow was opened or none was
  /// answered.
  std::optional<std::string> FindMissingEvidence() const;
};

/// Runs the faults of one seed. Events are logged to `events.txt` in the
/// directory. Fails with `Invalid` if the seed draws no fault of the selected
/// kinds in that time, and with `SystemFailure` if a process or a network is
/// not to be had.
Result<SoakReport> RunSoak(SoakOptions const& aOptions);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_HPP_INCLUDED
