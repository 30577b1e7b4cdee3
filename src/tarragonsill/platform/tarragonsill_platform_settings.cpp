#include "tarragonsill/platform/tarragonsill_platform_settings.hpp"

#include <toml++/toml.h>

namespace tarragonsill::Platform {

namespace {

/// Reads and validates values by their dotted keys.
class SettingsReader
{
public:
  SettingsReader(toml::table const& aRoot, FileErrors& aErrors)
    : mRoot(aRoot)
    , mErrors(aErrors)
  {
  }

  std::string Text(char const* aKey)
  {
    auto const node = mRoot.at_path(aKey);
    auto const value = node.value_exact<std::string>();
    if (!value || value->empty()) {
      AddError(aKey, "a non-empty string is expected");
      return {};
    }
    return *value;
  }

  Endpoint Address(char const* aKey)
  {
    auto const text = Text(aKey);
    auto const address = ParseEndpoint(text);
    if (!address && !text.empty()) {
      AddError(aKey, "ADDRESS:PORT is expected");
    }
    return address ? *address : Endpoint{};
  }

  /// Reads a non-negative number.
  double Number(char const* aKey, double aDefault)
  {
    auto const node = mRoot.at_path(aKey);
    if (!node) {
      return aDefault;
    }
    auto const value = node.value<double>();
    if (!value || !(*value >= 0.0)) {
      AddError(aKey, "a non-negative number is expected");
      return aDefault;
    }
    return *value;
  }

  /// Reads a number from 0 to 0.2.
  std::optional<double> HedgeShare(char const* aKey)
  {
    auto const node = mRoot.at_path(aKey);
    if (!node) {
      return std::nullopt;
    }
    auto const value = node.value<double>();
    if (!value || !(*value >= 0.0 && *value <= kMaxHedgeShareLimit)) {
      AddError(aKey, "a number from 0 to 0.2 is expected");
      return std::nullopt;
    }
    return value;
  }

  milliseconds Milliseconds(char const* aKey, milliseconds aDefault)
  {
    auto const count = Number(aKey, static_cast<double>(aDefault.count()));
    return milliseconds{ static_cast<milliseconds::rep>(count) };
  }

  milliseconds Seconds(char const* aKey, milliseconds aDefault)
  {
    constexpr double kMillisecondsPerSecond = 1000.0;
    auto const count = Number(
      aKey, static_cast<double>(aDefault.count()) / kMillisecondsPerSecond);
    return milliseconds{ static_cast<milliseconds::rep>(
      count * kMillisecondsPerSecond) };
  }

  bool Flag(char const* aKey)
  {
    auto const node = mRoot.at_path(aKey);
    if (node && !node.is_boolean()) {
      AddError(aKey, "true or false is expected");
    }
    return node.value_or(false);
  }

  std::vector<Endpoint> Addresses(char const* aKey)
  {
    std::vector<Endpoint> addresses;
    auto const* const list = mRoot.at_path(aKey).as_array();
    if (list == nullptr) {
      return addresses;
    }
    for (auto const& item : *list) {
      auto const text = item.value<std::string>();
      auto const address = ParseEndpoint(text ? *text : std::string());
      if (!address) {
        AddError(aKey, "a list of ADDRESS:PORT is expected");
        continue;
      }
      addresses.push_back(*address);
    }
    return addresses;
  }

  /// Returns a port, by index, of the range for traffic between the VMs.
  std::uint16_t InternalPort(std::size_t aIndex)
  {
    constexpr char const* kKey = "internalPortRange";
    constexpr std::int64_t kMaxPort = 65535;
    auto const* const range = mRoot.at_path(kKey).as_array();
    auto const first = range != nullptr && range->size() == 2
                         ? range->get(0)->value<std::int64_t>().value_or(0)
                         : 0;
    auto const port = first + static_cast<std::int64_t>(aIndex);
    if (first <= 0 || port > kMaxPort) {
      AddError(kKey,
               "a list of the first and the last port of a range is expected");
      return 0;
    }
    return static_cast<std::uint16_t>(port);
  }

  std::vector<std::string> Keys(char const* aKey)
  {
    std::vector<std::string> keys;
    auto const* const table = mRoot.at_path(aKey).as_table();
    if (table == nullptr) {
      AddError(aKey, "a table is expected");
      return keys;
    }
    for (auto const& [key, ignored] : *table) {
      keys.emplace_back(key.str());
    }
    return keys;
  }

  void AddError(char const* aKey, char const* aExpected)
  {
    auto const node = mRoot.at_path(aKey);
    int const line =
      node ? static_cast<int>(node.node()->source().begin.line) : 0;
    mErrors.AddAtLine(line, aKey, aExpected);
  }

private:
  toml::table const& mRoot;
  FileErrors& mErrors;
};

std::optional<toml::table>
ParseTable(std::string_view aText, FileErrors& aErrors)
{
  try {
    return toml::parse(aText);
  } catch (toml::parse_error const& error) {
    // toml++ reports errors by exceptions, this project by values.
    aErrors.AddAtLine(static_cast<int>(error.source().begin.line),
                      "",
                      std::string(error.description()));
    return std::nullopt;
  }
}

NodeBounds
ReadBounds(SettingsReader& aReader)
{
  NodeBounds bounds;
  bounds.mConfiguration =
    aReader.Milliseconds("bounds.configPropagationMs", bounds.mConfiguration);
  bounds.mDrain = aReader.Milliseconds("bounds.drainMs", bounds.mDrain);
  bounds.mEvacuation =
    aReader.Milliseconds("bounds.evacuationDelayMs", bounds.mEvacuation);
  bounds.mGrace = aReader.Seconds("bounds.graceS", bounds.mGrace);
  bounds.mMaxFlowTime = aReader.Seconds("bounds.maxFlowS", bounds.mMaxFlowTime);
  bounds.mColdFactor =
    aReader.Number("bounds.warmupBurstFactor", bounds.mColdFactor);
  bounds.mColdAllowance =
    aReader.Number("bounds.coldSlack", bounds.mColdAllowance);
  return bounds;
}

} // namespace

std::optional<NodeSettings>
ReadNodeSettings(std::string_view aText, FileErrors& aErrors)
{
  auto const table = ParseTable(aText, aErrors);
  if (!table) {
    return std::nullopt;
  }
  auto const errorCountBefore = aErrors.All().size();
  SettingsReader reader(*table, aErrors);
  NodeSettings settings;
  settings.mName = reader.Text("nodeName");
  settings.mZone = reader.Text("zone");
  settings.mZones = reader.Keys("zones");
  settings.mPackets = reader.Address("listen.packetAddr");
  settings.mReadiness = reader.Address("listen.ready");
  auto const address = settings.mPackets.mAddress;
  settings.mPeers = { address, reader.InternalPort(0) };
  settings.mMetrics = { address, reader.InternalPort(1) };
  settings.mKnowledge = { address, reader.InternalPort(2) };
  // The seeds are listed with another of their ports. Every VM uses the same
  // port for messages of peers.
  for (auto const& seed : reader.Addresses("seeds")) {
    settings.mSeeds.push_back({ seed.mAddress, settings.mPeers.mPort });
  }
  settings.mStore = reader.Address("platform.address");
  settings.mIsFirstStart = reader.Flag("bootstrap");
  settings.mHeartbeat =
    reader.Milliseconds("heartbeatIntervalMs", settings.mHeartbeat);
  settings.mBounds = ReadBounds(reader);
  settings.mMaxHedgeShare = reader.HedgeShare("hedging.maxShare");
  if (aErrors.All().size() != errorCountBefore) {
    return std::nullopt;
  }
  return settings;
}

} // namespace tarragonsill::Platform
