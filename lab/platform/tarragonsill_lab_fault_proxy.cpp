#include "tarragonsill_lab_fault_proxy.hpp"

#include "tarragonsill/transport/tarragonsill_socket_address.hpp"
#include "tarragonsill_lab_listener.hpp"

#include <array>
#include <cerrno>
#include <vector>

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>

namespace tarragonsill::Lab {

namespace {

constexpr milliseconds kPollInterval{ 10 };
constexpr std::size_t kChunkBytes = 65536;

void
SetNonBlocking(int aSocket)
{
  ::fcntl(aSocket, F_SETFL, ::fcntl(aSocket, F_GETFL) | O_NONBLOCK);
}

} // namespace

FaultProxy::FaultProxy(FileDescriptor aListener, Endpoint aTarget)
  : mListener(std::move(aListener))
  , mTarget(aTarget)
{
  mThread = std::thread([this] { Run(); });
}

FaultProxy::~FaultProxy()
{
  mStop = true;
  mThread.join();
}

Result<std::unique_ptr<FaultProxy>>
FaultProxy::Start(Endpoint aListen, Endpoint aTarget)
{
  auto listener = Listen(aListen);
  if (!listener) {
    return listener.LastReason();
  }
  return std::unique_ptr<FaultProxy>(new FaultProxy(listener.Take(), aTarget));
}

void
FaultProxy::CloseWithReset(FileDescriptor& aSocket)
{
  linger const noLinger{ 1, 0 };
  (void)::setsockopt(
    aSocket.Number(), SOL_SOCKET, SO_LINGER, &noLinger, sizeof(noLinger));
  aSocket = FileDescriptor();
}

void
FaultProxy::Accept()
{
  auto caller = AcceptConnection(mListener);
  if (!caller.IsOpen()) {
    return;
  }
  if (mMode == Mode::Refuse) {
    CloseWithReset(caller);
    return;
  }
  FileDescriptor target(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  auto const address = ToSocketAddress(mTarget);
  if (::connect(target.Number(),
                reinterpret_cast<sockaddr const*>(&address),
                sizeof(address)) != 0) {
    CloseWithReset(caller);
    return;
  }
  SetNonBlocking(caller.Number());
  SetNonBlocking(target.Number());
  auto& connection = mConnections.emplace_back();
  connection.mRequests = { caller.Number(), target.Number(), false, {} };
  connection.mAnswers = { target.Number(), caller.Number(), true, {} };
  connection.mCaller = std::move(caller);
  connection.mTarget = std::move(target);
}

bool
FaultProxy::Forward(Pipe& aPipe)
{
  auto const now = Clock::now();
  auto const mode = mMode.load();
  bool const isBlocked =
    mode == Mode::Silent || (mode == Mode::OneWay && aPipe.mIsAnswer);
  if (isBlocked) {
    return true;
  }
  std::array<char, kChunkBytes> buffer;
  auto const count =
    ::recv(aPipe.mFrom, buffer.data(), buffer.size(), MSG_DONTWAIT);
  if (count == 0 || (count < 0 && errno != EAGAIN)) {
    return false;
  }
  if (count > 0) {
    auto const delay = mode == Mode::Delay ? kDelay : milliseconds{ 0 };
    aPipe.mQueue.push_back(
      { std::string(buffer.data(), static_cast<std::size_t>(count)),
        now + delay });
  }
  while (!aPipe.mQueue.empty() && now >= aPipe.mQueue.front().mSendAt) {
    auto const& bytes = aPipe.mQueue.front().mBytes;
    if (::send(aPipe.mTo, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) {
      return false;
    }
    aPipe.mQueue.pop_front();
  }
  return true;
}

void
FaultProxy::ServeConnection(Connection& aConnection)
{
  if (!Forward(aConnection.mRequests) || !Forward(aConnection.mAnswers)) {
    aConnection.mHasEnded = true;
  }
}

void
FaultProxy::Run()
{
  while (!mStop) {
    std::vector<pollfd> descriptors{ { mListener.Number(), POLLIN, 0 } };
    for (auto const& connection : mConnections) {
      descriptors.push_back({ connection.mCaller.Number(), POLLIN, 0 });
      descriptors.push_back({ connection.mTarget.Number(), POLLIN, 0 });
    }
    // A blocked connection stays readable, so polling it would return
    // immediately.
    bool const isPassing = mMode == Mode::Pass;
    ::poll(descriptors.data(),
           isPassing ? descriptors.size() : 1,
           static_cast<int>(kPollInterval.count()));
    Accept();
    if (mReset.exchange(false)) {
      for (auto& connection : mConnections) {
        CloseWithReset(connection.mCaller);
        connection.mHasEnded = true;
      }
    }
    for (auto& connection : mConnections) {
      if (!connection.mHasEnded) {
        ServeConnection(connection);
      }
    }
    mConnections.remove_if(
      [](Connection const& aConnection) { return aConnection.mHasEnded; });
  }
}

} // namespace tarragonsill::Lab
