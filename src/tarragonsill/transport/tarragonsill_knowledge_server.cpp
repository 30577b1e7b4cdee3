#include "tarragonsill/transport/tarragonsill_knowledge_server.hpp"

#include <grpcpp/grpcpp.h>
#include <tarragonsill_knowledge.grpc.pb.h>

namespace tarragonsill {

namespace {

constexpr milliseconds kShutdownGrace{ 100 };
/// Requests are rare and short, so one thread is enough.
constexpr int kPollers = 1;
/// Fits the state of 30,000 upstreams, about 100 bytes each, with a margin.
constexpr int kMaxAnswerBytes = 16 * 1024 * 1024;

class KnowledgeHandler final : public wire::Knowledge::Service
{
public:
  explicit KnowledgeHandler(KnowledgeServer::Source aSource)
    : mSource(std::move(aSource))
  {
  }

  grpc::Status Fetch(grpc::ServerContext* aContext,
                     wire::KnowledgeRequest const* aRequest,
                     wire::KnowledgeReply* aReply) override
  {
    auto const lists = mSource(FromMessage(*aRequest));
    if (!lists) {
      return { grpc::StatusCode::UNAVAILABLE, "busy" };
    }
    // Routes compress well, as they differ in only a few bytes. A new
    // configuration goes to many VMs at once, and a saturated link would drop
    // packets of flows.
    aContext->set_compression_algorithm(GRPC_COMPRESS_GZIP);
    *aReply = ToMessage(*lists);
    return grpc::Status::OK;
  }

private:
  KnowledgeServer::Source mSource;
};

} // namespace

struct KnowledgeServer::Impl
{
  explicit Impl(Source aSource)
    : mHandler(std::move(aSource))
  {
  }

  KnowledgeHandler mHandler;
  std::unique_ptr<grpc::Server> mServer;
};

KnowledgeServer::KnowledgeServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

KnowledgeServer::~KnowledgeServer()
{
  mImpl->mServer->Shutdown(std::chrono::system_clock::now() + kShutdownGrace);
}

Result<std::unique_ptr<KnowledgeServer>>
KnowledgeServer::Start(Endpoint aAddress, Source aSource)
{
  auto impl = std::make_unique<Impl>(std::move(aSource));
  grpc::ServerBuilder builder;
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.SetSyncServerOption(grpc::ServerBuilder::NUM_CQS, 1);
  builder.SetSyncServerOption(grpc::ServerBuilder::MIN_POLLERS, kPollers);
  builder.SetSyncServerOption(grpc::ServerBuilder::MAX_POLLERS, kPollers);
  builder.AddListeningPort(ToText(aAddress), grpc::InsecureServerCredentials());
  builder.RegisterService(&impl->mHandler);
  impl->mServer = builder.BuildAndStart();
  if (!impl->mServer) {
    return Reason{ ReasonCode::SystemFailure,
                   "cannot serve peers at " + ToText(aAddress) };
  }
  return std::unique_ptr<KnowledgeServer>(new KnowledgeServer(std::move(impl)));
}

Result<KnowledgeLists>
FetchFromPeer(Endpoint aPeer,
              KnowledgeDigest const& aOwnDigest,
              milliseconds aTimeout)
{
  grpc::ChannelArguments arguments;
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetInt(GRPC_ARG_MAX_RECEIVE_MESSAGE_LENGTH, kMaxAnswerBytes);
  auto const channel = grpc::CreateCustomChannel(
    ToText(aPeer), grpc::InsecureChannelCredentials(), arguments);
  auto const stub = wire::Knowledge::NewStub(channel);
  grpc::ClientContext context;
  context.set_deadline(std::chrono::system_clock::now() + aTimeout);
  wire::KnowledgeReply reply;
  auto const status = stub->Fetch(&context, ToMessage(aOwnDigest), &reply);
  if (!status.ok()) {
    bool const isTimeout =
      status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED;
    return Reason{ isTimeout ? ReasonCode::Timeout : ReasonCode::Unavailable,
                   status.error_message() };
  }
  return FromMessage(reply);
}

} // namespace tarragonsill
