#include "tarragonsill/coordination/tarragonsill_decision_record.hpp"

namespace tarragonsill {

namespace {

char const*
Sentence(DecisionKind aKind)
{
  switch (aKind) {
    case DecisionKind::AdmittedHashChoice:
      return "admit: admitted flow to its pure choice";
    case DecisionKind::AdmittedException:
      return "admit: admitted flow as a tracked exception";
    case DecisionKind::RefusedFull:
      return "admit: refused flow, upstream is at its limit";
    case DecisionKind::RefusedCold:
      return "admit: refused flow, upstream is warming up";
    case DecisionKind::RefusedNoLease:
      return "admit: refused flow, no lease on the upstream";
    case DecisionKind::NoCapacity:
      return "steer: dropped new flow, no upstream has room";
    case DecisionKind::ExceptionRecorded:
      return "steer: recorded exception for flow";
    case DecisionKind::FlowFound:
      return "steer: found established flow in the home chain";
    case DecisionKind::FlowInferred:
      return "steer: no home has a record, so the flow is at its pure choice";
    case DecisionKind::FlowGuessed:
      return "steer: sent one packet to the pure choice, as no home has a "
             "record of the flow";
    case DecisionKind::FlowUnknown:
      return "steer: dropped packet of an unknown flow";
  }
  return "steer: undefined decision";
}

} // namespace

std::string
ToLogLine(DecisionRecord const& aRecord)
{
  std::string line = Sentence(aRecord.mKind);
  line += " flow=" + ToText(aRecord.mFlow.mCaller) + ">" +
          ToText(aRecord.mFlow.mService);
  if (aRecord.mUpstream.mPort != 0) {
    line += " upstream=" + ToText(aRecord.mUpstream);
  }
  return line;
}

} // namespace tarragonsill
