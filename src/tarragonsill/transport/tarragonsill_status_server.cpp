#include "tarragonsill/transport/tarragonsill_status_server.hpp"

#include "tarragonsill/coordination/tarragonsill_steering_explanation.hpp"
#include "tarragonsill/transport/tarragonsill_page_server.hpp"

#include <nlohmann/json.hpp>

namespace tarragonsill {

namespace {

constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;

nlohmann::json
MembersJson(EntryStatus const& aStatus)
{
  auto members = nlohmann::json::array();
  for (auto const& member : aStatus.mMembers) {
    members.push_back({ { "name", member.mName },
                        { "zone", member.mZone },
                        { "stage", ToText(member.mStage) },
                        { "health", ToText(member.mHealth) } });
  }
  return members;
}

nlohmann::json
UpstreamsJson(EntryStatus const& aStatus, CallView const& aView)
{
  auto upstreams = nlohmann::json::array();
  if (!aView.mSnapshot) {
    return upstreams;
  }
  for (auto const& view : aView.mSnapshot->mUpstreams) {
    auto const& upstream = view.mUpstream;
    nlohmann::json item = {
      { "name", upstream.mName },
      { "service", aView.mSnapshot->mServices[view.mService].mService.mName },
      { "zone", upstream.mZone },
      { "takes_new_work", view.TakesNewWork() },
      { "owner",
        view.mOwner ? aView.mSnapshot->mEntries[*view.mOwner].mName : "" },
    };
    bool hasLease = false;
    for (auto const& lease : aStatus.mLeases) {
      hasLease = hasLease || lease.mUpstream == upstream.mAddress;
    }
    item["lease_held_here"] = hasLease;
    for (auto const& openWork : aStatus.mOpenWork) {
      if (hasLease && openWork.mUpstream == upstream.mAddress) {
        item["connections"] = openWork.mWork.mConnections;
        item["cold"] = openWork.mIsCold;
      }
    }
    upstreams.push_back(std::move(item));
  }
  return upstreams;
}

nlohmann::json
StatusJson(EntryState const& aState)
{
  auto const status = aState.mStatus.Value();
  auto const view = aState.mView.Value();
  auto counters = nlohmann::json::object();
  for (std::size_t index = 0; index < static_cast<std::size_t>(Counter::Count);
       ++index) {
    auto const counter = static_cast<Counter>(index);
    counters[std::string(CounterName(counter))] =
      aState.mCounters.Value(counter);
  }
  return { { "entry", status.mSelf.mName },
           { "zone", status.mSelf.mZone },
           { "stage", ToText(status.mSelf.mStage) },
           { "configuration_version", status.mVersion },
           { "watcher", status.mIsWatcher },
           { "leases", status.mLeases.size() },
           { "exceptions", status.mExceptions },
           { "worker_memory_bytes", status.mWorkerMemoryBytes },
           { "members", MembersJson(status) },
           { "upstreams", UpstreamsJson(status, view) },
           { "counters", std::move(counters) } };
}

constexpr char const* kJsonType = "application/json";

Page
ErrorPage(int aStatus, std::string const& aText)
{
  nlohmann::json const body = { { "error", aText } };
  return { aStatus, kJsonType, body.dump() };
}

std::string
ParameterOf(PageServer::Parameters const& aParameters, char const* aName)
{
  auto const found = aParameters.find(aName);
  return found == aParameters.end() ? std::string() : found->second;
}

Page
ExplainPage(EntryState const& aState, PageServer::Parameters const& aParameters)
{
  auto const caller = ParseEndpoint(ParameterOf(aParameters, "flow"));
  if (!caller) {
    return ErrorPage(kStatusBadRequest, "flow: " + caller.LastReason().mText);
  }
  auto const view = aState.mView.Value();
  if (!view.mSnapshot) {
    return ErrorPage(kStatusNotFound, "no configuration is in force");
  }
  FlowKey key;
  key.mCaller = *caller;
  bool const udp = ParameterOf(aParameters, "protocol") == "udp";
  key.mProtocol = udp ? TransportProtocol::Udp : TransportProtocol::Tcp;
  auto const explanation =
    Explain(*view.mSnapshot, ParameterOf(aParameters, "service"), key);
  if (!explanation) {
    return ErrorPage(kStatusNotFound, explanation.LastReason().mText);
  }
  nlohmann::json const body = { { "service", explanation->mService },
                                { "pure_choice", explanation->mHashChoice },
                                { "owner", explanation->mOwner },
                                { "homes", explanation->mHomes },
                                { "candidates", explanation->mCandidates } };
  Page page;
  page.mType = kJsonType;
  page.mBody = body.dump();
  return page;
}

} // namespace

struct StatusServer::Impl
{
  std::unique_ptr<PageServer> mPages;
};

StatusServer::StatusServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Result<std::unique_ptr<StatusServer>>
StatusServer::Start(std::shared_ptr<EntryState> aState)
{
  auto const address = aState->mSettings.mMetrics;
  std::map<std::string, PageServer::Handler> pages;
  pages["/metrics"] = [aState](auto const&) {
    Page page;
    page.mBody = aState->mCounters.ToExposition(aState->mSettings.mEntry);
    return page;
  };
  pages["/status"] = [aState](auto const&) {
    Page page;
    page.mType = kJsonType;
    page.mBody = StatusJson(*aState).dump();
    return page;
  };
  pages["/explain"] = [aState](auto const& aParameters) {
    return ExplainPage(*aState, aParameters);
  };
  auto server = PageServer::Start(address, std::move(pages));
  if (!server) {
    return server.LastReason();
  }
  auto impl = std::make_unique<Impl>();
  impl->mPages = server.Take();
  return std::unique_ptr<StatusServer>(new StatusServer(std::move(impl)));
}

StatusServer::~StatusServer() = default;

} // namespace tarragonsill
