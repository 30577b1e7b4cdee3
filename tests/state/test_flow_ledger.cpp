#include "tarragonsill_test.hpp"

#include "support/fixtures.hpp"
#include "tarragonsill/state/tarragonsill_flow_ledger.hpp"
#include "tarragonsill/state/tarragonsill_tcp_flags.hpp"

#include <map>

using namespace tarragonsill;
using Test::kStart;

namespace {

constexpr std::uint32_t kNoCeiling = 1000000;
constexpr seconds kIdleTimeout{ 3000 };
/// A flow without an answer counts as open for at least this time, which is
/// the ledger's timeout less the precision of its times.
constexpr milliseconds kUnansweredTimeout{ 9500 };
constexpr std::uint8_t kSynAck = TcpFlags::kSyn | TcpFlags::kAck;
constexpr std::uint8_t kFinAck = TcpFlags::kFin | TcpFlags::kAck;

Upstream
MakeUpstream(std::uint32_t aLimit, std::uint32_t aCold)
{
  Upstream upstream;
  upstream.mLimit.mConnections = aLimit;
  upstream.mColdLimit.mConnections = aCold;
  return upstream;
}

/// An admitted flow that its caller has not ended.
struct OpenFlow
{
  TimePoint mLastSeen{};
  bool mEstablished = false;
};

} // namespace

TEST_GROUP(FlowLedger){};

TEST(FlowLedger, admits_flows_up_to_the_connection_limit)
{
  FlowLedger ledger(MakeUpstream(3, 3));
  for (std::uint64_t flow = 1; flow <= 3; ++flow) {
    CHECK(ledger.Admit(kStart, flow, kNoCeiling) == Admission::Admitted);
  }
  CHECK(ledger.Admit(kStart, 4, kNoCeiling) == Admission::Full);
  CHECK(ledger.Admit(kStart, 2, kNoCeiling) == Admission::AlreadyAdmitted);
}

TEST(FlowLedger, admits_flows_up_to_the_ceiling_of_the_lease)
{
  FlowLedger ledger(MakeUpstream(10, 10));
  CHECK(ledger.Admit(kStart, 1, 1) == Admission::Admitted);
  CHECK(ledger.Admit(kStart, 2, 1) == Admission::Full);
}

TEST(FlowLedger, the_cold_limit_grows_only_with_answers)
{
  FlowLedger ledger(MakeUpstream(10, 2));
  CHECK(ledger.Admit(kStart, 1, kNoCeiling) == Admission::Admitted);
  CHECK(ledger.Admit(kStart, 2, kNoCeiling) == Admission::Admitted);
  CHECK(ledger.Admit(kStart, 3, kNoCeiling) == Admission::Cold);
  CHECK(ledger.RecordAnswer(kStart, 1, kSynAck) == AnswerVerdict::Pass);
  CHECK(ledger.Admit(kStart, 3, kNoCeiling) == Admission::Admitted);
}

TEST(FlowLedger,
     a_refused_opening_packet_restarts_the_ramp_up_and_its_reset_is_held_back)
{
  FlowLedger ledger(MakeUpstream(10, 1));
  for (std::uint64_t flow = 1; flow <= 9; ++flow) {
    ledger.Admit(kStart, flow, kNoCeiling);
    ledger.RecordAnswer(kStart, flow, kSynAck);
  }
  CHECK_FALSE(ledger.IsCold());
  CHECK(ledger.Admit(kStart, 10, kNoCeiling) == Admission::Admitted);
  CHECK(ledger.RecordAnswer(kStart, 10, TcpFlags::kRst) ==
        AnswerVerdict::HoldBack);
  CHECK(ledger.IsCold());
  CHECK(ledger.Admit(kStart, 11, kNoCeiling) == Admission::Admitted);
  CHECK(ledger.Admit(kStart, 12, kNoCeiling) == Admission::Full);
}

TEST(FlowLedger, a_reset_of_an_established_flow_passes)
{
  FlowLedger ledger(MakeUpstream(10, 10));
  ledger.Admit(kStart, 1, kNoCeiling);
  ledger.RecordAnswer(kStart, 1, kSynAck);
  CHECK(ledger.RecordAnswer(kStart, 1, TcpFlags::kRst) == AnswerVerdict::Pass);
}

TEST(FlowLedger, a_reset_of_a_flow_that_was_never_admitted_is_held_back)
{
  FlowLedger ledger(MakeUpstream(10, 10));
  CHECK(ledger.RecordAnswer(kStart, 7, TcpFlags::kRst) ==
        AnswerVerdict::HoldBack);
}

TEST(FlowLedger, adopted_flows_are_counted_until_they_expire)
{
  FlowLedger ledger(MakeUpstream(10, 10));
  ledger.Adopt(kStart, 9);
  LONGS_EQUAL(9, ledger.Used());
  CHECK_FALSE(ledger.IsEveryFlowIdentified());
  CHECK(ledger.Admit(kStart, 100, kNoCeiling) == Admission::Admitted);
  CHECK(ledger.Admit(kStart, 101, kNoCeiling) == Admission::Full);
  CHECK(ledger.ClaimAdoptedFlow(kStart, 1));
  LONGS_EQUAL(10, ledger.Used());
  ledger.Sweep(kStart + seconds{ 400 }, seconds{ 300 });
  CHECK(ledger.IsEveryFlowIdentified());
  LONGS_EQUAL(0, ledger.Used());
}

TEST(FlowLedger, an_ended_flow_is_removed_after_the_linger_time)
{
  FlowLedger ledger(MakeUpstream(1, 1));
  ledger.Admit(kStart, 1, kNoCeiling);
  ledger.RecordAnswer(kStart, 1, kSynAck);
  CHECK(ledger.RecordCallerPacket(kStart, 1, kFinAck));
  ledger.RecordAnswer(kStart, 1, kFinAck);
  ledger.Sweep(kStart, seconds{ 300 });
  LONGS_EQUAL(1, ledger.Used());
  ledger.Sweep(kStart + seconds{ 3 }, seconds{ 300 });
  LONGS_EQUAL(0, ledger.Used());
}

TEST(FlowLedger, never_counts_less_than_what_is_open)
{
  CheckProperty("count covers open flows", [] {
    auto const limit = *rc::gen::inRange<std::uint32_t>(1, 20);
    auto const cold = *rc::gen::inRange<std::uint32_t>(1, limit + 1);
    FlowLedger ledger(MakeUpstream(limit, cold));
    std::map<std::uint64_t, OpenFlow> open;
    auto now = kStart;
    auto const steps =
      *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
    for (auto const step : steps) {
      std::uint64_t const flow = static_cast<std::uint64_t>(step) / 4 % 25 + 1;
      switch (step % 4) {
        case 0:
        case 1: {
          auto const admission = ledger.Admit(now, flow, kNoCeiling);
          if (admission == Admission::Admitted) {
            open[flow] = { now, false };
          }
          if (admission == Admission::AlreadyAdmitted) {
            // An opening packet within the linger time reopens an ended flow.
            open[flow].mLastSeen = now;
          }
          break;
        }
        case 2:
          if (auto const found = open.find(flow); found != open.end()) {
            ledger.RecordAnswer(now, flow, kSynAck);
            found->second = { now, true };
          }
          break;
        default:
          if (ledger.RecordCallerPacket(now, flow, TcpFlags::kRst)) {
            open.erase(flow);
          }
          now += milliseconds{ 500 };
          ledger.Sweep(now, kIdleTimeout);
          std::erase_if(open, [&](auto const& aEntry) {
            return !aEntry.second.mEstablished &&
                   now - aEntry.second.mLastSeen > kUnansweredTimeout;
          });
      }
      RC_ASSERT(ledger.Used() >= open.size());
      RC_ASSERT(ledger.Used() <= limit);
      for (auto const& [key, state] : open) {
        RC_ASSERT(ledger.Contains(key));
      }
    }
  });
}
