#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"

#include "tarragonsill/protocol/tarragonsill_load_report_message.hpp"

#include <utility>

namespace tarragonsill {

void
NodePeers::RecordObservations(
  TimePoint aNow,
  std::vector<UpstreamObservation> const& aObservations,
  Outbox& aOutbox)
{
  if (!mUsesLoadReports) {
    return;
  }
  UpdateServingVms();
  for (auto const& outgoing :
       mLoadExchange.RecordObservations(aNow, aObservations)) {
    auto const collector = mZoneControls.find(outgoing.mTo);
    if (collector != mZoneControls.end()) {
      AddLoadReport(collector->second, outgoing.mReport, aOutbox);
    }
  }
}

void
NodePeers::UpdateServingVms()
{
  if (std::exchange(mServingGeneration, mMembership.Generation()) ==
      mMembership.Generation()) {
    return;
  }
  mZoneControls.clear();
  std::vector<std::uint64_t> serving;
  for (auto const& member : ZoneMembers()) {
    mZoneControls[member.NameHash()] = member.mControl;
    if (member.IsServing()) {
      serving.push_back(member.NameHash());
    }
  }
  mLoadExchange.SetServingVms(std::move(serving));
}

void
NodePeers::HandleLoadReport(TimePoint aNow,
                            Member const& aFrom,
                            wire::LoadReport const& aMessage,
                            Outbox& aOutbox)
{
  mCounters.Add(Counter::LoadReportsReceived);
  auto report = ReadLoadReport(aMessage);
  if (!mUsesLoadReports || !report) {
    return;
  }
  if (auto const answer = mLoadExchange.Handle(
        aNow, { aFrom.NameHash(), aFrom.mIncarnation }, report.Take())) {
    AddLoadReport(aFrom.mControl, *answer, aOutbox);
  }
}

void
NodePeers::AddLoadReport(Endpoint aTo,
                         LoadReport const& aReport,
                         Outbox& aOutbox)
{
  *AddMessage(aOutbox, aTo).mutable_load_report() = ToWire(aReport);
  mCounters.Add(Counter::LoadReportsSent);
}

SharedLoadsPointer
NodePeers::TakeSharedLoads(TimePoint aNow)
{
  bool const isDue =
    mLoadExchange.Generation() != mLoadsGeneration || aNow >= mNextLoadsCheck;
  if (!mUsesLoadReports || !isDue) {
    return nullptr;
  }
  mLoadsGeneration = mLoadExchange.Generation();
  mNextLoadsCheck = aNow + LoadExchange::kMinPeriod;
  return std::make_shared<SharedLoads>(mLoadExchange.Build(aNow));
}

} // namespace tarragonsill
