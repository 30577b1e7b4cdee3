#include "tarragonsill_test.hpp"

#include "support/fixtures.hpp"
#include "tarragonsill/state/tarragonsill_steering_table.hpp"

#include <algorithm>

using namespace tarragonsill;

namespace {

constexpr std::uint64_t kFlows = 28000;

std::vector<BaseShare>
MakeShares(unsigned aCount, std::uint32_t aShare)
{
  std::vector<BaseShare> shares;
  for (unsigned index = 0; index < aCount; ++index) {
    shares.push_back({ { { 0x0A000001 + index }, 8443 }, "a", aShare });
  }
  return shares;
}

} // namespace

TEST_GROUP(SteeringTable){};

TEST(SteeringTable, spreads_28000_flows_over_14_upstreams_within_10_percent)
{
  auto const table = SteeringTable::Build(MakeShares(14, 2000));
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    std::vector<std::uint64_t> flows(14, 0);
    for (std::uint64_t flow = 0; flow < kFlows; ++flow) {
      ++flows[table.Pick(MixHash(seed, flow))];
    }
    auto const maxFlows = *std::max_element(flows.begin(), flows.end());
    CHECK(static_cast<double>(maxFlows) * 14 / kFlows <= 1.10);
  }
}

TEST(SteeringTable, flows_are_proportional_to_the_shares)
{
  auto shares = MakeShares(3, 100);
  shares[0].mShare = 200;
  auto const table = SteeringTable::Build(shares);
  std::vector<double> flows(3, 0);
  for (std::uint64_t flow = 0; flow < kFlows; ++flow) {
    flows[table.Pick(Scramble(flow))] += 1.0 / kFlows;
  }
  DOUBLES_EQUAL(0.50, flows[0], 0.02);
  DOUBLES_EQUAL(0.25, flows[1], 0.02);
}

TEST(SteeringTable, every_build_gives_the_same_table)
{
  auto const first = SteeringTable::Build(MakeShares(5, 10));
  auto const second = SteeringTable::Build(MakeShares(5, 10));
  for (std::uint64_t flow = 0; flow < 1000; ++flow) {
    LONGS_EQUAL(first.Pick(flow), second.Pick(flow));
  }
}

TEST(SteeringTable, the_table_is_empty_if_no_share_has_a_weight)
{
  CHECK(SteeringTable::Build({}).Empty());
  CHECK(SteeringTable::Build(MakeShares(2, 0)).Empty());
}
