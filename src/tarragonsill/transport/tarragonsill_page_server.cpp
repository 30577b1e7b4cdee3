#include "tarragonsill/transport/tarragonsill_page_server.hpp"

#include <thread>

#include <httplib.h>

namespace tarragonsill {

namespace {

/// Pages are short. With two threads, one slow client does not block the
/// others.
constexpr std::size_t kThreads = 2;
/// An idle connection that stays open would occupy a thread.
constexpr std::size_t kMaxRequestsPerConnection = 1;
constexpr seconds kReadTimeout{ 2 };

} // namespace

struct PageServer::Impl
{
  httplib::Server mServer;
  std::thread mThread;
};

PageServer::PageServer(std::unique_ptr<Impl> aImpl)
  : mImpl(std::move(aImpl))
{
}

Result<std::unique_ptr<PageServer>>
PageServer::Start(Endpoint aAddress, std::map<std::string, Handler> aPages)
{
  auto impl = std::make_unique<Impl>();
  auto& server = impl->mServer;
  server.new_task_queue = [] { return new httplib::ThreadPool(kThreads); };
  server.set_keep_alive_max_count(kMaxRequestsPerConnection);
  server.set_read_timeout(kReadTimeout);
  for (auto& [path, pageHandler] : aPages) {
    server.Get(path,
               [handler = pageHandler](auto const& aRequest, auto& aResponse) {
                 Parameters const parameters(aRequest.params.begin(),
                                             aRequest.params.end());
                 auto const page = handler(parameters);
                 aResponse.status = page.mStatus;
                 aResponse.set_content(page.mBody, page.mType.c_str());
               });
  }
  if (!server.bind_to_port(ToText(aAddress.mAddress).c_str(), aAddress.mPort)) {
    return Reason{ ReasonCode::SystemFailure,
                   "cannot serve pages at " + ToText(aAddress) };
  }
  impl->mThread =
    std::thread([raw = impl.get()] { raw->mServer.listen_after_bind(); });
  // Stopping the server before it runs has no effect, and it would never stop.
  while (!server.is_running()) {
    std::this_thread::sleep_for(std::chrono::milliseconds{ 1 });
  }
  return std::unique_ptr<PageServer>(new PageServer(std::move(impl)));
}

PageServer::~PageServer()
{
  mImpl->mServer.stop();
  if (mImpl->mThread.joinable()) {
    mImpl->mThread.join();
  }
}

} // namespace tarragonsill
