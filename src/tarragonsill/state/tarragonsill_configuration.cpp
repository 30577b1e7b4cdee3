#include "tarragonsill/state/tarragonsill_configuration.hpp"

#include <algorithm>
#include <set>

namespace tarragonsill {

namespace {

template<typename Range>
auto*
FindByName(Range& aRange, std::string const& aName)
{
  auto const found =
    std::find_if(aRange.begin(), aRange.end(), [&](auto const& aItem) {
      return aItem.mName == aName;
    });
  return found == aRange.end() ? nullptr : &*found;
}

class Validator
{
public:
  explicit Validator(Configuration const& aConfiguration)
    : mConfiguration(aConfiguration)
  {
  }

  std::vector<ConfigurationError> Run()
  {
    CheckZones();
    for (auto const& service : mConfiguration.mServices) {
      CheckService(service);
    }
    return std::move(mErrors);
  }

private:
  void Add(std::string aKey, std::string aText)
  {
    mErrors.push_back({ std::move(aKey), std::move(aText) });
  }

  void CheckZones()
  {
    std::set<std::string> names;
    for (auto const& zone : mConfiguration.mZones) {
      if (!names.insert(zone.mName).second) {
        Add("zones." + zone.mName, "this zone is declared twice");
      }
    }
    if (names.empty()) {
      Add("zones", "at least one zone is expected");
    }
  }

  void CheckService(Service const& aService)
  {
    auto const key = "services." + aService.mName;
    if (!mServiceNames.insert(aService.mName).second) {
      Add(key, "this service is declared twice");
    }
    if (!mAddresses.insert(aService.mAddress).second) {
      Add(key + ".address",
          ToText(aService.mAddress) + " is already in use; address and port "
                                      "must be unique in the configuration");
    }
    if (aService.mUpstreams.empty()) {
      Add(key + ".upstreams", "at least one upstream is expected");
    }
    for (auto const& upstream : aService.mUpstreams) {
      CheckUpstream(key + ".upstreams." + upstream.mName, upstream);
    }
    for (auto const& retired : aService.mRetired) {
      if (!mAddresses.insert(retired).second) {
        Add(key + ".retired",
            ToText(retired) + " is retired, but also in use elsewhere");
      }
    }
  }

  void CheckUpstream(std::string const& aKey, Upstream const& aUpstream)
  {
    if (!mUpstreamNames.insert(aUpstream.mName).second) {
      Add(aKey, "this upstream is declared twice");
    }
    if (mConfiguration.FindZone(aUpstream.mZone) == nullptr) {
      Add(aKey + ".zone",
          "zone '" + aUpstream.mZone + "' is not declared under zones");
    }
    if (!mAddresses.insert(aUpstream.mAddress).second) {
      Add(aKey + ".address",
          ToText(aUpstream.mAddress) + " is already in use; address and port "
                                       "must be unique in the configuration");
    }
    bool const exceedsWarmLimit =
      aUpstream.mColdLimit.mConnections > aUpstream.mLimit.mConnections ||
      aUpstream.mColdLimit.mSlots > aUpstream.mLimit.mSlots;
    if (exceedsWarmLimit) {
      Add(aKey + ".cold", "the cold limit exceeds the warm limit");
    }
    if (aUpstream.mColdLimit.mConnections == 0) {
      Add(aKey + ".cold.connections",
          "at least 1 is expected, or the upstream could never warm up");
    }
  }

  Configuration const& mConfiguration;
  std::vector<ConfigurationError> mErrors;
  std::set<std::string> mServiceNames;
  std::set<std::string> mUpstreamNames;
  std::set<Endpoint> mAddresses;
};

bool
HasUpstreamAt(Service const& aService, Endpoint aAddress)
{
  return std::any_of(
    aService.mUpstreams.begin(),
    aService.mUpstreams.end(),
    [&](Upstream const& aUpstream) { return aUpstream.mAddress == aAddress; });
}

/// Retires the addresses in `aCurrent` that `aNext` does not use any more.
void
RetireRemovedAddresses(Service& aNext, Service const& aCurrent)
{
  std::set<Endpoint> retired(aCurrent.mRetired.begin(),
                             aCurrent.mRetired.end());
  for (auto const& upstream : aCurrent.mUpstreams) {
    retired.insert(upstream.mAddress);
  }
  aNext.mRetired.clear();
  for (auto const& address : retired) {
    if (HasUpstreamAt(aNext, address)) {
      continue;
    }
    aNext.mRetired.push_back(address);
  }
}

} // namespace

Zone const*
Configuration::FindZone(std::string const& aName) const
{
  return FindByName(mZones, aName);
}

Service const*
Configuration::FindService(std::string const& aName) const
{
  return FindByName(mServices, aName);
}

Upstream const*
Configuration::FindUpstream(std::string const& aName) const
{
  for (auto const& service : mServices) {
    if (auto const* upstream = FindByName(service.mUpstreams, aName)) {
      return upstream;
    }
  }
  return nullptr;
}

Upstream*
Configuration::FindUpstream(std::string const& aName)
{
  return const_cast<Upstream*>(std::as_const(*this).FindUpstream(aName));
}

std::vector<ConfigurationError>
Validate(Configuration const& aConfiguration)
{
  return Validator(aConfiguration).Run();
}

Result<Configuration>
MakeSuccessor(Configuration aNext, Configuration const* aCurrent)
{
  for (auto& service : aNext.mServices) {
    auto const* current =
      aCurrent == nullptr ? nullptr : aCurrent->FindService(service.mName);
    if (current != nullptr) {
      service.mBase = current->mBase;
      RetireRemovedAddresses(service, *current);
      continue;
    }
    service.mBase.clear();
    for (auto const& upstream : service.mUpstreams) {
      service.mBase.push_back(
        { upstream.mAddress, upstream.mZone, upstream.mLimit.mConnections });
    }
  }
  auto const errors = Validate(aNext);
  if (!errors.empty()) {
    return Reason{ ReasonCode::Invalid,
                   errors.front().mKey + ": " + errors.front().mText };
  }
  return aNext;
}

} // namespace tarragonsill
