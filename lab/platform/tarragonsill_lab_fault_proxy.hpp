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

/// A loopback proxy for TCP that harms the connections through it.
namespace tarragonsill::Lab {

class FaultProxy
{
public:
  enum class Mode
  {
    Pass,
    Delay,  ///< Bytes arrive later.
    Silent, ///< Nothing passes, either way; connections stay open.
    OneWay, ///< Requests pass, answers do not.
    Refuse, ///< Connections are closed as soon as they are made.
  };

  /// The reason is `SystemFailure`.
  static Result<std::unique_ptr<FaultProxy>> Start(Endpoint aListen,
                                                   Endpoint aTarget);
  ~FaultProxy();

  void SetMode(Mode aMode) { mMode = aMode; }
  /// Ends every connection with a reset.
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
