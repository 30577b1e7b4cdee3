#ifndef TARRAGONSILL_HTTP_CONNECTION_HPP_INCLUDED
#define TARRAGONSILL_HTTP_CONNECTION_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <map>
#include <memory>
#include <string>

/// An HTTP connection with time limits, kept open between calls. One thread
/// uses it at a time.
namespace tarragonsill {

struct HttpResponse
{
  int mStatus = 0;
  std::string mBody;
  /// By name in small letters; of headers that repeat, the last one.
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
    /// Keeps the connection open for the next call.
    bool mKeepAlive = true;
  };

  explicit HttpConnection(Options aOptions);
  ~HttpConnection();
  HttpConnection(HttpConnection&&) noexcept;

  /// Reasons: `Unavailable` if nothing was sent, `Timeout` if the answer is
  /// missing and the effect unknown.
  Result<HttpResponse> Get(std::string const& aPath, milliseconds aTimeout);
  Result<HttpResponse> Put(
    std::string const& aPath,
    std::multimap<std::string, std::string> const& aHeaders,
    std::string const& aBody,
    milliseconds aTimeout);

  /// Ends the call that another thread waits for, if there is one.
  void Cancel();

private:
  struct Impl;
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_HTTP_CONNECTION_HPP_INCLUDED
