#ifndef TARRAGONSILL_LAB_RUN_HPP_INCLUDED
#define TARRAGONSILL_LAB_RUN_HPP_INCLUDED

#include "tarragonsill_lab_entries.hpp"
#include "tarragonsill_lab_events.hpp"
#include "tarragonsill_lab_report.hpp"

#include <string>
#include <vector>

/// One run: entry VMs as real processes between the stand-ins.
namespace tarragonsill::Lab {

struct RunOptions
{
  std::string mDeployment = "reykjavik";
  std::uint64_t mEntries = 6;
  double mSeconds = 5;
  std::uint64_t mSeed = 1;
  std::uint64_t mFlows = 1000;
  double mRate = 20; ///< Calls a second.
  double mLoss = 0;
  double mDuplicate = 0;
  double mReorder = 0;
  std::vector<Event> mEvents;
  RunNetwork mNetwork;
  std::string mProgram;   ///< Path of the `tarragonsill` program.
  std::string mDirectory; ///< For settings and logs; must exist.
  std::string mLogLevel = "info";
  bool mVerbose = false;
};

/// The deployment of a run, with call addresses on the loopback network. The
/// reason is `NotFound`.
Result<Configuration> BuildDeployment(std::string const& aName,
                                      RunNetwork aNetwork);

/// Carries out a run; reasons as its parts give them.
Result<RunReport> ExecuteRun(RunOptions const& aOptions);

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_RUN_HPP_INCLUDED
