#include "tarragonsill/coordination/tarragonsill_early_packets.hpp"

#include <utility>

namespace tarragonsill {

bool
EarlyPackets::Keep(TimePoint aNow, std::span<std::byte const> aBytes)
{
  if (mBytes + aBytes.size() > kMaxBytes) {
    return false;
  }
  mPackets.push_back({ aNow, { aBytes.begin(), aBytes.end() } });
  mBytes += aBytes.size();
  return true;
}

std::vector<EarlyPackets::Bytes>
EarlyPackets::TakeExpired(TimePoint aNow)
{
  std::vector<Bytes> expired;
  while (!IsEmpty() && aNow >= mPackets.front().mArrivedAt + kMaxWait) {
    expired.push_back(TakeFirst());
  }
  return expired;
}

std::vector<EarlyPackets::Bytes>
EarlyPackets::TakeAll()
{
  std::vector<Bytes> all;
  while (!IsEmpty()) {
    all.push_back(TakeFirst());
  }
  return all;
}

EarlyPackets::Bytes
EarlyPackets::TakeFirst()
{
  auto bytes = std::move(mPackets.front().mBytes);
  mBytes -= bytes.size();
  mPackets.pop_front();
  return bytes;
}

} // namespace tarragonsill
