#ifndef TARRAGONSILL_MEMBER_HPP_INCLUDED
#define TARRAGONSILL_MEMBER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// What is known about one entry VM.
namespace tarragonsill {

/// The stage of an entry VM's life as it announces it itself.
enum class MemberStage : std::uint8_t
{
  Joining = 1, ///< Collects state; takes no decisions yet.
  Serving = 2,
  Leaving = 3, ///< Hands over; takes no decisions any more.
};

/// Whether an entry VM answers, as seen from here.
enum class MemberHealth : std::uint8_t
{
  Alive,
  Suspect, ///< Probes go unanswered; it may still refute.
  Failed,  ///< Unreachable; it may be down or cut off.
  Gone,    ///< Proved stopped: it left, or the platform removed its VM.
};

std::string_view ToText(MemberStage aStage);
std::string_view ToText(MemberHealth aHealth);

struct Member
{
  std::string mName;
  std::string mZone;
  Endpoint mControl; ///< UDP endpoint for control messages.
  Endpoint mData;    ///< UDP endpoint for packets.
  Endpoint mCalls;   ///< TCP endpoint for calls (gRPC).
  /// Rises with every start of the process, so that a restarted VM with the
  /// same address is not taken for the old one.
  std::uint64_t mIncarnation = 0;
  MemberStage mStage = MemberStage::Joining;
  MemberHealth mHealth = MemberHealth::Alive;
  /// When it was last found `Failed`, by this VM's clock.
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
