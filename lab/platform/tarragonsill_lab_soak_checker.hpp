#ifndef TARRAGONSILL_LAB_SOAK_CHECKER_HPP_INCLUDED
#define TARRAGONSILL_LAB_SOAK_CHECKER_HPP_INCLUDED

#include "platform/tarragonsill_lab_flow_callers.hpp"

#include <map>
#include <optional>
#include <string>

/// Holds what callers saw against the operators' rules.
///
/// Bounds in time bind VMs in touch only: undisturbed, as the store is, for the
/// whole time before.
namespace tarragonsill::Lab {

class SoakChecker
{
public:
  /// The rules of the operators' pages.
  static constexpr milliseconds kSettleTime{ 5000 };
  static constexpr milliseconds kDrainBound{ 3000 };
  static constexpr milliseconds kConfigurationBound{ 3000 };
  static constexpr milliseconds kEvacuationBound{ 5000 };
  /// After all VMs were killed; processes start on a busy machine.
  static constexpr milliseconds kRecoveryBound{ 5000 };

  struct Upstream
  {
    std::string mName;
    std::string mZone;
    Endpoint mRoute; ///< Of its service.
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
  /// A fault disturbs a VM up to some time; each fault counts.
  void RecordVmFault(Endpoint aVm, TimePoint aUntil);
  /// A VM does not run.
  void RecordVmDown(Endpoint aVm, TimePoint aNow);
  void RecordStoreFault(TimePoint aUntil);
  void RecordAllVmsKilled(TimePoint aNow);

  /// What broke a rule, if anything did.
  std::optional<std::string> Check(FlowEvent const& aEvent);
  /// Whether callers are served again in time after the last kill of all.
  std::optional<std::string> CheckRecovery(TimePoint aNow);

private:
  struct Change
  {
    TimePoint mSince{};
    bool mIsActive = false;
  };

  /// Whether a change from some time ago must be in force at a VM.
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
