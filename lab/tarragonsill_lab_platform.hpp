#ifndef TARRAGONSILL_LAB_PLATFORM_HPP_INCLUDED
#define TARRAGONSILL_LAB_PLATFORM_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_membership.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>
#include <string>
#include <vector>

/// A stand-in for the platform: versioned objects with conditional writes and
/// watches, and a delayed list of VMs, over HTTP and JSON.
namespace tarragonsill::Lab {

class Platform
{
public:
  /// Starts the server. Fails with `SystemFailure`.
  static Result<std::unique_ptr<Platform>> Start(Endpoint aAddress,
                                                 milliseconds aListLag);
  ~Platform();

  /// While down, the platform answers every call with an error.
  void SetDown(bool aDown);
  /// Delays every answer.
  void SetDelay(milliseconds aDelay);
  /// Restores the objects of `aAge` ago and raises the era (a store rollback).
  void RollBack(milliseconds aAge);
  /// The next write is stored, but its answer is an error.
  void LoseNextWriteAnswer();
  /// Adds a VM to the list, or changes its state, after the list lag.
  void ListVm(PlatformVm aVm);
  std::uint64_t CallCount() const;

private:
  struct Impl;
  explicit Platform(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_PLATFORM_HPP_INCLUDED
