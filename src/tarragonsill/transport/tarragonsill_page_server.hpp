#ifndef TARRAGONSILL_PAGE_SERVER_HPP_INCLUDED
#define TARRAGONSILL_PAGE_SERVER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

/// Serves small pages, such as readiness and metrics, over HTTP.
namespace tarragonsill {

struct Page
{
  int mStatus = 200;
  std::string mType = "text/plain; version=0.0.4";
  std::string mBody;
};

class PageServer
{
public:
  /// The query parameters of a request, by name.
  using Parameters = std::multimap<std::string, std::string>;
  using Handler = std::function<Page(Parameters const&)>;

  /// Starts a server that answers each path by its handler. Handlers run on the
  /// server's threads. The reason for a failure is `SystemFailure`.
  static Result<std::unique_ptr<PageServer>> Start(
    Endpoint aAddress,
    std::map<std::string, Handler> aPages);
  ~PageServer();

private:
  struct Impl;
  explicit PageServer(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_PAGE_SERVER_HPP_INCLUDED
