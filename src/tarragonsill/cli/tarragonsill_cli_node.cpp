#include "tarragonsill/cli/tarragonsill_cli.hpp"

#include "tarragonsill/platform/tarragonsill_platform_settings.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"
#include "tarragonsill/transport/tarragonsill_node_daemon.hpp"

#include <csignal>
#include <cstdlib>
#include <iostream>

#include <pthread.h>

namespace tarragonsill {

namespace {

/// Reads and checks the settings; the reason holds every fault.
Result<NodeSettings>
LoadNodeSettings(std::string const& aFile)
{
  auto const text = ReadFile(aFile);
  if (!text) {
    return text.LastReason();
  }
  FileFaults faults(aFile);
  auto settings = Platform::ReadNodeSettings(*text, faults);
  if (settings) {
    return std::move(*settings);
  }
  std::string all;
  for (auto const& fault : faults.All()) {
    all += (all.empty() ? "" : "\n") + fault.ToText();
  }
  return Reason{ ReasonCode::Invalid, all };
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

} // namespace

int
RunNode(std::string const& aSettingsFile, std::uint16_t aMetricsPort)
{
  // A reload that comes while the process starts must not end it.
  auto const signals = BlockSignals();
  auto file = aSettingsFile;
  if (file.empty()) {
    auto const* named = std::getenv(Platform::kSettingsVariable);
    file = named == nullptr ? "" : named;
  }
  auto settings = LoadNodeSettings(file);
  if (!settings) {
    std::cerr << settings.LastReason().mText << '\n';
    return settings.LastReason().mCode == ReasonCode::Invalid
             ? ExitStatus::kRefused
             : ExitStatus::kTrouble;
  }
  if (aMetricsPort != 0) {
    settings.Value().mMetrics.mPort = aMetricsPort;
  }
  ConfigureStructuredLog();
  auto daemon = NodeDaemon::Start(settings.Take());
  if (!daemon) {
    std::cerr << daemon.LastReason().mText << '\n';
    return ExitStatus::kTrouble;
  }
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
    if (signal != SIGHUP) {
      break;
    }
    auto const changed = LoadNodeSettings(file);
    if (changed) {
      daemon.Value()->Reload(*changed);
    } else {
      LogError("entry: settings were not reloaded: " +
               changed.LastReason().mText);
    }
  }
  daemon.Value()->Leave();
  return ExitStatus::kOk;
}

} // namespace tarragonsill
