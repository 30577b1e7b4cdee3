#ifndef TARRAGONSILL_LAB_FAULT_PROXY_HPP_INCLUDED
#define TARRAGONSILL_LAB_FAULT_PROXY_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"
#include "tarragonsill/transport/tarragonsill_file_descriptor.hpp"

#include <atomic>
#include <deque>
#include <list>
#include <memory>
#include <string>
#include <thread>

/// A TCP proxy on the loopback interface that injects faults into the
/// connections that it forwards.
namespace tarragonsill::Lab {

class FaultProxy
{
public:
  enum class Mode
  {
    Pass,
    Delay,  ///< Bytes are forwarded with a delay.
    Silent, ///< Neither direction is forwarded; connections stay open.
    OneWay, ///< Requests are forwarded, answers are not.
    Refuse, ///< New connections are reset immediately.
  };

  /// Listens at an address and forwards to a target. Fails with
  /// `SystemFailure`.
  static Result<std::unique_ptr<FaultProxy>> Start(Endpoint aListen,
                                                   Endpoint aTarget);
  ~FaultProxy();

  void SetMode(Mode aMode) { mMode = aMode; }
  /// Resets every open connection.
  void ResetAll() { mReset = true; }

private:
  static constexpr milliseconds kDelay{ 300 };

  struct Chunk
  {
    std::string mBytes;
    TimePoint mSendAt{};
  };
  /// One direction of a connection.
  struct Pipe
  {
    int mFrom = -1;
    int mTo = -1;
    bool mIsAnswer = false;
    std::deque<Chunk> mQueue;
  };
  struct Connection
  {
    FileDescriptor mCaller;
    FileDescriptor mTarget;
    Pipe mRequests;
    Pipe mAnswers;
    bool mHasEnded = false;
  };

  FaultProxy(FileDescriptor aListener, Endpoint aTarget);
  void Run();
  void Accept();
  void ServeConnection(Connection& aConnection);
  bool Forward(Pipe& aPipe);
  static void CloseWithReset(FileDescriptor& aSocket);

  FileDescriptor mListener;
  Endpoint mTarget;
  std::atomic<Mode> mMode{ Mode::Pass };
  std::atomic<bool> mReset{ false };
  std::atomic<bool> mStop{ false };
  std::list<Connection> mConnections;
  std::thread mThread;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_FAULT_PROXY_HPP_INCLUDED
