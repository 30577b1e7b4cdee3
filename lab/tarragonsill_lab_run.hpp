#ifndef TARRAGONSILL_LAB_RUN_HPP_INCLUDED
#define TARRAGONSILL_LAB_RUN_HPP_INCLUDED

#include "tarragonsill_lab_entries.hpp"
#include "tarragonsill_lab_events.hpp"
#include "tarragonsill_lab_report.hpp"

#include <string>
#include <vector>

/// A run of the lab: entry VM processes with stand-ins for callers, upstreams,
/// the fabric and the platform.
namespace tarragonsill::Lab {

struct RunOptions
{
  std::string mDeployment = "reykjavik";
  std::uint64_t mEntries = 6;
  double mSeconds = 5;
  std::uint64_t mSeed = 1;
  std::uint64_t mFlows = 1000;
  double mRate = 20; ///< Calls per second.
  double mLoss = 0;
  double mDuplicate = 0;
  double mReorder = 0;
  std::vector<Event> mEvents;
  RunNetwork mNetwork;
  std::string mProgram;   ///< Path of the `tarragonsill` program.
  std::string mDirectory; ///< Holds settings and logs; must exist.
  std::string mLogLevel = "info";
  bool mVerbose = false;
};

/// Builds the configuration of a deployment, with call addresses on the
/// loopback network. Fails with `NotFound` for an unknown name.
Result<Configuration> BuildDeployment(std::string const& aName,
                                      RunNetwork aNetwork);

/// Executes a run and returns its report, or the reason of the step that
/// failed.
Result<RunReport> ExecuteRun(RunOptions const& aOptions);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_RUN_HPP_INCLUDED
