#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"

#include "tarragonsill/coordination/tarragonsill_restart_relay.hpp"

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

} // namespace tarragonsill
