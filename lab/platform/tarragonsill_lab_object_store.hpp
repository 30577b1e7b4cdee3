#ifndef TARRAGONSILL_LAB_OBJECT_STORE_HPP_INCLUDED
#define TARRAGONSILL_LAB_OBJECT_STORE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_address.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>
#include <string>

#include <nlohmann/json.hpp>

/// Stand-in of the operators' object store: lists and watches by kind.
namespace tarragonsill::Lab {

class ObjectStore
{
public:
  /// Starts to serve; the reason is `SystemFailure`.
  static Result<std::unique_ptr<ObjectStore>> Start(Endpoint aAddress);
  ~ObjectStore();

  void Put(std::string const& aKind,
           std::string const& aName,
           nlohmann::json const& aSpec);
  void Remove(std::string const& aKind, std::string const& aName);
  /// While down, every call is refused.
  void SetDown(bool aIsDown);
  /// Forgets what happened so far: watches from before are told so.
  void CompactHistory();
  /// Keeps the present state as that of a replica that hears nothing more.
  void CaptureStaleReplica();
  /// Whether answers that may lag come from that replica.
  void ServeStaleReplica(bool aIsStale);
  /// Comes back from a copy of this age, with the next era: what was written
  /// since is gone, and its revisions are given out again.
  void RollBack(milliseconds aAge);
  /// Names no era from now on, as a store without copies.
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
