#include "tarragonsill/transport/tarragonsill_reach_prober.hpp"

#include "tarragonsill/transport/tarragonsill_socket_address.hpp"

#include <algorithm>
#include <cerrno>

#include <poll.h>
#include <sys/socket.h>

namespace tarragonsill {

namespace {

ReachAnswer
AnswerOfError(int aError)
{
  switch (aError) {
    case 0:
      return ReachAnswer::Accepted;
    case ECONNREFUSED:
    case ECONNRESET:
      return ReachAnswer::Refused;
    default:
      return ReachAnswer::None;
  }
}

} // namespace

ReachProber::Attempt
ReachProber::Connect(Endpoint aAddress)
{
  Attempt attempt;
  attempt.mSocket = FileDescriptor(
    ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  if (!attempt.mSocket.IsOpen()) {
    attempt.mAnswer = ReachAnswer::None;
    return attempt;
  }
  auto const address = ToSocketAddress(aAddress);
  auto const result = ::connect(attempt.mSocket.Number(),
                                reinterpret_cast<sockaddr const*>(&address),
                                sizeof(address));
  if (result == 0 || errno != EINPROGRESS) {
    attempt.mAnswer = AnswerOfError(result == 0 ? 0 : errno);
  }
  return attempt;
}

void
ReachProber::Update(Attempt& aAttempt)
{
  if (aAttempt.mAnswer) {
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
  aAttempt.mAnswer = AnswerOfError(error);
}

std::optional<ReachAnswer>
ReachProber::AnswerOf(TimePoint aNow, Asked& aAsked)
{
  bool isRefused = false;
  for (auto& attempt : aAsked.mAttempts) {
    Update(attempt);
    if (attempt.mAnswer == ReachAnswer::Accepted) {
      return ReachAnswer::Accepted;
    }
    isRefused = isRefused || attempt.mAnswer == ReachAnswer::Refused;
  }
  if (isRefused) {
    return ReachAnswer::Refused;
  }
  return aNow >= aAsked.mSince + kGiveUpAfter ? std::optional(ReachAnswer::None)
                                              : std::nullopt;
}

void
ReachProber::Ask(TimePoint aNow, std::uint32_t aSlot, Endpoint aAddress)
{
  Asked asked{ aSlot, aAddress, aNow, {} };
  asked.mAttempts.push_back(Connect(aAddress));
  mAsked.push_back(std::move(asked));
}

std::vector<ReachProber::Result>
ReachProber::Poll(TimePoint aNow)
{
  std::vector<Result> results;
  for (auto& asked : mAsked) {
    if (auto const answer = AnswerOf(aNow, asked)) {
      results.push_back({ asked.mSlot, *answer });
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
