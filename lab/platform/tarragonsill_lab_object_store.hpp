#ifndef TARRAGONSILL_LAB_OBJECT_STORE_HPP_INCLUDED
#define TARRAGONSILL_LAB_OBJECT_STORE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

/// A stand-in for the operators' object store that serves lists and watches by
/// kind.
namespace tarragonsill::Lab {

class ObjectStore
{
public:
  /// Starts the HTTP server. Fails with `SystemFailure`.
  static Result<std::unique_ptr<ObjectStore>> Start(Endpoint aAddress);
  ~ObjectStore();

  void Put(std::string const& aKind,
           std::string const& aName,
           nlohmann::json const& aSpec);
  /// Puts an object that is listed under its name but shows none.
  void PutNameless(std::string const& aKind, std::string const& aName);
  void Remove(std::string const& aKind, std::string const& aName);
  /// While down, the store answers every call with status 503.
  void SetDown(bool aIsDown);
  /// Drops the event history; watches from an older revision get status 410.
  void CompactHistory();
  /// Captures the current state as a replica that gets no further updates.
  void CaptureStaleReplica();
  /// Sets whether that replica serves the requests that accept stale answers.
  void ServeStaleReplica(bool aIsStale);
  /// Restores the state of `aAge` ago and raises the era. Later writes are
  /// lost, and their revisions are assigned again.
  void RollBack(milliseconds aAge);
  /// Omits the era header from now on, like a store that is never restored.
  void OmitEra();
  std::uint64_t CallCount() const;
  StorePosition Position() const;

private:
  struct Impl;
  explicit ObjectStore(std::unique_ptr<Impl> aImpl);
  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_OBJECT_STORE_HPP_INCLUDED
