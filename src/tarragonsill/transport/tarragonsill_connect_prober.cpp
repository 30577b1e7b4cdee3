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
      return ConnectResult::Refused;
    case ECONNRESET:
      return ConnectResult::Reset;
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
    // Nothing was sent, so nothing is shown.
    attempt.mResult = ConnectResult::Stalled;
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
ConnectProber::UpdateAttempt(Attempt& aAttempt)
{
  if (aAttempt.mResult) {
    return;
  }
  pollfd pollEntry{ aAttempt.mSocket.Number(), POLLOUT, 0 };
  if (::poll(&pollEntry, 1, 0) <= 0) {
    return;
  }
  int error = 0;
  socklen_t size = sizeof(error);
  if (::getsockopt(pollEntry.fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0) {
    error = errno;
  }
  aAttempt.mResult = ResultOfError(error);
}

std::optional<ConnectResult>
ConnectProber::ResultOf(TimePoint aNow, Probe& aProbe)
{
  std::optional<ConnectResult> failure;
  for (auto& attempt : aProbe.mAttempts) {
    UpdateAttempt(attempt);
    if (attempt.mResult == ConnectResult::Accepted) {
      return ConnectResult::Accepted;
    }
    if (attempt.mResult && attempt.mResult != ConnectResult::NoAnswer) {
      failure = attempt.mResult;
    }
  }
  if (failure || aProbe.mDeadline == TimePoint{} || aNow < aProbe.mDeadline) {
    return failure;
  }
  bool const isHostSilent =
    !HasAnswered(aProbe.mHostChecks) && HasAnswered(mReference.mHostChecks);
  return isHostSilent ? ConnectResult::NoAnswer : ConnectResult::Stalled;
}

std::vector<ConnectProber::Attempt>
ConnectProber::CheckHost(Endpoint aAddress)
{
  Endpoint const closedPort{ aAddress.mAddress, kHostCheckPort };
  std::vector<Attempt> checks;
  checks.push_back(Connect(closedPort));
  checks.push_back(Connect(closedPort));
  return checks;
}

bool
ConnectProber::HasAnswered(std::vector<Attempt>& aHostChecks)
{
  return std::any_of(
    aHostChecks.begin(), aHostChecks.end(), [](Attempt& aCheck) {
      UpdateAttempt(aCheck);
      return aCheck.mResult && aCheck.mResult != ConnectResult::NoAnswer;
    });
}

void
ConnectProber::StartSecondAttempt(TimePoint aNow, Probe& aProbe)
{
  aProbe.mDeadline = aNow + kProbeTimeout - kSecondAttemptDelay;
  aProbe.mAttempts.push_back(Connect(aProbe.mAddress));
  aProbe.mHostChecks = CheckHost(aProbe.mAddress);
  if (mReference.mAddress && mReference.mHostChecks.empty()) {
    mReference.mHostChecks = CheckHost(*mReference.mAddress);
  }
}

void
ConnectProber::StartProbe(TimePoint aNow,
                          std::uint32_t aSlot,
                          Endpoint aAddress)
{
  Probe probe{ aSlot, aAddress, aNow, {}, {}, {} };
  probe.mAttempts.push_back(Connect(aAddress));
  mProbes.push_back(std::move(probe));
}

std::vector<ConnectProber::Result>
ConnectProber::Poll(TimePoint aNow)
{
  std::vector<Result> results;
  for (auto& probe : mProbes) {
    if (auto const result = ResultOf(aNow, probe)) {
      results.push_back({ probe.mSlot, *result });
      probe.mAttempts.clear();
      continue;
    }
    if (probe.mAttempts.size() == 1 &&
        aNow >= probe.mStartTime + kSecondAttemptDelay) {
      StartSecondAttempt(aNow, probe);
    }
  }
  std::erase_if(mProbes,
                [](Probe const& aProbe) { return aProbe.mAttempts.empty(); });
  return results;
}

} // namespace tarragonsill
