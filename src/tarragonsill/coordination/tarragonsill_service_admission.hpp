#ifndef TARRAGONSILL_SERVICE_ADMISSION_HPP_INCLUDED
#define TARRAGONSILL_SERVICE_ADMISSION_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_priority_admission.hpp"
#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"
#include "tarragonsill/state/tarragonsill_shared_load.hpp"

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

/// Applies priority admission to the services of a routing view.
namespace tarragonsill {

/// A change of a shortage, or what was decided during one.
struct ShortageEvent
{
  enum class Kind : std::uint8_t
  {
    Began,
    Decided, ///< At the first rejection, then once a period.
    Ended,
  };
  Kind mKind = Kind::Began;
  std::string mService;
  double mUtilisation = 0.0;
  milliseconds mExpectedWait{ 0 };
  bool mIsShared = false; ///< Whether the load from other VMs is included.
  std::vector<AdmissionCounts> mCounts;
};

class ServiceAdmission
{
public:
  /// Between lines about the decisions of a service.
  static constexpr milliseconds kReportPeriod{ 1000 };
  /// Nothing is rejected for this time after a local pause: the caller may have
  /// opened the flow through another VM by a copy of its opening packet.
  static constexpr milliseconds kTrustAfterPause{ 1400 };

  /// Records the time that a request took at an upstream, relative to the usual
  /// time of its kind.
  void RecordAnswer(TimePoint aNow,
                    RoutingView const& aView,
                    ResolvedUpstream const& aUpstream,
                    double aRelativeTime,
                    std::chrono::duration<double> aUsualTime);
  /// Decides about an opening packet that was not sent to any upstream.
  bool Admit(TimePoint aNow,
             RoutingView const& aView,
             std::uint32_t aService,
             Opening const& aOpening);
  /// Updates the shortages. Must be called several times a second.
  void Review(TimePoint aNow,
              RoutingView const& aView,
              std::vector<UpstreamLoad> const& aLoads,
              SharedLoads const* aShared);
  void HandleLocalPause(TimePoint aNow) { mResumedAt = aNow; }

  std::vector<ShortageEvent> TakeEvents();
  std::uint32_t ServicesShort() const;

private:
  /// The answers of a zone's upstreams to this VM.
  struct ZoneAnswers
  {
    double mRelativeTime = 1.0; ///< A moving average.
    TimePoint mLastAnswer{};
  };
  struct ServiceState
  {
    std::string mName;
    ShortageDetector mDetector;
    PriorityAdmission mAdmission;
    std::vector<ZoneAnswers> mZones;
    std::chrono::duration<double> mUsualTime{ 0 }; ///< A moving average.
    bool mIsShared = false;
    bool mHasRejected = false; ///< Since the last report.
    TimePoint mNextReport{};
    TimePoint mLastOpening{};
  };

  /// The load on a service's upstreams in one zone.
  struct ZoneSum
  {
    double mSlots = 0.0;
    double mInProgress = 0.0;
  };

  ServiceState& StateOf(ResolvedService const& aService);
  static ServiceLoad LoadOf(TimePoint aNow,
                            RoutingView const& aView,
                            ResolvedService const& aService,
                            std::vector<UpstreamLoad> const& aLoads,
                            SharedLoads const* aShared,
                            ServiceState const& aState);
  static void SumUp(TimePoint aNow,
                    std::uint32_t aOwnZone,
                    std::vector<ZoneSum> const& aZones,
                    ServiceState const& aState,
                    ServiceLoad& aLoad);
  void ReviewService(TimePoint aNow,
                     ServiceLoad const& aLoad,
                     ServiceState& aState);
  void AddEvent(ShortageEvent::Kind aKind, ServiceState& aState);

  /// By the hash of the service's name, as indices change with the view.
  std::unordered_map<std::uint64_t, ServiceState> mServices;
  std::vector<ShortageEvent> mEvents;
  TimePoint mResumedAt{};
};

} // namespace tarragonsill

#endif // TARRAGONSILL_SERVICE_ADMISSION_HPP_INCLUDED
