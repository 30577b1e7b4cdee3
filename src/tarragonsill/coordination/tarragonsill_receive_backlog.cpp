#include "tarragonsill/coordination/tarragonsill_receive_backlog.hpp"

namespace tarragonsill {

bool
ReceiveBacklog::RecordRead(BootTime aStart, BootTime aEnd, bool aIsEmptied)
{
  bool const wasPaused = aEnd > mLastRead + mPauseThreshold;
  if (wasPaused) {
    mPausedAt = mHasBacklog ? mPausedAt : mLastRead;
    mResumedAt = aEnd;
    mHasBacklog = true;
  }
  mHasBacklog = mHasBacklog && aEnd <= mResumedAt + kMaxBacklogTime;
  // A datagram that arrives during a read ends the wait for it at once.
  mQueuedSince = mHasBacklog ? mPausedAt : aEnd - (aStart - mLastRead);
  mHasBacklog = mHasBacklog && !aIsEmptied;
  mLastRead = aEnd;
  return wasPaused;
}

} // namespace tarragonsill
