#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"

#include "tarragonsill/coordination/tarragonsill_restart_relay.hpp"

#include <algorithm>

namespace tarragonsill {

void
NodePeers::ReportRestart(UpstreamRestart const& aRestart,
                         std::string const& aZone,
                         Outbox& aOutbox)
{
  for (auto const& member : RestartRelay::Recipients(mMembership.Members(),
                                                     mMembership.Self().mName,
                                                     aRestart.mUpstream,
                                                     aZone)) {
    auto& restart =
      *AddMessage(aOutbox, member.mControl).mutable_restarts()->Add();
    restart.set_name(aRestart.mUpstream);
    restart.set_start_mark(aRestart.mStartMark);
    restart.set_running(aRestart.mIsRunning);
    restart.set_cold_left_ms(
      static_cast<std::uint32_t>(aRestart.mRemainingColdTime.count()));
  }
}

void
NodePeers::ReportHeldOpenings(TimePoint aNow,
                              HeldOpenings const& aOpenings,
                              Outbox& aOutbox)
{
  // A datagram that is not fragmented has room for them.
  constexpr std::size_t kPerMessage = 16;
  for (auto const& member : ZoneMembers()) {
    if (member.mName == mMembership.Self().mName ||
        member.mHealth == MemberHealth::Gone) {
      continue;
    }
    for (std::size_t first = 0; first < aOpenings.size();
         first += kPerMessage) {
      if (!mHeldOpeningsBudget.Take(aNow)) {
        return;
      }
      auto& message = AddMessage(aOutbox, member.mControl);
      auto const end = std::min(aOpenings.size(), first + kPerMessage);
      for (auto index = first; index < end; ++index) {
        auto const& opening = aOpenings[index];
        auto& held = *message.mutable_held_openings()->Add();
        held.set_packet(opening.mPacket.data(), opening.mPacket.size());
        held.set_cookie(opening.mCookie);
      }
    }
  }
}

} // namespace tarragonsill
