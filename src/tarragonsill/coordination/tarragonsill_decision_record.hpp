#ifndef TARRAGONSILL_DECISION_RECORD_HPP_INCLUDED
#define TARRAGONSILL_DECISION_RECORD_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"

#include <cstdint>
#include <string>

/// A record of one steering or admission decision, for the log.
namespace tarragonsill {

enum class DecisionKind : std::uint8_t
{
  AdmittedHashChoice,
  AdmittedException,
  RefusedFull,
  RefusedCold,
  RefusedNoLease,
  NoCapacity,
  ExceptionRecorded,
  FlowFound,
  FlowInferred,
  FlowGuessed,
  FlowUnknown,
};

struct DecisionRecord
{
  DecisionKind mKind = DecisionKind::FlowUnknown;
  FlowKey mFlow;
  Endpoint mUpstream;
};

/// Formats a decision as one log line: a sentence with the prefix `admit:` or
/// `steer:`, then the flow and, if any, the upstream.
std::string ToLogLine(DecisionRecord const& aRecord);

} // namespace tarragonsill

#endif // TARRAGONSILL_DECISION_RECORD_HPP_INCLUDED
