#include "tarragonsill_lab_flow_upstream.hpp"

namespace tarragonsill::Lab {

namespace {

std::uint64_t
CallerKey(Endpoint aCaller)
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
  , mSlowStart(mUpstream.mColdLimit.mConnections,
               mUpstream.mLimit.mConnections,
               1)
{
}

void
FlowUpstream::RecordDrain(TimePoint aAcceptedAt)
{
  mDrainAcceptedAt = aAcceptedAt;
  mIsAffectedByEvent = true;
}

void
FlowUpstream::BecomeCold()
{
  mSlowStart.BecomeCold();
  mFirstRefusedAt.reset();
  mIsColdUnannounced = true;
  mIsAffectedByEvent = true;
  for (auto& [caller, connection] : mConnections) {
    connection.mOpenedAfterColdStart = false;
  }
}

bool
FlowUpstream::Accept(TimePoint aNow, Endpoint aCaller)
{
  if (mDrainAcceptedAt && aNow - *mDrainAcceptedAt > kChangeAllowance) {
    ++mReport.mNewWorkAfterDrain;
  }
  if (mConnections.size() >= mUpstream.mLimit.mConnections) {
    ++mReport.mLimitExceeded;
    return false;
  }
  if (!mSlowStart.HasCapacity()) {
    bool const isSignalled =
      mFirstRefusedAt && aNow - *mFirstRefusedAt > kColdSignalAllowance;
    if (!mIsColdUnannounced || isSignalled) {
      ++mReport.mLimitExceeded;
    }
    mFirstRefusedAt = mFirstRefusedAt.value_or(aNow);
    ++mReport.mRefusedByUpstream;
    return false;
  }
  mConnections[CallerKey(aCaller)] = Connection{};
  mSlowStart.RecordStart();
  mSlowStart.RecordAnswer();
  ++mAcceptedConnections;
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
  if (mZoneOutAcceptedAt && aNow - *mZoneOutAcceptedAt > kChangeAllowance) {
    ++mReport.mPacketsToEvacuatedZoneLate;
    return std::nullopt;
  }
  auto const key = CallerKey(aPacket.Source());
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
      bool const isRetransmission = (aPacket.Flags() & TcpFlags::kFin) != 0;
      return isRetransmission
               ? std::optional(
                   Answer(aPacket, TcpFlags::kFin | TcpFlags::kAck, *payload))
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
    if (found->second.mOpenedAfterColdStart) {
      mSlowStart.RecordEnd();
    }
    mConnections.erase(found);
    mClosed.insert(key);
    return Answer(aPacket, TcpFlags::kFin | TcpFlags::kAck, *payload);
  }
  return Answer(aPacket, TcpFlags::kAck, *payload);
}

} // namespace tarragonsill::Lab
