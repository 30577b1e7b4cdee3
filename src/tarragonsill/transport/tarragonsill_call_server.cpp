#include "tarragonsill/transport/tarragonsill_call_service.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

/// Max duration of a call; shorter than the retention of the call ledger.
constexpr milliseconds kMaxCallTime{ 10000 };
constexpr milliseconds kShutdownGrace{ 200 };

TimePoint
DeadlineOf(grpc::ServerContext const& aContext)
{
  auto const now = Clock::now();
  auto const remaining = aContext.deadline() - std::chrono::system_clock::now();
  return now + std::min<Duration>(
                 kMaxCallTime, std::chrono::duration_cast<Duration>(remaining));
}

class CallsHandler final : public wire::Calls::Service
{
public:
  explicit CallsHandler(std::shared_ptr<CallService> aService)
    : mService(std::move(aService))
  {
  }

  grpc::Status Submit(grpc::ServerContext* aContext,
                      wire::CallRequest const* aRequest,
                      wire::CallReply* aReply) override
  {
    *aReply = mService->Submit(*aRequest, DeadlineOf(*aContext));
    return grpc::Status::OK;
  }

private:
  std::shared_ptr<CallService> mService;
};

class EntryHandler final : public wire::Entry::Service
{
public:
  EntryHandler(std::shared_ptr<CallService> aService,
               std::shared_ptr<EntryState> aState)
    : mService(std::move(aService))
    , mState(std::move(aState))
  {
  }

  grpc::Status RunAtHome(grpc::ServerContext* aContext,
                         wire::CallRequest const* aRequest,
                         wire::CallReply* aReply) override
  {
    *aReply = mService->RunAtHome(*aRequest, DeadlineOf(*aContext));
    return grpc::Status::OK;
  }

  grpc::Status RunAtOwner(grpc::ServerContext* aContext,
                          wire::CallRequest const* aRequest,
                          wire::CallReply* aReply) override
  {
    *aReply = mService->RunAtOwner(*aRequest, DeadlineOf(*aContext));
    return grpc::Status::OK;
  }

  grpc::Status Query(grpc::ServerContext*,
                     wire::CallQuery const* aQuery,
                     wire::CallQueryReply* aReply) override
  {
    *aReply = mService->Query(*aQuery);
    return grpc::Status::OK;
  }

  grpc::Status FetchConfiguration(grpc::ServerContext*,
                                  wire::ConfigurationRequest const* aRequest,
                                  wire::ConfigurationReply* aReply) override
  {
    auto const current = mState->mConfigurationText.Value();
    StorePosition const held{ aRequest->newer_than_era(),
                              aRequest->newer_than() };
    if (current.mPosition > held) {
      aReply->set_version(current.mPosition.mRevision);
      aReply->set_era(current.mPosition.mEra);
      aReply->set_text(current.mText);
    }
    return grpc::Status::OK;
  }

private:
  std::shared_ptr<CallService> mService;
  std::shared_ptr<EntryState> mState;
};

} // namespace

struct CallServer::Handlers
{
  CallsHandler mCalls;
  EntryHandler mEntry;
};

Result<std::unique_ptr<CallServer>>
CallServer::Start(Endpoint aAddress,
                  std::shared_ptr<CallService> aService,
                  std::shared_ptr<EntryState> aState)
{
  std::unique_ptr<CallServer> server(new CallServer());
  server->mHandlers.reset(new Handlers{
    CallsHandler(aService), EntryHandler(aService, std::move(aState)) });
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddListeningPort(ToText(aAddress), grpc::InsecureServerCredentials());
  builder.RegisterService(&server->mHandlers->mCalls);
  builder.RegisterService(&server->mHandlers->mEntry);
  server->mServer = builder.BuildAndStart();
  if (!server->mServer) {
    return Reason{ ReasonCode::SystemFailure,
                   "cannot start the call server at " + ToText(aAddress) };
  }
  return server;
}

CallServer::~CallServer()
{
  if (mServer) {
    mServer->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
  }
}

} // namespace tarragonsill
