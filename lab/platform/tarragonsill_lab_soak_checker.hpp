#ifndef TARRAGONSILL_LAB_SOAK_CHECKER_HPP_INCLUDED
#define TARRAGONSILL_LAB_SOAK_CHECKER_HPP_INCLUDED

#include "platform/tarragonsill_lab_flow_callers.hpp"

#include <map>
#include <optional>
#include <string>

/// Checks the guarantees to the operators against what callers observed.
///
/// Time bounds apply only to settled VMs: neither the VM nor the store had a
/// fault during the settle time and the bound.
namespace tarragonsill::Lab {

class SoakChecker
{
public:
  /// Bounds from the operators' documentation.
  static constexpr milliseconds kSettleTime{ 5000 };
  static constexpr milliseconds kDrainBound{ 3000 };
  static constexpr milliseconds kConfigurationBound{ 3000 };
  static constexpr milliseconds kEvacuationBound{ 5000 };
  /// Bound on recovery after all VMs were killed; processes start slowly on a
  /// busy machine.
  static constexpr milliseconds kRecoveryBound{ 5000 };

  struct Upstream
  {
    std::string mName;
    std::string mZone;
    Endpoint mRoute; ///< The route of its service.
    TimePoint mDrainedAt{};
    bool mHasCrashed = false;
  };

  void AddUpstream(std::uint32_t aCookie, Upstream aUpstream);
  Upstream& UpstreamWithCookie(std::uint32_t aCookie)
  {
    return mUpstreams[aCookie];
  }
  void SetRoute(TimePoint aNow, Endpoint aRoute, bool aIsPresent);
  void SetEvacuated(TimePoint aNow,
                    std::string const& aZone,
                    bool aIsEvacuated);
  /// Records an injected fault of a VM that lasts until a time.
  void RecordVmFault(Endpoint aVm, TimePoint aUntil);
  /// Records that a VM is not running. This is no injected fault and does not
  /// extend the recovery bound.
  void RecordVmDown(Endpoint aVm, TimePoint aNow);
  void RecordStoreFault(TimePoint aUntil);
  void RecordAllVmsKilled(TimePoint aNow);

  /// Returns a description of the violated guarantee, if any.
  std::optional<std::string> Check(FlowEvent const& aEvent);
  /// Returns a violation if no flow was opened in time after all VMs were
  /// killed.
  std::optional<std::string> CheckRecovery(TimePoint aNow);

private:
  struct Change
  {
    TimePoint mSince{};
    bool mIsActive = false;
  };

  /// Whether a change must be in force at a VM for a packet sent at a time.
  bool MustBeInForce(Endpoint aVm,
                     TimePoint aChanged,
                     milliseconds aBound,
                     TimePoint aSentAt) const;
  std::optional<std::string> CheckOpened(FlowEvent const& aEvent);
  std::optional<std::string> CheckReset(FlowEvent const& aEvent) const;

  std::map<std::uint32_t, Upstream> mUpstreams;
  std::map<Endpoint, Change> mRoutes;
  std::map<std::string, Change> mEvacuated;
  std::map<Endpoint, TimePoint> mVmFaultEnd;
  TimePoint mStoreFaultEnd{};
  TimePoint mAnyVmFaultEnd{};
  TimePoint mInjectedFaultEnd{};
  TimePoint mAllKilledAt{};
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_CHECKER_HPP_INCLUDED
