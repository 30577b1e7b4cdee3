#include "tarragonsill/transport/tarragonsill_status_server.hpp"

#include "tarragonsill/coordination/tarragonsill_explanation.hpp"

#include <thread>

#include <httplib.h>
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
    bool held = false;
    for (auto const& right : aStatus.mRights) {
      held = held || right.mUpstream == upstream.mAddress;
    }
    item["lease_held_here"] = held;
    for (auto const& usage : aStatus.mUsage) {
      if (held && usage.mUpstream == upstream.mAddress) {
        item["connections"] = usage.mUsed.mConnections;
        item["cold"] = usage.mCold;
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
           { "leases", status.mRights.size() },
           { "exceptions", status.mExceptions },
           { "worker_memory_bytes", status.mWorkerMemoryBytes },
           { "members", MembersJson(status) },
           { "upstreams", UpstreamsJson(status, view) },
           { "counters", std::move(counters) } };
}

void
SetError(httplib::Response& aResponse, int aStatus, std::string const& aText)
{
  aResponse.status = aStatus;
  nlohmann::json const body = { { "error", aText } };
  aResponse.set_content(body.dump(), "application/json");
}

void
HandleExplain(EntryState const& aState,
              httplib::Request const& aRequest,
              httplib::Response& aResponse)
{
  auto const caller = ParseEndpoint(aRequest.get_param_value("flow"));
  if (!caller) {
    SetError(
      aResponse, kStatusBadRequest, "flow: " + caller.LastReason().mText);
    return;
  }
  auto const view = aState.mView.Value();
  if (!view.mSnapshot) {
    SetError(aResponse, kStatusNotFound, "no configuration is in force");
    return;
  }
  FlowKey key;
  key.mCaller = *caller;
  bool const udp = aRequest.get_param_value("protocol") == "udp";
  key.mProtocol = udp ? TransportProtocol::Udp : TransportProtocol::Tcp;
  auto const explanation =
    Explain(*view.mSnapshot, aRequest.get_param_value("service"), key);
  if (!explanation) {
    SetError(aResponse, kStatusNotFound, explanation.LastReason().mText);
    return;
  }
  nlohmann::json const body = { { "service", explanation->mService },
                                { "pure_choice", explanation->mPureChoice },
                                { "owner", explanation->mOwner },
                                { "homes", explanation->mHomes },
                                { "candidates", explanation->mCandidates } };
  aResponse.set_content(body.dump(), "application/json");
}

} // namespace

struct StatusServer::Impl
{
  httplib::Server mServer;
  std::thread mThread;
};

StatusServer::StatusServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Result<std::unique_ptr<StatusServer>>
StatusServer::Start(std::shared_ptr<EntryState> aState)
{
  auto const address = aState->mSettings.mMetrics;
  auto impl = std::make_unique<Impl>();
  auto& server = impl->mServer;
  server.Get("/metrics", [aState](auto const&, auto& aResponse) {
    aResponse.set_content(
      aState->mCounters.ToExposition(aState->mSettings.mEntry),
      "text/plain; version=0.0.4");
  });
  server.Get("/status", [aState](auto const&, auto& aResponse) {
    aResponse.set_content(StatusJson(*aState).dump(), "application/json");
  });
  server.Get("/explain", [aState](auto const& aRequest, auto& aResponse) {
    HandleExplain(*aState, aRequest, aResponse);
  });
  if (!server.bind_to_port(ToText(address.mAddress).c_str(), address.mPort)) {
    return Reason{ ReasonCode::SystemFailure,
                   "cannot serve metrics at " + ToText(address) };
  }
  impl->mThread =
    std::thread([raw = impl.get()] { raw->mServer.listen_after_bind(); });
  // A server that is stopped before it runs would never stop.
  while (!server.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 1 });
  }
  return std::unique_ptr<StatusServer>(new StatusServer(std::move(impl)));
}

StatusServer::~StatusServer()
{
  mImpl->mServer.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace tarragonsill
