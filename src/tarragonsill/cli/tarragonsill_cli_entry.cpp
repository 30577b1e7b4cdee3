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

constexpr milliseconds kLeaveMost{ 15000 };

void
PrintFaults(FileFaults const& aFaults, bool aJson)
{
  auto list = nlohmann::json::array();
  for (auto const& fault : aFaults.All()) {
    if (!aJson) {
      std::cerr << fault.ToText() << '\n';
      continue;
    }
    list.push_back({ { "file", fault.mFile },
                     { "line", fault.mLine },
                     { "key", fault.mKey },
                     { "expected", fault.mExpected } });
  }
  if (aJson) {
    std::cout << nlohmann::json{ { "faults", list } }.dump() << '\n';
  }
}

/// Settings name an entry VM at the top level; configurations do not.
bool
IsSettingsText(std::string const& aText)
{
  YamlFaults ignored("");
  auto const root = LoadYaml(aText, ignored);
  if (!root || !root->IsMap()) {
    return false;
  }
  YAML::Node const& constant = *root;
  return constant["entry"].IsDefined();
}

/// Reads the settings file again; a faulty file changes nothing.
void
Reload(std::string const& aSettingsFile, EntryDaemon& aDaemon)
{
  auto const text = ReadFile(aSettingsFile);
  YamlFaults faults(aSettingsFile);
  auto const settings =
    text ? ReadSettings(*text, faults) : std::optional<Settings>();
  if (settings) {
    aDaemon.Reload(*settings);
    return;
  }
  LogError("entry: settings were not reloaded");
  for (auto const& fault : faults.All()) {
    LogError("entry: " + fault.ToText());
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
    return ExitStatus::kTrouble;
  }
  YamlFaults faults(aFile);
  bool const valid = aFile.ends_with(".toml")
                       ? Platform::ReadNodeSettings(*text, faults).has_value()
                     : IsSettingsText(*text)
                       ? ReadSettings(*text, faults).has_value()
                       : ReadConfiguration(*text, faults).has_value();
  if (!valid || aJson) {
    PrintFaults(faults, aJson);
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
    return ExitStatus::kTrouble;
  }
  YamlFaults faults(aSettingsFile);
  auto settings = ReadSettings(*text, faults);
  if (!settings) {
    PrintFaults(faults, false);
    return ExitStatus::kRefused;
  }
  // Every thread inherits the mask, so that only `sigwait` sees the signals.
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
    return ExitStatus::kTrouble;
  }
  int signal = SIGHUP;
  while (signal == SIGHUP) {
    sigwait(&signals, &signal);
    if (signal == SIGHUP) {
      Reload(aSettingsFile, *daemon.Value());
    }
  }
  bool const handedOver = daemon.Value()->Leave(kLeaveMost);
  return handedOver ? ExitStatus::kOk : ExitStatus::kTrouble;
}

} // namespace tarragonsill
