#ifndef TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED
#define TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED

#include "support/fixtures.hpp"
#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include <memory>

/// A packet engine without a control plane or other cores. It is the owner of
/// all upstreams of a service or, with a peer, of some of them.
namespace tarragonsill::Test {

class EngineFixture
{
public:
  struct Options
  {
    unsigned mUpstreams = 14;
    std::uint32_t mConnections = 1'000'000;
    /// Whether there is a second member. The engine is then the home of only
    /// some flows and the owner of only some upstreams.
    bool mWithPeer = false;
    std::size_t mAnswerCacheCapacity = 65536;
  };

  explicit EngineFixture(Options aOptions);

  PacketEngine& Engine() { return mEngine; }
  Counters& Counts() { return mCounters; }
  SteeringSnapshot const& Snapshot() const { return *mSnapshot; }
  TimePoint Now() const { return kStart; }

  /// Opens a flow. Returns its upstream; empty if the opening packet goes to
  /// the peer or is dropped.
  std::optional<Endpoint> Open(std::uint32_t aCaller);

private:
  Configuration mConfiguration;
  Counters mCounters;
  PacketEngine mEngine;
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED
