#include "tarragonsill_lab_run.hpp"

#include "deployments.hpp"
#include "tarragonsill_lab_event_runner.hpp"

#include <algorithm>

namespace tarragonsill::Lab {

namespace {

constexpr std::uint16_t kCallPort = 9443;
constexpr milliseconds kFinishTimeout{ 14000 };

} // namespace

Result<Configuration>
BuildDeployment(std::string const& aName, RunNetwork aNetwork)
{
  if (aName != "reykjavik" && aName != "amman") {
    return Reason{ ReasonCode::NotFound,
                   "deployment '" + aName +
                     "' is unknown; expected reykjavik or amman" };
  }
  auto configuration = aName == "amman"
                         ? Examples::AmmanDeployment().Build()
                         : Examples::ReykjavikDeployment().Build();
  if (!configuration) {
    return configuration.LastReason();
  }
  std::uint32_t number = 0;
  for (auto& service : configuration->mServices) {
    for (auto& upstream : service.mUpstreams) {
      auto const& zones = configuration->mZones;
      auto const zone =
        std::find_if(zones.begin(), zones.end(), [&](Zone const& aZone) {
          return aZone.mName == upstream.mZone;
        });
      auto const network =
        aNetwork.CallNetwork(static_cast<std::size_t>(zone - zones.begin()));
      upstream.mCallAddress = { { network.mAddress.mValue + ++number },
                                kCallPort };
    }
  }
  return configuration;
}

Result<RunReport>
ExecuteRun(RunOptions const& aOptions)
{
  auto configuration = BuildDeployment(aOptions.mDeployment, aOptions.mNetwork);
  if (!configuration) {
    return configuration.LastReason();
  }
  if (auto const valid = CheckEvents(aOptions.mEvents, *configuration);
      !valid) {
    return valid.LastReason();
  }
  RunEnvironment environment(aOptions, configuration.Take());
  if (auto const started = environment.Start(); !started) {
    return started.LastReason();
  }
  if (auto const ready = environment.WaitUntilServing(); !ready) {
    return ready.LastReason();
  }
  environment.mFabric->Start();
  environment.mLoad->Start();
  environment.mMonitor->Start();
  EventRunner events(environment);
  events.RunEvents();
  events.Join();
  environment.mLoad->Stop();
  environment.mFabric->Finish(kFinishTimeout);
  RunReport report;
  report.mEntries = environment.mMonitor->Finish();
  report.mFlows = environment.mFabric->Report();
  report.mCalls = environment.mLoad->Report();
  environment.mCallUpstreams->AddCountsTo(report.mCalls);
  return report;
}

} // namespace tarragonsill::Lab
