#ifndef TARRAGONSILL_HTTP_CONNECTION_HPP_INCLUDED
#define TARRAGONSILL_HTTP_CONNECTION_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <map>
#include <memory>
#include <string>

/// An HTTP client connection with timeouts that can stay open between requests.
/// Not thread-safe, except for `Cancel`.
namespace tarragonsill {

struct HttpResponse
{
  int mStatus = 0;
  std::string mBody;
  /// Values by lowercase name; the last value of a repeated header.
  std::map<std::string, std::string> mHeaders;
};

class HttpConnection
{
public:
  static constexpr int kStatusOk = 200;

  struct Options
  {
    Endpoint mAddress;
    milliseconds mConnectTimeout{ 500 };
    /// Whether to keep the connection open for the next request.
    bool mKeepAlive = true;
  };

  explicit HttpConnection(Options aOptions);
  ~HttpConnection();
  HttpConnection(HttpConnection&&) noexcept;

  /// Sends a GET request. The reason for a failure is `Unavailable` if nothing
  /// was sent, or `Timeout` if the response is missing and the effect unknown.
  Result<HttpResponse> Get(std::string const& aPath, milliseconds aTimeout);
  /// Sends a PUT request; fails for the same reasons as `Get`.
  Result<HttpResponse> Put(
    std::string const& aPath,
    std::multimap<std::string, std::string> const& aHeaders,
    std::string const& aBody,
    milliseconds aTimeout);

  /// Aborts the request in progress, if any. May be called from any thread.
  void Cancel();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_HTTP_CONNECTION_HPP_INCLUDED
