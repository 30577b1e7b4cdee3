#include "tarragonsill/coordination/tarragonsill_early_packets.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace tarragonsill {

namespace {

/// The time to the next copy of an opening packet, and to the end of the
/// attempt, less 50 ms for delays in transit (operators' platform).
constexpr std::array<milliseconds, 3> kOpeningWaits = {
  milliseconds{ 150 },
  milliseconds{ 350 },
  milliseconds{ 750 },
};
/// The longest retransmission interval of callers.
constexpr milliseconds kMaxRetransmissionInterval{ 1600 };

} // namespace

Duration
EarlyPackets::MaxWait(FlowPacket const& aPacket, Duration aMaxAge)
{
  if (!aPacket.mOpens) {
    return kMaxRetransmissionInterval;
  }
  auto const copy = std::min<std::size_t>(aPacket.mOpeningRetransmissions,
                                          kOpeningWaits.size() - 1);
  return std::max(Duration{ 0 }, kOpeningWaits.at(copy) - aMaxAge);
}

bool
EarlyPackets::Keep(TimePoint aNow,
                   Duration aMaxWait,
                   std::span<std::byte const> aBytes)
{
  if (aMaxWait <= Duration{ 0 } || mBytes + aBytes.size() > kMaxBytes) {
    return false;
  }
  mPackets.push_back({ aNow + aMaxWait, { aBytes.begin(), aBytes.end() } });
  mBytes += aBytes.size();
  return true;
}

std::vector<EarlyPackets::Bytes>
EarlyPackets::TakeExpired(TimePoint aNow)
{
  std::vector<Bytes> expired;
  for (auto& packet : mPackets) {
    if (aNow < packet.mExpiresAt) {
      continue;
    }
    mBytes -= packet.mBytes.size();
    expired.push_back(std::move(packet.mBytes));
  }
  std::erase_if(mPackets, [&](Packet const& aPacket) {
    return aNow >= aPacket.mExpiresAt;
  });
  return expired;
}

std::vector<EarlyPackets::Bytes>
EarlyPackets::TakeAll()
{
  return TakeExpired(TimePoint::max());
}

} // namespace tarragonsill
