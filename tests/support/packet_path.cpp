#include "support/packet_path.hpp"

namespace tarragonsill::Test {

namespace {

constexpr Endpoint kService{ { 0xC6336401 }, 443 };

/// Delivers the copy of a packet to the core that records its exception.
void
DeliverCopy(CoreGroup& aGroup,
            std::size_t aFrom,
            PacketAction const& aAction,
            std::vector<std::byte> aPacket)
{
  auto const to = aGroup.IndexAt(aAction.mCopyPeer);
  bool const lost =
    to >= aGroup.Count() || !aGroup.IsRunning(to) || aGroup.IsCut(aFrom, to);
  if (lost) {
    return;
  }
  auto packet = PacketView::Parse(aPacket);
  (void)aGroup.At(to).mEngine.HandlePeer(
    aGroup.Now(), aAction.mCopyRoute, *packet);
}

} // namespace

std::vector<std::byte>
CallerPacket(std::uint32_t aCaller, std::uint8_t aFlags)
{
  return MakePacket(CallerAt(aCaller), kService, aFlags);
}

std::vector<std::byte>
AnswerPacket(Endpoint aUpstream, std::uint32_t aCaller, std::uint8_t aFlags)
{
  return MakePacket(aUpstream, CallerAt(aCaller), aFlags);
}

PacketPath
FollowPacket(CoreGroup& aGroup,
             std::size_t aFirst,
             std::vector<std::byte> aPacket)
{
  PacketPath result;
  auto current = aFirst;
  std::optional<Route> route;
  for (;; ++result.mHops) {
    result.mLastCore = current;
    if (current >= aGroup.Count() || !aGroup.IsRunning(current)) {
      return result;
    }
    auto packet = PacketView::Parse(aPacket);
    if (!packet) {
      return result;
    }
    auto& engine = aGroup.At(current).mEngine;
    auto const action = route ? engine.HandlePeer(aGroup.Now(), *route, *packet)
                              : engine.HandleFabric(aGroup.Now(), *packet);
    switch (action.mKind) {
      case ActionKind::Drop:
        result.mCause = action.mCause;
        return result;
      case ActionKind::Handled:
        return result;
      case ActionKind::ToFabric:
        DeliverCopy(aGroup, current, action, aPacket);
        result.mDelivered = true;
        result.mDestination = packet->Destination();
        result.mSource = packet->Source();
        return result;
      case ActionKind::ToPeer: {
        auto const next = aGroup.IndexAt(action.mPeer);
        if (aGroup.IsCut(current, next)) {
          return result;
        }
        current = next;
        route = action.mRoute;
      }
    }
  }
}

std::optional<Endpoint>
OpenFlow(CoreGroup& aGroup, std::size_t aFirst, std::uint32_t aCaller)
{
  auto const first =
    FollowPacket(aGroup, aFirst, CallerPacket(aCaller, TcpFlags::kSyn));
  if (!first.mDelivered) {
    return std::nullopt;
  }
  auto const answer = FollowPacket(
    aGroup,
    aFirst,
    AnswerPacket(first.mDestination, aCaller, TcpFlags::kSyn | TcpFlags::kAck));
  if (!answer.mDelivered) {
    return std::nullopt;
  }
  return first.mDestination;
}

} // namespace tarragonsill::Test
