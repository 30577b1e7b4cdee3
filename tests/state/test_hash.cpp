#include "tarragonsill_test.hpp"

#include "support/fixtures.hpp"

#include <unordered_set>

using namespace tarragonsill;

TEST_GROUP(Hash){};

TEST(Hash, flow_keys_of_neighbouring_callers_do_not_collide)
{
  // Guards against a hash that collided for callers whose ports differ by one,
  // so that their flows shared state.
  std::unordered_set<std::uint64_t> seen;
  std::size_t keys = 0;
  Endpoint const service{ { 0xC6336401 }, 443 };
  for (std::uint32_t address = 0; address < 8; ++address) {
    for (std::uint32_t port = 1024; port < 65536; ++port) {
      FlowKey const key{ { { 0x64400001 + address },
                           static_cast<std::uint16_t>(port) },
                         service,
                         TransportProtocol::Tcp };
      seen.insert(key.Hash());
      ++keys;
    }
  }
  LONGS_EQUAL(keys, seen.size());
}

TEST(Hash, tcp_and_udp_flows_of_the_same_endpoints_have_different_hashes)
{
  FlowKey key{ Test::CallerAt(1), { { 1 }, 2 }, TransportProtocol::Tcp };
  auto const tcp = key.Hash();
  key.mProtocol = TransportProtocol::Udp;
  CHECK(tcp != key.Hash());
}
