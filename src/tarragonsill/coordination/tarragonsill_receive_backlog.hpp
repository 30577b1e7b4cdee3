#ifndef TARRAGONSILL_RECEIVE_BACKLOG_HPP_INCLUDED
#define TARRAGONSILL_RECEIVE_BACKLOG_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_time.hpp"

/// Bounds the age of datagrams that were read from a socket.
///
/// Datagrams that arrive while a VM is paused, or before its receive thread has
/// begun, wait in the socket's queue, and nothing in them shows when they were
/// sent. The bound follows from the times at which the queue was read.
namespace tarragonsill {

class ReceiveBacklog
{
public:
  /// Time since boot, which includes time in which the VM was suspended.
  using BootTime = std::chrono::nanoseconds;

  /// All that a socket's buffer holds has been read this long after a pause,
  /// even if datagrams keep arriving as fast as they are read.
  static constexpr milliseconds kMaxBacklogTime{ 1400 };

  /// `aBoundAt` is a time before the socket was bound. Reads further apart than
  /// `aPauseThreshold` mean that the VM was paused or the thread was starved.
  ReceiveBacklog(BootTime aBoundAt, milliseconds aPauseThreshold)
    : mPauseThreshold(aPauseThreshold)
    , mLastRead(aBoundAt)
    , mQueuedSince(aBoundAt)
  {
  }

  /// Records a read that began and ended at the given times, and whether it
  /// emptied the queue. Returns whether there was a pause since the read before
  /// it.
  bool RecordRead(BootTime aStart, BootTime aEnd, bool aIsEmptied);

  /// The maximum age of the datagrams of the last read at the given time. Under
  /// a load that no read keeps up with, only the time since the read before
  /// that is known.
  Duration MaxAge(BootTime aNow) const { return aNow - mQueuedSince; }

private:
  milliseconds mPauseThreshold;
  BootTime mLastRead;    ///< When the last read ended.
  BootTime mQueuedSince; ///< No datagram of the last read came before this.
  BootTime mPausedAt{};  ///< When the last pause began, at the earliest.
  BootTime mResumedAt{};
  bool mHasBacklog = false;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_RECEIVE_BACKLOG_HPP_INCLUDED
