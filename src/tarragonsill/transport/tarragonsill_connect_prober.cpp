#include "tarragonsill/transport/tarragonsill_connect_prober.hpp"

#include "tarragonsill/transport/tarragonsill_socket_address.hpp"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace tarragonsill {

namespace {

ConnectResult
ResultOfError(int aError)
{
  switch (aError) {
    case 0:
      return ConnectResult::Accepted;
    case ECONNREFUSED:
    case ECONNRESET:
      return ConnectResult::Refused;
    default:
      return ConnectResult::NoAnswer;
  }
}

} // namespace

ConnectProber::Attempt
ConnectProber::Connect(Endpoint aAddress)
{
  Attempt attempt;
  attempt.mSocket = FileDescriptor(
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!attempt.mSocket.IsOpen()) {
    attempt.mResult = ConnectResult::NoAnswer;
    return attempt;
  }
  auto const address = ToSocketAddress(aAddress);
  auto const result = ::connect(attempt.mSocket.Number(),
                                reinterpret_cast<sockaddr const*>(&address),
                                sizeof(address));
  if (result == 0 || errno != EINPROGRESS) {
    attempt.mResult = ResultOfError(result == 0 ? 0 : errno);
  }
  return attempt;
}

void
ConnectProber::Update(Attempt& aAttempt)
{
  if (aAttempt.mResult) {
    return;
  }
  pollfd wanted{ aAttempt.mSocket.Number(), POLLOUT, 0 };
  if (::poll(&wanted, 1, 0) <= 0) {
    return;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(wanted.fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    error = errno;
  }
  aAttempt.mResult = ResultOfError(error);
}

std::optional<ConnectResult>
ConnectProber::ResultOf(TimePoint aNow, Asked& aAsked)
{
  bool isRefused = false;
  for (auto& attempt : aAsked.mAttempts) {
    Update(attempt);
    if (attempt.mResult == ConnectResult::Accepted) {
      return ConnectResult::Accepted;
    }
    isRefused = isRefused || attempt.mResult == ConnectResult::Refused;
  }
  if (isRefused) {
    return ConnectResult::Refused;
  }
  return aNow >= aAsked.mSince + kGiveUpAfter
           ? std::optional(ConnectResult::NoAnswer)
           : std::nullopt;
}

void
ConnectProber::Ask(TimePoint aNow, std::uint32_t aSlot, Endpoint aAddress)
{
  Asked asked{ aSlot, aAddress, aNow, {} };
  asked.mAttempts.push_back(Connect(aAddress));
  mAsked.push_back(std::move(asked));
}

std::vector<ConnectProber::Result>
ConnectProber::Poll(TimePoint aNow)
{
  std::vector<Result> results;
  for (auto& asked : mAsked) {
    if (auto const result = ResultOf(aNow, asked)) {
      results.push_back({ asked.mSlot, *result });
      asked.mAttempts.clear();
      continue;
    }
    if (asked.mAttempts.size() == 1 && aNow >= asked.mSince + kSecondAfter) {
      asked.mAttempts.push_back(Connect(asked.mAddress));
    }
  }
  std::erase_if(mAsked,
                [](Asked const& aAsked) { return aAsked.mAttempts.empty(); });
  return results;
}

} // namespace tarragonsill
