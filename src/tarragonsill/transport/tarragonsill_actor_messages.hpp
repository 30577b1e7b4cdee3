#ifndef TARRAGONSILL_ACTOR_MESSAGES_HPP_INCLUDED
#define TARRAGONSILL_ACTOR_MESSAGES_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_call_ledger.hpp"
#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"
#include "tarragonsill/coordination/tarragonsill_slot_ledger.hpp"

#include <memory>
#include <string>
#include <vector>

#include <caf/all.hpp>

/// Messages between the actors of one entry VM. They never leave the process.
namespace tarragonsill {

/// A parsed control datagram from a peer.
struct DatagramReceived
{
  std::shared_ptr<wire::PeerMessage const> mMessage;
  Duration mMaxAge{ 0 }; ///< How long it was queued here at most.
};

/// A configuration that was fetched from the platform or from a peer.
struct ConfigurationReceived
{
  std::shared_ptr<Configuration const> mConfiguration;
  std::string mText;
  std::string mSource;
};

/// The list of VMs that was read from the platform.
struct VmListReceived
{
  std::vector<PlatformVm> mVms;
};

/// The state by which calls are placed and admitted.
struct CallView
{
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
  std::shared_ptr<Configuration const> mConfiguration;
  std::shared_ptr<AdmissionLeases const> mLeases;
};

/// Asks a call's home whether an attempt may run.
struct BeginCall
{
  std::string mCallId;
  std::uint32_t mAttempt = 1;
};

struct CallDecision
{
  CallVerdict mVerdict = CallVerdict::Uncertain;
  /// Whether this entry VM is currently not the call's home.
  bool mNotHome = false;
  std::shared_ptr<CallResult const> mResult;
};

/// Reads a call's state without changing its record.
struct ReadCallState
{
  std::string mCallId;
};

/// The state of a call at its home; no result if none is recorded yet.
struct CallState
{
  bool mRunning = false;
  std::shared_ptr<CallResult const> mResult;
};

/// Records the outcome of a call that was allowed to run.
struct FinishCall
{
  std::string mCallId;
  std::shared_ptr<CallResult const> mResult;
};

/// A query of another home that is about to run a repeated attempt.
struct QueryCall
{
  std::string mCallId;
};

struct QueryDecision
{
  CallLedger::QueryVerdict mVerdict = CallLedger::QueryVerdict::Uncertain;
  std::shared_ptr<CallResult const> mResult;
};

/// Requests a slot at an upstream for one call.
struct AdmitSlot
{
  Endpoint mUpstream;
  std::uint32_t mPriority = 0;
};

/// How a call that had a slot at an upstream ended.
enum class SlotOutcome : std::uint8_t
{
  Answered,
  Refused,
  Unsent,
  Cancelled,
};

/// Releases the slot of a call that ended.
struct ReleaseSlot
{
  Endpoint mUpstream;
  SlotOutcome mOutcome = SlotOutcome::Unsent;
};

} // namespace tarragonsill

CAF_BEGIN_TYPE_ID_BLOCK(tarragonsill, first_custom_type_id)
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::DatagramReceived))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::ConfigurationReceived))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::VmListReceived))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::CallView))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::BeginCall))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::CallDecision))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::ReadCallState))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::CallState))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::FinishCall))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::QueryCall))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::QueryDecision))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::AdmitSlot))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::SlotAdmission))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::ReleaseSlot))
CAF_ADD_TYPE_ID(tarragonsill, (tarragonsill::Member))
CAF_ADD_ATOM(tarragonsill, tarragonsill, TickAtom, "tick")
CAF_ADD_ATOM(tarragonsill, tarragonsill, LeaveAtom, "leave")
CAF_END_TYPE_ID_BLOCK(tarragonsill)

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::DatagramReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::ConfigurationReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::VmListReceived)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::CallView)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::BeginCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::CallDecision)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::ReadCallState)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::CallState)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::FinishCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::QueryCall)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::QueryDecision)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::AdmitSlot)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::SlotAdmission)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::ReleaseSlot)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(tarragonsill::Member)

#endif // TARRAGONSILL_ACTOR_MESSAGES_HPP_INCLUDED
