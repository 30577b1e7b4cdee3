#ifndef TARRAGONSILL_MEMBER_HPP_INCLUDED
#define TARRAGONSILL_MEMBER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Members: the entry VMs of a deployment.
namespace tarragonsill {

/// The stage of an entry VM, as announced by itself.
enum class MemberStage : std::uint8_t
{
  Joining = 1, ///< Collects state; makes no decisions yet.
  Serving = 2,
  Leaving = 3, ///< Hands its state over; makes no more decisions.
};

/// The health of an entry VM, as observed by this VM.
enum class MemberHealth : std::uint8_t
{
  Alive,
  Suspect, ///< Does not answer probes; may still refute the suspicion.
  Failed,  ///< Unreachable: down or cut off.
  Gone,    ///< Certainly stopped: it left, or the platform removed it.
};

std::string_view ToText(MemberStage aStage);
std::string_view ToText(MemberHealth aHealth);

/// An entry VM, as known to this VM.
struct Member
{
  std::string mName;
  std::string mZone;
  Endpoint mControl; ///< UDP endpoint for control messages.
  Endpoint mData;    ///< UDP endpoint for packets.
  Endpoint mCalls;   ///< TCP endpoint for calls (gRPC).
  /// Increases with every start of the process, which distinguishes a restarted
  /// VM from its predecessor at the same address.
  std::uint64_t mIncarnation = 0;
  MemberStage mStage = MemberStage::Joining;
  MemberHealth mHealth = MemberHealth::Alive;
  /// When its health last became `Failed`, on this VM's clock.
  TimePoint mFailedAt{};

  std::uint64_t NameHash() const { return HashText(mName); }
  bool IsServing() const
  {
    return mStage == MemberStage::Serving &&
           (mHealth == MemberHealth::Alive || mHealth == MemberHealth::Suspect);
  }
};

} // namespace tarragonsill

#endif // TARRAGONSILL_MEMBER_HPP_INCLUDED
