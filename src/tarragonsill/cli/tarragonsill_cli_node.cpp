#include "tarragonsill/cli/tarragonsill_cli.hpp"

#include "tarragonsill/platform/tarragonsill_platform_settings.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"
#include "tarragonsill/transport/tarragonsill_node_daemon.hpp"

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <optional>

#include <pthread.h>

namespace tarragonsill {

namespace {

/// The settings file may change without any signal (platform).
constexpr milliseconds kLookPeriod{ 2000 };

/// Checks the text of a settings file, if it could be read; the reason holds
/// every fault.
Result<NodeSettings>
ParseNodeSettings(std::string const& aFile,
                  Result<std::string> const& aText,
                  std::uint16_t aMetricsPort)
{
  if (!aText) {
    return aText.LastReason();
  }
  FileErrors errors(aFile);
  auto settings = Platform::ReadNodeSettings(*aText, errors);
  if (settings) {
    if (aMetricsPort != 0) {
      settings->mMetrics.mPort = aMetricsPort;
    }
    return std::move(*settings);
  }
  return Reason{ ReasonCode::Invalid, errors.ToText() };
}

sigset_t
BlockSignals()
{
  // Every thread inherits the mask, so that only `sigwait` sees the signals.
  sigset_t signals;
  sigemptyset(&signals);
  for (int const signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // A peer that closes its connection must not end the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Waits for a signal; nothing if none came in time.
std::optional<int>
NextSignal(sigset_t const& aSignals, milliseconds aTimeout)
{
  constexpr long kNanosecondsPerMillisecond = 1'000'000;
  auto const whole = std::chrono::duration_cast<seconds>(aTimeout);
  timespec const time{
    whole.count(), (aTimeout - whole).count() * kNanosecondsPerMillisecond
  };
  int const signal = ::sigtimedwait(&aSignals, nullptr, &time);
  return signal > 0 ? std::optional(signal) : std::nullopt;
}

/// Takes over settings as they change, announced or not, until the process is
/// asked to leave.
void
FollowSettings(NodeDaemon& aDaemon,
               std::string const& aFile,
               Result<std::string> aKnown,
               std::uint16_t aMetricsPort,
               sigset_t const& aSignals)
{
  while (true) {
    auto const signal = NextSignal(aSignals, kLookPeriod);
    if (signal && *signal != SIGHUP) {
      return;
    }
    auto const text = ReadFile(aFile);
    bool const isSame = text && aKnown && *text == *aKnown;
    bool const isStillUnreadable = !text && !aKnown;
    if (!signal && (isSame || isStillUnreadable)) {
      continue;
    }
    aKnown = text;
    auto const changed = ParseNodeSettings(aFile, text, aMetricsPort);
    if (changed) {
      aDaemon.Reload(*changed);
      continue;
    }
    aDaemon.LogReloadError(changed.LastReason());
  }
}

} // namespace

int
RunNode(std::string const& aSettingsFile,
        std::uint16_t aMetricsPort,
        std::vector<std::string> const& aWithout)
{
  auto const mechanisms = Mechanisms::Without(aWithout);
  if (!mechanisms) {
    std::cerr << "--without: " << mechanisms.LastReason().mText << '\n';
    return ExitStatus::kRefused;
  }
  // A reload that comes while the process starts must not end it.
  auto const signals = BlockSignals();
  auto file = aSettingsFile;
  if (file.empty()) {
    auto const* named = std::getenv(Platform::kSettingsVariable);
    file = named == nullptr ? "" : named;
  }
  auto text = ReadFile(file);
  auto settings = ParseNodeSettings(file, text, aMetricsPort);
  if (!settings) {
    std::cerr << settings.LastReason().mText << '\n';
    return settings.LastReason().mCode == ReasonCode::Invalid
             ? ExitStatus::kRefused
             : ExitStatus::kTrouble;
  }
  settings->mMechanisms = *mechanisms;
  ConfigureStructuredLog();
  auto daemon = NodeDaemon::Start(settings.Take());
  if (!daemon) {
    std::cerr << daemon.LastReason().mText << '\n';
    return ExitStatus::kTrouble;
  }
  FollowSettings(*daemon.Value(), file, std::move(text), aMetricsPort, signals);
  daemon.Value()->Leave();
  return ExitStatus::kOk;
}

} // namespace tarragonsill
