#ifndef TARRAGONSILL_OFFERED_OPENINGS_HPP_INCLUDED
#define TARRAGONSILL_OFFERED_OPENINGS_HPP_INCLUDED

#include "tarragonsill/protocol/tarragonsill_flow_packet.hpp"
#include "tarragonsill/state/tarragonsill_time.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

/// Opening packets that more than one upstream may answer.
///
/// The flow opens at the upstream whose answer reaches its caller first. The
/// others repeat their answers for seconds, and a caller echoes the cookie that
/// it received last, so a VM that has never seen the flow would forward it to
/// one of them. An upstream answers with the cookie that it received last:
/// after a copy of the opening packet that carries the cookie of the flow's
/// upstream, its late answers name that one. Other VMs of the zone may have
/// offered the flow as well, or may get its next packets, so they are told.
namespace tarragonsill {

class OfferedOpenings
{
public:
  /// Upstreams repeat an unacknowledged answer for 9.4 s (operators' platform).
  /// A copy that arrives after that would open the flow again.
  static constexpr milliseconds kMaxAnswerAge{ 8000 };
  /// An upstream may not have received the packet that it was offered, so it
  /// gets a copy without having answered only while the caller waits.
  static constexpr milliseconds kMaxOfferAge{ 1400 };
  /// The minimum time between two copies for one upstream.
  static constexpr milliseconds kMinInterval{ 100 };
  /// Bounds the memory; further openings are not recorded.
  static constexpr std::size_t kMaxOpenings = 8192;
  /// Opening packets carry no data. Longer ones are not kept.
  static constexpr std::size_t kMaxPacketBytes = 128;

  /// Records that a flow was offered to an upstream.
  void RecordOffer(TimePoint aNow,
                   std::uint64_t aFlow,
                   FlowPacket const& aOpening,
                   std::uint32_t aSlot);
  /// Keeps the opening packet of a flow whose offers are recorded.
  void KeepPacket(std::uint64_t aFlow,
                  FlowPacket const& aOpening,
                  std::span<std::byte const> aBytes);

  /// The upstream at which a flow is open, and the one that the caller's last
  /// packet names.
  struct Holder
  {
    std::uint32_t mSlot = 0;
    std::optional<std::uint32_t> mNamedSlot;
  };
  /// An upstream that may answer although the flow is open at another one.
  struct LateAnswerer
  {
    std::uint32_t mSlot = 0;
    TimePoint mOfferedAt{};
    bool mHasAnswered = false;
  };
  /// Returns the upstreams that are due for a copy of the opening packet.
  std::vector<LateAnswerer> FindDue(TimePoint aNow,
                                    std::uint64_t aFlow,
                                    FlowPacket const& aPacket,
                                    Holder const& aHolder);
  /// Records a copy for an upstream, and returns the packet.
  std::vector<std::byte> TakeCopy(TimePoint aNow,
                                  std::uint64_t aFlow,
                                  std::uint32_t aSlot);

  /// Records at which upstream a flow is open. Returns the opening packet when
  /// other VMs are to be told, once for each flow.
  std::optional<std::vector<std::byte>> RecordHolder(std::uint64_t aFlow,
                                                     FlowPacket const& aPacket,
                                                     std::uint32_t aSlot);
  /// Records what another VM told.
  void RecordReport(TimePoint aNow,
                    std::uint64_t aFlow,
                    FlowPacket const& aOpening,
                    std::span<std::byte const> aBytes,
                    std::uint32_t aHolder);
  /// The upstream at which a packet's flow is open, if that is known.
  std::optional<std::uint32_t> HolderOf(std::uint64_t aFlow,
                                        FlowPacket const& aPacket) const;

  /// Drops the offers to the upstream that was in a slot before: another
  /// process would take a copy for a new flow.
  void ForgetUpstream(std::uint32_t aSlot);
  /// Removes what no upstream answers any more.
  void RemoveExpired(TimePoint aNow);

private:
  struct Offer
  {
    std::uint32_t mSlot = 0;
    TimePoint mOfferedAt{};
    TimePoint mCopiedAt{};    ///< When it got the last copy.
    bool mIsObsolete = false; ///< Of a process that was replaced.
  };
  struct Opening
  {
    std::uint32_t mSequence = 0;
    TimePoint mOfferedAt{}; ///< The last time.
    std::vector<Offer> mOffers;
    std::vector<std::byte> mBytes;
    std::optional<std::uint32_t> mHolder; ///< Where the flow is open.
  };

  static Offer& OfferTo(Opening& aOpening, std::uint32_t aSlot);
  /// Returns the entry of a flow; null if there is no room for it.
  Opening* FindOrAdd(std::uint64_t aFlow, FlowPacket const& aOpening);

  std::unordered_map<std::uint64_t, Opening> mOpenings;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_OFFERED_OPENINGS_HPP_INCLUDED
