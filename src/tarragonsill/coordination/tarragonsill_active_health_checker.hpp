#ifndef TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED
#define TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_upstream_selector.hpp"

#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

/// Decides which upstreams to check for reach, and what the answers mean.
///
/// Callers' packets raise doubts, yet one flow has to repeat itself for more
/// than a second until they prove a crash. A connection that is refused or
/// ignored, while another upstream takes one, proves it in a fraction of that.
/// One upstream out of reach is seldom alone, so the others that are silent are
/// checked, too, before their callers notice.
namespace tarragonsill {

/// What became of a connection to an upstream.
enum class ConnectResult : std::uint8_t
{
  Accepted,
  Refused,  ///< Nothing listens there.
  NoAnswer, ///< No answer in time.
};

std::string_view ToText(ConnectResult aResult);

class ActiveHealthChecker
{
public:
  /// The pause between two checks of an upstream. It doubles with each one that
  /// fails.
  static constexpr milliseconds kMinPause{ 500 };
  static constexpr milliseconds kMaxPause{ 4000 };
  static constexpr milliseconds kAcceptedPause{ 2000 };
  /// One event strikes many upstreams at once; those that took a connection
  /// this recently are not checked because of others.
  static constexpr milliseconds kSpreadPause{ 6000 };
  /// Connections have a price at the operators' platform.
  static constexpr std::size_t kMaxAtOnce = 16;
  /// After an upstream was found out of reach, others that carry flows and
  /// were silent for a moment are checked for this long.
  static constexpr milliseconds kSpreadFor{ 1500 };
  static constexpr milliseconds kSilentFor{ 150 };
  /// An upstream that answered this recently is in reach, unless this VM's own
  /// link fails.
  static constexpr milliseconds kWitnessFresh{ 2000 };

  /// Something that an upstream owes is overdue.
  void Doubt(std::uint32_t aSlot) { mDoubted.insert(aSlot); }
  /// Doubts upstreams by what is known of all of them; to be called several
  /// times a second.
  void Review(TimePoint aNow,
              RoutingView const& aView,
              std::vector<UpstreamLoad> const& aLoads);
  /// Starts a round of checks, if one is due and none is on its way; returns
  /// the slots to check, a witness included.
  std::vector<std::uint32_t> Begin(TimePoint aNow,
                                   std::vector<UpstreamLoad> const& aLoads);
  /// Takes an answer. The last one of a round returns the upstreams that are
  /// out of reach, also those that were before.
  std::vector<std::uint32_t> Take(TimePoint aNow,
                                  std::uint32_t aSlot,
                                  ConnectResult aResult,
                                  std::vector<UpstreamLoad> const& aLoads);
  /// This VM stood still: answers may have waited in its own queue.
  void HandleLocalPause();

private:
  struct Check
  {
    std::uint32_t mSlot = 0;
    bool mIsWitness = false;
    std::optional<ConnectResult> mResult;
  };

  bool IsSpreadTo(TimePoint aNow, std::uint32_t aSlot) const;
  std::optional<std::uint32_t> Witness(
    TimePoint aNow,
    std::vector<UpstreamLoad> const& aLoads) const;
  std::vector<std::uint32_t> Judge(TimePoint aNow,
                                   std::vector<UpstreamLoad> const& aLoads);

  std::set<std::uint32_t> mDoubted;
  std::vector<Check> mRound;
  TimePoint mRoundStarted{};
  TimePoint mSpreadUntil{};
  struct Pause
  {
    TimePoint mUntil{};
    milliseconds mLast{ 0 };
    TimePoint mAccepted{}; ///< The last connection.
  };
  std::vector<Pause> mPauses; ///< By slot.
};

} // namespace tarragonsill

#endif // TARRAGONSILL_ACTIVE_HEALTH_CHECKER_HPP_INCLUDED
