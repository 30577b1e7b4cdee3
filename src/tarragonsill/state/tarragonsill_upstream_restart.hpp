#ifndef TARRAGONSILL_UPSTREAM_RESTART_HPP_INCLUDED
#define TARRAGONSILL_UPSTREAM_RESTART_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

/// A process of an upstream that may have ended, as entry VMs tell each other.
namespace tarragonsill {

struct UpstreamRestart
{
  std::string mUpstream;
  /// Identifies the process that may have ended; see
  /// `UpstreamRegistration::mStartMark`.
  std::int64_t mStartMark = 0;
  /// Whether the upstream runs again.
  bool mIsRunning = false;
  /// For how much longer its new process may be cold.
  milliseconds mRemainingColdTime{ 0 };
};

using UpstreamRestarts = std::vector<UpstreamRestart>;
using UpstreamRestartsPointer = std::shared_ptr<UpstreamRestarts const>;

} // namespace tarragonsill

#endif // TARRAGONSILL_UPSTREAM_RESTART_HPP_INCLUDED
