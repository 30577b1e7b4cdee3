#include "tarragonsill/transport/tarragonsill_http_connection.hpp"

#include <algorithm>
#include <cctype>

#include <httplib.h>
#include <netinet/tcp.h>

namespace tarragonsill {

namespace {

// TCP keep-alive probes detect a connection whose peer became silent.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbes = 2;
/// The connection ends if sent data stays unacknowledged for this long.
constexpr unsigned kUserTimeoutMilliseconds = 2000;

void
SetSocketOptions(socket_t aSocket)
{
  auto const set = [&](int aLevel, int aOption, auto aValue) {
    // A failure is harmless: it only delays the detection of a dead peer.
    (void)::setsockopt(aSocket, aLevel, aOption, &aValue, sizeof(aValue));
  };
  set(SOL_SOCKET, SO_KEEPALIVE, 1);
  set(IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  set(IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  set(IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbes);
  set(IPPROTO_TCP, TCP_USER_TIMEOUT, kUserTimeoutMilliseconds);
}

std::map<std::string, std::string>
LowercaseNames(httplib::Headers const& aHeaders)
{
  std::map<std::string, std::string> headers;
  for (auto const& [name, value] : aHeaders) {
    std::string lowercase = name;
    std::transform(lowercase.begin(),
                   lowercase.end(),
                   lowercase.begin(),
                   [](unsigned char aCharacter) {
                     return static_cast<char>(std::tolower(aCharacter));
                   });
    headers[lowercase] = value;
  }
  return headers;
}

Reason
ToReason(httplib::Error aError)
{
  // After any other error than a failed connect, the request may have arrived.
  bool const isUnsent = aError == httplib::Error::Connection;
  return { isUnsent ? ReasonCode::Unavailable : ReasonCode::Timeout,
           "the platform did not answer (" + httplib::to_string(aError) + ")" };
}

} // namespace

struct HttpConnection::Impl
{
  explicit Impl(Options const& aOptions)
    : mClient(ToText(aOptions.mAddress.mAddress), aOptions.mAddress.mPort)
  {
    mClient.set_connection_timeout(aOptions.mConnectTimeout);
    mClient.set_keep_alive(aOptions.mKeepAlive);
    mClient.set_tcp_nodelay(true);
    mClient.set_socket_options(SetSocketOptions);
  }

  template<typename Call>
  Result<HttpResponse> Run(milliseconds aTimeout, Call aCall)
  {
    mClient.set_read_timeout(aTimeout);
    mClient.set_write_timeout(aTimeout);
    auto const result = aCall();
    if (!result) {
      mClient.stop();
      return ToReason(result.error());
    }
    return HttpResponse{ result->status,
                         result->body,
                         LowercaseNames(result->headers) };
  }

  httplib::Client mClient;
};

HttpConnection::HttpConnection(Options aOptions)
  : mImpl(std::make_unique<Impl>(aOptions))
{
}

HttpConnection::~HttpConnection() = default;
HttpConnection::HttpConnection(HttpConnection&&) noexcept = default;

Result<HttpResponse>
HttpConnection::Get(std::string const& aPath, milliseconds aTimeout)
{
  return mImpl->Run(aTimeout, [&] { return mImpl->mClient.Get(aPath); });
}

Result<HttpResponse>
HttpConnection::Put(std::string const& aPath,
                    std::multimap<std::string, std::string> const& aHeaders,
                    std::string const& aBody,
                    milliseconds aTimeout)
{
  httplib::Headers const headers(aHeaders.begin(), aHeaders.end());
  return mImpl->Run(aTimeout, [&] {
    return mImpl->mClient.Put(aPath, headers, aBody, "application/json");
  });
}

void
HttpConnection::Cancel()
{
  mImpl->mClient.stop();
}

} // namespace tarragonsill
