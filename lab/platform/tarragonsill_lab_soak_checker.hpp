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

class SoakJudge
{
public:
  /// The rules of the operators' pages.
  static constexpr milliseconds kInTouchAfter{ 5000 };
  static constexpr milliseconds kDrainBound{ 3000 };
  static constexpr milliseconds kConfigurationBound{ 3000 };
  static constexpr milliseconds kEvacuationBound{ 5000 };
  /// After all VMs were killed; processes start on a busy machine.
  static constexpr milliseconds kBackBound{ 5000 };

  struct Upstream
  {
    std::string mName;
    std::string mZone;
    Endpoint mRoute; ///< Of its service.
    TimePoint mDrainedAt{};
    bool mHasCrashed = false;
  };

  void AddUpstream(std::uint32_t aCookie, Upstream aUpstream);
  Upstream& At(std::uint32_t aCookie) { return mUpstreams[aCookie]; }
  void SetRoute(TimePoint aNow, Endpoint aRoute, bool aIsThere);
  void SetEvacuated(TimePoint aNow, std::string const& aZone, bool aIsOut);
  /// A fault disturbs a VM up to some time; each fault counts.
  void DisturbVm(Endpoint aVm, TimePoint aUntil);
  /// A VM does not run.
  void NoteDown(Endpoint aVm, TimePoint aNow);
  void DisturbStore(TimePoint aUntil);
  void KilledAll(TimePoint aNow);

  /// What broke a rule, if anything did.
  std::optional<std::string> Judge(FlowEvent const& aEvent);
  /// Whether callers are served again in time after the last kill of all.
  std::optional<std::string> JudgeReturn(TimePoint aNow);

private:
  struct State
  {
    TimePoint mSince{};
    bool mIsOn = false;
  };

  /// Whether a change from some time ago must be in force at a VM.
  bool Binds(Endpoint aVm,
             TimePoint aChanged,
             milliseconds aBound,
             TimePoint aAsked) const;
  std::optional<std::string> JudgeOpened(FlowEvent const& aEvent);
  std::optional<std::string> JudgeReset(FlowEvent const& aEvent) const;

  std::map<std::uint32_t, Upstream> mUpstreams;
  std::map<Endpoint, State> mRoutes;
  std::map<std::string, State> mEvacuated;
  std::map<Endpoint, TimePoint> mVmUntil;
  TimePoint mStoreUntil{};
  TimePoint mAnyVmUntil{};
  TimePoint mFaultUntil{};
  TimePoint mKilledAt{};
};

} // namespace tarragonsill::Lab

#endif // TARRAGONSILL_LAB_SOAK_CHECKER_HPP_INCLUDED
