#include "tarragonsill/protocol/tarragonsill_settings.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace tarragonsill {

namespace {

constexpr std::uint32_t kMaxCallsPerSecond = 1000;
constexpr std::array<std::string_view, 5> kLogLevels = { "trace",
                                                         "debug",
                                                         "info",
                                                         "warn",
                                                         "error" };

template<typename T, typename Parse>
std::vector<T>
ReadList(YamlMapping& aMapping,
         std::string const& aName,
         bool aRequired,
         char const* aExpected,
         Parse aParse)
{
  std::vector<T> values;
  for (auto const& item : aMapping.Items(aName, aRequired)) {
    auto const value = aParse(item.IsScalar() ? item.Scalar() : "");
    if (!value) {
      aMapping.AddError(aName, aExpected);
      continue;
    }
    values.push_back(*value);
  }
  if (aRequired && values.empty()) {
    aMapping.AddError(aName, "at least one item is expected");
  }
  return values;
}

void
ReadPlatform(YamlMapping& aDocument, Settings& aSettings)
{
  auto platform = aDocument.Nested("platform", true);
  if (!platform) {
    return;
  }
  aSettings.mPlatform = platform->Address("address");
  aSettings.mPlatformCallsPerSecond =
    platform->Number("calls_per_second",
                     1,
                     kMaxCallsPerSecond,
                     aSettings.mPlatformCallsPerSecond);
  platform->ReportUnreadKeys();
}

void
ReadLog(YamlMapping& aDocument, Settings& aSettings)
{
  auto log = aDocument.Nested("log", false);
  if (!log) {
    return;
  }
  aSettings.mLogLevel = log->Text("level", aSettings.mLogLevel);
  auto const level =
    std::find(kLogLevels.begin(), kLogLevels.end(), aSettings.mLogLevel);
  if (level == kLogLevels.end()) {
    log->AddError("level", "trace, debug, info, warn or error is expected");
  }
  aSettings.mLogFile = log->Text("file", "");
  log->ReportUnreadKeys();
}

} // namespace

std::optional<Settings>
ReadSettings(std::string const& aText, YamlErrors& aErrors)
{
  auto const root = LoadYaml(aText, aErrors);
  if (!root) {
    return std::nullopt;
  }
  Settings settings;
  YamlMapping document(*root, "", aErrors);
  settings.mEntry = document.Text("entry");
  settings.mZone = document.Text("zone");
  settings.mDeployment = document.Text("deployment");
  settings.mData = document.Address("data");
  settings.mControl = document.Address("control");
  settings.mCalls = document.Address("calls");
  settings.mMetrics = document.Address("metrics");
  settings.mFabric = ReadList<Endpoint>(
    document, "fabric", true, "ADDRESS:PORT is expected", ParseEndpoint);
  settings.mPeers = ReadList<Prefix>(
    document, "peers", true, "ADDRESS/LENGTH is expected", ParsePrefix);
  settings.mDenied = ReadList<Prefix>(
    document, "denied", false, "ADDRESS/LENGTH is expected", ParsePrefix);
  settings.mSeeds = ReadList<Endpoint>(
    document, "seeds", false, "ADDRESS:PORT is expected", ParseEndpoint);
  ReadPlatform(document, settings);
  ReadLog(document, settings);
  document.ReportUnreadKeys();
  if (!aErrors.All().empty()) {
    return std::nullopt;
  }
  return settings;
}

} // namespace tarragonsill
