#ifndef TARRAGONSILL_STORE_FRESHNESS_HPP_INCLUDED
#define TARRAGONSILL_STORE_FRESHNESS_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_store_position.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>

/// Tells how old a VM's state of the store is.
///
/// Replicas of the store may lag by seconds, so the time at which an answer
/// arrived does not tell how old its content is. Only a call that must be
/// answered with current data shows that: no change that was acknowledged
/// before the call lies beyond the position in its answer.
namespace tarragonsill {

/// A position beyond which the store had no change at a given time.
struct ConfirmedPosition
{
  StorePosition mPosition;
  TimePoint mAt{};
  /// Identifies the call that confirmed the position, on all VMs.
  std::uint64_t mId = 0;
};

class StoreFreshness
{
public:
  /// `aVm` is the name of this VM; it may be empty if no position that this VM
  /// confirms is reported to peers.
  explicit StoreFreshness(std::string const& aVm = {});

  /// Records the position in an answer that had to be current, with the time at
  /// which its call was sent. Assigns the id.
  void RecordAnswer(ConfirmedPosition aConfirmed);
  /// Records a position that a peer reports. Its time is too late by the time
  /// the report took, so a position that comes back by way of other VMs is
  /// ignored; else it would seem newer each time.
  void RecordReport(ConfirmedPosition const& aConfirmed);
  /// Returns the latest time up to which state that is complete up to
  /// `aCompleteTo` has all acknowledged changes; an unset time if none is
  /// known.
  TimePoint CurrentAsOf(StorePosition aCompleteTo) const;
  /// Returns the confirmed position with the latest time, if any.
  std::optional<ConfirmedPosition> Newest() const;

private:
  void Record(ConfirmedPosition const& aConfirmed);

  /// Older positions are dropped. At one confirmation every few hundred
  /// milliseconds this covers several seconds, longer than any state is used
  /// without a new confirmation.
  static constexpr std::size_t kMaxPositions = 32;

  std::uint64_t mVmHash;
  /// Ascending by time and by position.
  std::deque<ConfirmedPosition> mConfirmed;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STORE_FRESHNESS_HPP_INCLUDED
