#include "tarragonsill/cli/tarragonsill_cli.hpp"

#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"
#include "tarragonsill/transport/tarragonsill_configuration_actor.hpp"

#include <functional>
#include <iostream>
#include <optional>
#include <random>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

namespace tarragonsill {

namespace {

constexpr std::size_t kMaxDifferences = 20;

/// Identifies one write, so that a lost answer can be settled.
std::string
NewChangeId()
{
  std::random_device source;
  std::ostringstream text;
  text << std::hex << source() << source();
  return text.str();
}

/// Lines that stand in one text only, marked with + and -.
std::vector<std::string>
Differences(std::string const& aOurs, std::string const& aTheirs)
{
  auto const lines = [](std::string const& aText) {
    std::multiset<std::string> result;
    std::istringstream input(aText);
    for (std::string line; std::getline(input, line);) {
      result.insert(line);
    }
    return result;
  };
  auto const ours = lines(aOurs);
  auto const theirs = lines(aTheirs);
  std::vector<std::string> result;
  for (auto const& line : ours) {
    if (theirs.count(line) == 0) {
      result.push_back("+ " + line);
    }
  }
  for (auto const& line : theirs) {
    if (ours.count(line) == 0) {
      result.push_back("- " + line);
    }
  }
  result.resize(std::min(result.size(), kMaxDifferences));
  return result;
}

/// One change of the configuration on the platform.
class Change
{
public:
  explicit Change(PlatformOptions const& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Reads, lets `aEdit` make the next configuration, and writes it on
  /// condition that nobody else wrote in between.
  int Run(
    std::string const& aDeployment,
    std::function<std::optional<Configuration>(Configuration const*)> const&
      aEdit)
  {
    auto const address = ParseEndpoint(mOptions.mAddress);
    if (!address) {
      return Fail(ExitStatus::kTrouble,
                  "--platform: " + address.LastReason().mText);
    }
    PlatformClient::Options options;
    options.mAddress = *address;
    options.mSeed = std::random_device{}();
    PlatformClient client(options, mCounters);
    auto const object = ConfigurationObjectName(aDeployment);
    auto held = client.Read(object);
    bool const absent =
      !held && held.LastReason().mCode == ReasonCode::NotFound;
    if (!held && !absent) {
      return Fail(ExitStatus::kTrouble, held.LastReason().mText);
    }
    auto const current = absent ? PlatformObject{} : held.Take();
    std::optional<Configuration> before;
    if (!absent) {
      YamlErrors errors(object);
      before = ReadConfiguration(current.mText, errors);
    }
    auto const edited = aEdit(before ? &*before : nullptr);
    if (!edited) {
      return ExitStatus::kRefused;
    }
    auto const next = MakeSuccessor(*edited, before ? &*before : nullptr);
    if (!next) {
      return Fail(ExitStatus::kRefused, next.LastReason().mText);
    }
    auto const text = WriteConfiguration(*next, true);
    if (!absent && text == current.mText) {
      return Succeeded(current.mPosition, "nothing to change");
    }
    return Report(client.Write(object, current, NewChangeId(), text), text);
  }

  int Fail(int aStatus, std::string const& aText)
  {
    if (mOptions.mJson) {
      std::cout << nlohmann::json{ { "error", aText } }.dump() << '\n';
    } else {
      std::cerr << "apply: " << aText << '\n';
    }
    return aStatus;
  }

private:
  int Succeeded(StorePosition aPosition, std::string const& aText)
  {
    if (mOptions.mJson) {
      nlohmann::json const json = { { "version", aPosition.mRevision },
                                    { "era", aPosition.mEra },
                                    { "result", aText } };
      std::cout << json.dump() << '\n';
    } else {
      std::cout << "apply: " << aText << ", version " << ToText(aPosition)
                << '\n';
    }
    return ExitStatus::kOk;
  }

  int Report(Result<WriteOutcome> const& aOutcome, std::string const& aText)
  {
    if (!aOutcome) {
      return Fail(ExitStatus::kTrouble, aOutcome.LastReason().mText);
    }
    auto const& current = aOutcome->mCurrent;
    if (aOutcome->mApplied) {
      return Succeeded(current.mPosition, "accepted");
    }
    auto const differences = Differences(aText, current.mText);
    if (mOptions.mJson) {
      nlohmann::json const json = { { "error", "another operator was first" },
                                    { "winning_version",
                                      current.mPosition.mRevision },
                                    { "differences", differences } };
      std::cout << json.dump() << '\n';
      return ExitStatus::kRefused;
    }
    std::cerr << "apply: not applied, another operator was first; version "
              << ToText(current.mPosition) << " is in force and differs:\n";
    for (auto const& line : differences) {
      std::cerr << "  " << line << '\n';
    }
    return ExitStatus::kRefused;
  }

  PlatformOptions mOptions;
  Counters mCounters;
};

} // namespace

int
ApplyFile(std::string const& aFile, PlatformOptions const& aOptions)
{
  auto const text = ReadFile(aFile);
  if (!text) {
    std::cerr << text.LastReason().mText << '\n';
    return ExitStatus::kTrouble;
  }
  YamlErrors errors(aFile);
  auto const configuration = ReadConfiguration(*text, errors);
  if (!configuration) {
    std::cerr << errors.ToText() << '\n';
    return ExitStatus::kRefused;
  }
  Change change(aOptions);
  return change.Run(configuration->mDeployment, [&](Configuration const*) {
    return std::optional(*configuration);
  });
}

int
SetZone(std::string const& aZone,
        ZoneState aState,
        PlatformOptions const& aOptions)
{
  Change change(aOptions);
  return change.Run(
    aOptions.mDeployment,
    [&](Configuration const* aCurrent) -> std::optional<Configuration> {
      if (aCurrent == nullptr || aCurrent->FindZone(aZone) == nullptr) {
        change.Fail(ExitStatus::kRefused,
                    "zone '" + aZone + "' is not declared");
        return std::nullopt;
      }
      auto next = *aCurrent;
      for (auto& zone : next.mZones) {
        if (zone.mName == aZone) {
          zone.mState = aState;
        }
      }
      return next;
    });
}

int
SetUpstream(std::string const& aUpstream,
            UpstreamAdminState aState,
            PlatformOptions const& aOptions)
{
  Change change(aOptions);
  return change.Run(
    aOptions.mDeployment,
    [&](Configuration const* aCurrent) -> std::optional<Configuration> {
      if (aCurrent == nullptr || aCurrent->FindUpstream(aUpstream) == nullptr) {
        change.Fail(ExitStatus::kRefused,
                    "upstream '" + aUpstream + "' is not declared");
        return std::nullopt;
      }
      auto next = *aCurrent;
      next.FindUpstream(aUpstream)->mState = aState;
      return next;
    });
}

} // namespace tarragonsill
