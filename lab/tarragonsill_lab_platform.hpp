#ifndef TARRAGONSILL_LAB_PLATFORM_HPP_INCLUDED
#define TARRAGONSILL_LAB_PLATFORM_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_membership.hpp"
#include "tarragonsill/state/tarragonsill_reason.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <memory>
#include <string>
#include <vector>

/// The platform stand-in: versioned objects with conditional writes and
/// watches, and a lagging list of VMs, over HTTP and JSON.
namespace tarragonsill::Lab {

class Platform
{
public:
  /// Starts to serve; the reason is `SystemFailure`.
  static Result<std::unique_ptr<Platform>> Start(Endpoint aAddress,
                                                 milliseconds aListLag);
  ~Platform();

  /// While down, the platform answers nothing but errors.
  void SetDown(bool aDown);
  /// Delays every answer.
  void SetDelay(milliseconds aDelay);
  /// Comes back from a copy of this age, with the next era.
  void RollBack(milliseconds aAge);
  /// Lets the next write take effect but loses its answer.
  void LoseNextWriteAnswer();
  /// Lists a VM, or changes its state, after the lag.
  void ListVm(PlatformVm aVm);
  std::uint64_t CallCount() const;

private:
  struct Impl;
  explicit Platform(std::unique_ptr<Impl> aImpl);

  std::unique_ptr<Impl> mImpl;
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_PLATFORM_HPP_INCLUDED
