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

/// Returns a random identifier for one write. If the answer is lost, the
/// identifier shows whether the write took effect.
std::string
NewChangeId()
{
  std::random_device source;
  std::ostringstream text;
  text << std::hex << source() << source();
  return text.str();
}

/// The lines that only one of the texts has, marked with + (ours) and -
/// (theirs).
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

/// A change of the configuration in the platform's store.
class ConfigurationChange
{
public:
  explicit ConfigurationChange(PlatformOptions const& aOptions)
    : mOptions(aOptions)
  {
  }

  /// Reads the configuration, passes it to `aEdit`, and writes the result on
  /// condition that the stored version is still the one that was read.
  int Run(
    std::string const& aDeployment,
    std::function<std::optional<Configuration>(Configuration const*)> const&
      aEdit)
  {
    auto const address = ParseEndpoint(mOptions.mAddress);
    if (!address) {
      return Fail(ExitStatus::kFailure,
                  "--platform: " + address.LastReason().mText);
    }
    PlatformClient::Options options;
    options.mAddress = *address;
    options.mSeed = std::random_device{}();
    PlatformClient client(options, mCounters);
    auto const object = ConfigurationObjectName(aDeployment);
    auto stored = client.Read(object);
    bool const absent =
      !stored && stored.LastReason().mCode == ReasonCode::NotFound;
    if (!stored && !absent) {
      return Fail(ExitStatus::kFailure, stored.LastReason().mText);
    }
    auto const current = absent ? PlatformObject{} : stored.Take();
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
      return ReportSuccess(current.mPosition, "nothing to change");
    }
    return ReportOutcome(client.Write(object, current, NewChangeId(), text),
                         text);
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
  int ReportSuccess(StorePosition aPosition, std::string const& aText)
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

  int ReportOutcome(Result<WriteOutcome> const& aOutcome,
                    std::string const& aText)
  {
    if (!aOutcome) {
      return Fail(ExitStatus::kFailure, aOutcome.LastReason().mText);
    }
    auto const& current = aOutcome->mCurrent;
    if (aOutcome->mApplied) {
      return ReportSuccess(current.mPosition, "accepted");
    }
    auto const differences = Differences(aText, current.mText);
    if (mOptions.mJson) {
      nlohmann::json const json = {
        { "error", "another operator changed the configuration first" },
        { "winning_version", current.mPosition.mRevision },
        { "differences", differences }
      };
      std::cout << json.dump() << '\n';
      return ExitStatus::kRefused;
    }
    std::cerr
      << "apply: not applied, another operator changed the configuration "
         "first; differences from version "
      << ToText(current.mPosition) << ", which is in force:\n";
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
    return ExitStatus::kFailure;
  }
  YamlErrors errors(aFile);
  auto const configuration = ReadConfiguration(*text, errors);
  if (!configuration) {
    std::cerr << errors.ToText() << '\n';
    return ExitStatus::kRefused;
  }
  ConfigurationChange change(aOptions);
  return change.Run(configuration->mDeployment, [&](Configuration const*) {
    return std::optional(*configuration);
  });
}

int
SetZone(std::string const& aZone,
        ZoneState aState,
        PlatformOptions const& aOptions)
{
  ConfigurationChange change(aOptions);
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
  ConfigurationChange change(aOptions);
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
