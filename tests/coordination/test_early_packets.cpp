#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_early_packets.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };
constexpr milliseconds kFirstCopyWait{ 150 };

} // namespace

/// Failure pattern *restart crowd*: all VMs start at once, and callers' packets
/// arrive before any VM has a list of upstreams.
TEST_GROUP(EarlyPackets)
{
  EarlyPackets mPackets;

  bool Keep(milliseconds aAfterStart,
            std::size_t aSize = 36,
            FlowPacket const& aPacket = Opening(0))
  {
    EarlyPackets::Bytes const bytes(aSize,
                                    std::byte(aAfterStart.count() & 0x7F));
    return mPackets.Keep(
      kStart + aAfterStart, EarlyPackets::MaxWait(aPacket), bytes);
  }

  static FlowPacket Opening(std::uint32_t aRetransmissions)
  {
    FlowPacket packet;
    packet.mOpens = true;
    packet.mOpeningRetransmissions = aRetransmissions;
    return packet;
  }
};

TEST(EarlyPackets, packets_are_returned_in_order_of_arrival)
{
  CHECK(mPackets.IsEmpty());
  CHECK(Keep(milliseconds{ 1 }));
  CHECK(Keep(milliseconds{ 2 }));
  auto const packets = mPackets.TakeAll();
  LONGS_EQUAL(2, packets.size());
  CHECK(packets.front().front() == std::byte{ 1 });
  CHECK(packets.back().front() == std::byte{ 2 });
  CHECK(mPackets.IsEmpty());
}

/// Guards against review/7: packets that were queued while the VM was suspended
/// were buffered as if they were new.
TEST(EarlyPackets, an_opening_packet_waits_less_the_longer_it_was_queued)
{
  milliseconds const queued{ 100 };
  CHECK(EarlyPackets::MaxWait(Opening(0), queued) == kFirstCopyWait - queued);
  auto const late = EarlyPackets::MaxWait(Opening(0), seconds{ 2 });
  CHECK(late == Duration{ 0 });
  CHECK_FALSE(mPackets.Keep(kStart, late, {}));
}

TEST(EarlyPackets, packets_expire_before_their_callers_retransmit)
{
  CHECK(Keep(milliseconds{ 0 }));
  CHECK(Keep(milliseconds{ 120 }));
  auto const expired = mPackets.TakeExpired(kStart + kFirstCopyWait);
  LONGS_EQUAL(1, expired.size());
  CHECK(expired.front().front() == std::byte{ 0 });
  LONGS_EQUAL(1, mPackets.TakeAll().size());
}

// Guards against requests on open flows that wait for the retransmission after
// the VM is ready, up to 1.6 s later.
TEST(EarlyPackets, packets_of_open_flows_wait_until_their_callers_retransmit)
{
  CHECK(Keep(milliseconds{ 0 }, 36, FlowPacket{}));
  CHECK(mPackets.TakeExpired(kStart + milliseconds{ 1599 }).empty());
  LONGS_EQUAL(1, mPackets.TakeExpired(kStart + milliseconds{ 1600 }).size());
}

TEST(EarlyPackets, each_copy_of_an_opening_packet_expires_before_the_next_one)
{
  // Copies are sent 200 and 600 ms after the first; the attempt ends at 1.4 s.
  CHECK(Keep(milliseconds{ 200 }, 36, Opening(1)));
  CHECK(Keep(milliseconds{ 600 }, 36, Opening(2)));
  LONGS_EQUAL(1, mPackets.TakeExpired(kStart + milliseconds{ 599 }).size());
  LONGS_EQUAL(1, mPackets.TakeExpired(kStart + milliseconds{ 1399 }).size());
}

TEST(EarlyPackets, memory_is_limited_and_expired_packets_are_freed)
{
  constexpr std::size_t kFullPacketBytes = 1236;
  std::size_t count = 0;
  while (Keep(milliseconds{ 0 }, kFullPacketBytes)) {
    ++count;
  }
  CHECK(count * kFullPacketBytes <= EarlyPackets::kMaxBytes);
  auto const expired = mPackets.TakeExpired(kStart + kFirstCopyWait);
  LONGS_EQUAL(count, expired.size());
  CHECK(Keep(kFirstCopyWait, kFullPacketBytes));
}
