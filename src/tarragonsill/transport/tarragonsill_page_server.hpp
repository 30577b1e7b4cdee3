#ifndef TARRAGONSILL_PAGE_SERVER_HPP_INCLUDED
#define TARRAGONSILL_PAGE_SERVER_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <functional>
#include <map>
#include <memory>
#include <string>

/// Serves a few small pages over HTTP.
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
  /// The parameters of a query by name.
  using Parameters = std::multimap<std::string, std::string>;
  using Handler = std::function<Page(Parameters const&)>;

  /// Serves each path by its handler, which runs on the server's own thread.
  /// The reason is `SystemFailure`.
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
