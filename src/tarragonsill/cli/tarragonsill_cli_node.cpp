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

/// The platform may change the settings file without sending a signal.
constexpr milliseconds kSettingsPollPeriod{ 2000 };

/// Parses the text of a settings file. The reason says why the file could not
/// be read, or lists all its errors.
Result<NodeSettings>
ParseNodeSettings(std::string const& aFile,
                  Result<std::string> const& aText,
                  NodeOptions const& aOptions)
{
  if (!aText) {
    return aText.LastReason();
  }
  FileErrors errors(aFile);
  auto settings = Platform::ReadNodeSettings(*aText, errors);
  if (settings) {
    if (aOptions.mMetricsPort != 0) {
      settings->mMetrics.mPort = aOptions.mMetricsPort;
    }
    if (!settings->mMaxHedgeShare) {
      settings->mMaxHedgeShare = aOptions.mMaxHedgeShare;
    }
    return std::move(*settings);
  }
  return Reason{ ReasonCode::Invalid, errors.ToText() };
}

sigset_t
BlockSignals()
{
  // All threads inherit the mask, so that only `sigtimedwait` receives the
  // signals.
  sigset_t signals;
  sigemptyset(&signals);
  for (int const signal : { SIGTERM, SIGINT, SIGHUP }) {
    sigaddset(&signals, signal);
  }
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  // Writing to a connection that a peer closed must not end the process.
  (void)std::signal(SIGPIPE, SIG_IGN);
  return signals;
}

/// Waits for a signal; returns nothing after the timeout.
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

/// Applies changed settings, on SIGHUP or when the file changes, until the
/// process receives SIGTERM or SIGINT.
void
FollowSettings(NodeDaemon& aDaemon,
               std::string const& aFile,
               Result<std::string> aLastText,
               NodeOptions const& aOptions,
               sigset_t const& aSignals)
{
  while (true) {
    auto const signal = NextSignal(aSignals, kSettingsPollPeriod);
    if (signal && *signal != SIGHUP) {
      return;
    }
    auto const text = ReadFile(aFile);
    bool const isSame = text && aLastText && *text == *aLastText;
    bool const isStillUnreadable = !text && !aLastText;
    if (!signal && (isSame || isStillUnreadable)) {
      continue;
    }
    aLastText = text;
    auto const changed = ParseNodeSettings(aFile, text, aOptions);
    if (changed) {
      aDaemon.Reload(*changed);
      continue;
    }
    aDaemon.LogReloadError(changed.LastReason());
  }
}

} // namespace

int
RunNode(std::string const& aSettingsFile, NodeOptions const& aOptions)
{
  auto const mechanisms = Mechanisms::Without(aOptions.mWithout);
  if (!mechanisms) {
    std::cerr << "--without: " << mechanisms.LastReason().mText << '\n';
    return ExitStatus::kRefused;
  }
  // A SIGHUP during the start must not end the process.
  auto const signals = BlockSignals();
  auto file = aSettingsFile;
  if (file.empty()) {
    auto const* named = std::getenv(Platform::kSettingsVariable);
    file = named == nullptr ? "" : named;
  }
  auto text = ReadFile(file);
  auto settings = ParseNodeSettings(file, text, aOptions);
  if (!settings) {
    std::cerr << settings.LastReason().mText << '\n';
    return settings.LastReason().mCode == ReasonCode::Invalid
             ? ExitStatus::kRefused
             : ExitStatus::kFailure;
  }
  settings->mMechanisms = *mechanisms;
  ConfigureStructuredLog();
  auto daemon = NodeDaemon::Start(settings.Take());
  if (!daemon) {
    std::cerr << daemon.LastReason().mText << '\n';
    return ExitStatus::kFailure;
  }
  FollowSettings(*daemon.Value(), file, std::move(text), aOptions, signals);
  daemon.Value()->Leave();
  return ExitStatus::kOk;
}

} // namespace tarragonsill
