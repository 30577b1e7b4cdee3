#ifndef TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED
#define TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED

#include "support/fixtures.hpp"
#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include <memory>

/// A packet engine outside a group of cores. It owns every upstream of a
/// service or, with a peer, a part of them.
namespace tarragonsill::Test {

class EngineFixture
{
public:
  struct Options
  {
    unsigned mUpstreams = 14;
    std::uint32_t mConnections = 1'000'000;
    /// With a peer, the engine is home of some flows and owner of some
    /// upstreams only.
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
