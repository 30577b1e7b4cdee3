#include "tarragonsill_test.hpp"

#include "tarragonsill/coordination/tarragonsill_early_packets.hpp"

using namespace tarragonsill;

namespace {

constexpr TimePoint kStart{ seconds{ 100 } };

} // namespace

/// The pattern *restart crowd*: every VM starts at once, and callers' packets
/// come before any VM knows an upstream.
TEST_GROUP(EarlyPackets)
{
  EarlyPackets mEarly;

  bool Keep(milliseconds aAfterStart, std::size_t aSize = 36)
  {
    EarlyPackets::Bytes const bytes(aSize,
                                    std::byte(aAfterStart.count() & 0x7F));
    return mEarly.Keep(kStart + aAfterStart, bytes);
  }
};

TEST(EarlyPackets, packets_are_handed_over_in_the_order_of_their_arrival)
{
  CHECK(mEarly.IsEmpty());
  CHECK(Keep(milliseconds{ 1 }));
  CHECK(Keep(milliseconds{ 2 }));
  auto const packets = mEarly.TakeAll();
  LONGS_EQUAL(2, packets.size());
  CHECK(packets.front().front() == std::byte{ 1 });
  CHECK(packets.back().front() == std::byte{ 2 });
  CHECK(mEarly.IsEmpty());
}

TEST(EarlyPackets, none_waits_until_its_caller_has_sent_a_copy)
{
  CHECK(Keep(milliseconds{ 0 }));
  CHECK(Keep(milliseconds{ 120 }));
  auto const old = mEarly.TakeExpired(kStart + EarlyPackets::kMaxWait);
  LONGS_EQUAL(1, old.size());
  CHECK(old.front().front() == std::byte{ 0 });
  LONGS_EQUAL(1, mEarly.TakeAll().size());
}

TEST(EarlyPackets, memory_is_bounded_and_old_packets_make_room)
{
  constexpr std::size_t kFull = 1236;
  std::size_t kept = 0;
  while (Keep(milliseconds{ 0 }, kFull)) {
    ++kept;
  }
  CHECK(kept * kFull <= EarlyPackets::kMaxBytes);
  auto const old = mEarly.TakeExpired(kStart + EarlyPackets::kMaxWait);
  LONGS_EQUAL(kept, old.size());
  CHECK(Keep(EarlyPackets::kMaxWait, kFull));
}
