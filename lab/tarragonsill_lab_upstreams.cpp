#include "tarragonsill_lab_upstreams.hpp"

namespace tarragonsill::Lab {

namespace {

std::uint64_t
KeyOf(Endpoint aCaller)
{
  return (std::uint64_t{ aCaller.mAddress.mValue } << 16) | aCaller.mPort;
}

} // namespace

FlowUpstream::FlowUpstream(Upstream aUpstream,
                           std::uint32_t aService,
                           std::uint32_t aIndex,
                           FlowReport& aReport)
  : mUpstream(std::move(aUpstream))
  , mService(aService)
  , mIndex(aIndex)
  , mReport(aReport)
  , mWarmUp(mUpstream.mColdLimit.mConnections, mUpstream.mLimit.mConnections, 1)
{
}

void
FlowUpstream::DrainFrom(TimePoint aAccepted)
{
  mDrainSince = aAccepted;
  mDisturbed = true;
}

void
FlowUpstream::TurnCold()
{
  mWarmUp.TurnCold();
  mFirstShed.reset();
  mUnannounced = true;
  mDisturbed = true;
  for (auto& [caller, connection] : mConnections) {
    connection.mSinceCold = false;
  }
}

bool
FlowUpstream::Accept(TimePoint aNow, Endpoint aCaller)
{
  if (mDrainSince && aNow - *mDrainSince > kChangeAllowance) {
    ++mReport.mNewWorkAfterDrain;
  }
  if (mConnections.size() >= mUpstream.mLimit.mConnections) {
    ++mReport.mLimitExceeded;
    return false;
  }
  if (!mWarmUp.HasRoom()) {
    bool const signalled =
      mFirstShed && aNow - *mFirstShed > kColdSignalAllowance;
    if (!mUnannounced || signalled) {
      ++mReport.mLimitExceeded;
    }
    mFirstShed = mFirstShed.value_or(aNow);
    ++mReport.mRefusedByUpstream;
    return false;
  }
  mConnections[KeyOf(aCaller)] = Connection{};
  mWarmUp.Start();
  mWarmUp.Answer();
  ++mAccepted;
  return true;
}

std::vector<std::byte>
FlowUpstream::Answer(PacketView const& aPacket,
                     std::uint8_t aFlags,
                     Payload aPayload) const
{
  aPayload.mUpstream = mIndex;
  return BuildPacket(mUpstream.mAddress, aPacket.Source(), aFlags, aPayload);
}

std::optional<std::vector<std::byte>>
FlowUpstream::Handle(TimePoint aNow, PacketView const& aPacket)
{
  auto const payload = ReadPayload(aPacket);
  if (!payload) {
    ++mReport.mBadChecksums;
    return std::nullopt;
  }
  if (payload->mService != mService) {
    ++mReport.mPacketsToWrongService;
    return std::nullopt;
  }
  if (mZoneOutSince && aNow - *mZoneOutSince > kChangeAllowance) {
    ++mReport.mPacketsToRemovedZoneLate;
    return std::nullopt;
  }
  auto const key = KeyOf(aPacket.Source());
  auto const found = mConnections.find(key);
  if (aPacket.OpensFlow()) {
    bool const open =
      found != mConnections.end() || Accept(aNow, aPacket.Source());
    auto const flags =
      open ? TcpFlags::kSyn | TcpFlags::kAck : TcpFlags::kRst | TcpFlags::kAck;
    return Answer(aPacket, static_cast<std::uint8_t>(flags), *payload);
  }
  if (found == mConnections.end()) {
    if (mClosed.count(key) > 0) {
      bool const again = (aPacket.Flags() & TcpFlags::kFin) != 0;
      return again ? std::optional(Answer(
                       aPacket, TcpFlags::kFin | TcpFlags::kAck, *payload))
                   : std::nullopt;
    }
    return Answer(aPacket, TcpFlags::kRst, *payload);
  }
  if ((aPacket.Flags() & TcpFlags::kRst) != 0) {
    mConnections.erase(found);
    mClosed.insert(key);
    return std::nullopt;
  }
  if ((aPacket.Flags() & TcpFlags::kFin) != 0) {
    if (found->second.mSinceCold) {
      mWarmUp.End();
    }
    mConnections.erase(found);
    mClosed.insert(key);
    return Answer(aPacket, TcpFlags::kFin | TcpFlags::kAck, *payload);
  }
  return Answer(aPacket, TcpFlags::kAck, *payload);
}

} // namespace tarragonsill::Lab
