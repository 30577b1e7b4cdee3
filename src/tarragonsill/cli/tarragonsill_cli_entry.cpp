#include "tarragonsill/cli/tarragonsill_cli.hpp"

#include "tarragonsill/platform/tarragonsill_platform_settings.hpp"
#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"
#include "tarragonsill/protocol/tarragonsill_settings.hpp"
#include "tarragonsill/transport/tarragonsill_entry_daemon.hpp"
#include "tarragonsill/transport/tarragonsill_log.hpp"

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>

#include <nlohmann/json.hpp>
#include <pthread.h>

namespace tarragonsill {

namespace {

constexpr milliseconds kLeaveTimeout{ 15000 };

void
PrintErrors(FileErrors const& aErrors, bool aJson)
{
  auto list = nlohmann::json::array();
  for (auto const& error : aErrors.All()) {
    if (!aJson) {
      std::cerr << error.ToText() << '\n';
      continue;
    }
    list.push_back({ { "file", error.mFile },
                     { "line", error.mLine },
                     { "key", error.mKey },
                     { "expected", error.mExpected } });
  }
  if (aJson) {
    std::cout << nlohmann::json{ { "faults", list } }.dump() << '\n';
  }
}

/// Whether the text is a settings file. Only settings have a top-level key
/// `entry`.
bool
IsSettingsText(std::string const& aText)
{
  YamlErrors ignored("");
  auto const root = LoadYaml(aText, ignored);
  if (!root || !root->IsMap()) {
    return false;
  }
  YAML::Node const& constant = *root;
  return constant["entry"].IsDefined();
}

/// Reloads the settings file. If it has errors, the settings stay as they are.
void
Reload(std::string const& aSettingsFile, EntryDaemon& aDaemon)
{
  auto const text = ReadFile(aSettingsFile);
  YamlErrors errors(aSettingsFile);
  auto const settings =
    text ? ReadSettings(*text, errors) : std::optional<Settings>();
  if (settings) {
    aDaemon.Reload(*settings);
    return;
  }
  LogError("entry: settings were not reloaded");
  for (auto const& error : errors.All()) {
    LogError("entry: " + error.ToText());
  }
}

} // namespace

Result<std::string>
ReadFile(std::string const& aFile)
{
  std::ifstream input(aFile, std::ios::binary);
  if (!input) {
    return Reason{ ReasonCode::NotFound, aFile + ": cannot be read" };
  }
  std::ostringstream text;
  text << input.rdbuf();
  return text.str();
}

int
CheckFile(std::string const& aFile, bool aJson)
{
  auto const text = ReadFile(aFile);
  if (!text) {
    std::cerr << text.LastReason().mText << '\n';
    return ExitStatus::kFailure;
  }
  YamlErrors errors(aFile);
  bool const valid = aFile.ends_with(".toml")
                       ? Platform::ReadNodeSettings(*text, errors).has_value()
                     : IsSettingsText(*text)
                       ? ReadSettings(*text, errors).has_value()
                       : ReadConfiguration(*text, errors).has_value();
  if (!valid || aJson) {
    PrintErrors(errors, aJson);
  }
  if (valid && !aJson) {
    std::cout << aFile << ": no faults found\n";
  }
  return valid ? ExitStatus::kOk : ExitStatus::kRefused;
}

int
RunEntry(std::string const& aSettingsFile)
{
  auto const text = ReadFile(aSettingsFile);
  if (!text) {
    std::cerr << text.LastReason().mText << '\n';
    return ExitStatus::kFailure;
  }
  YamlErrors errors(aSettingsFile);
  auto settings = ReadSettings(*text, errors);
  if (!settings) {
    PrintErrors(errors, false);
    return ExitStatus::kRefused;
  }
  // All threads inherit the mask, so that only `sigwait` receives the signals.
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  ConfigureLog(settings->mLogLevel, settings->mLogFile);
  auto daemon = EntryDaemon::Start(std::move(*settings));
  if (!daemon) {
    std::cerr << daemon.LastReason().mText << '\n';
    return ExitStatus::kFailure;
  }
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
    if (signal == SIGHUP) {
      Reload(aSettingsFile, *daemon.Value());
    }
  }
  bool const handedOver = daemon.Value()->Leave(kLeaveTimeout);
  return handedOver ? ExitStatus::kOk : ExitStatus::kFailure;
}

} // namespace tarragonsill
