#ifndef TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED
#define TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED

#include "support/fixtures.hpp"
#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"

#include <memory>

/// One packet engine that owns every upstream of a service, or stands beside
/// a peer that does.
namespace tarragonsill::Test {

class EngineFixture
{
public:
  struct Options
  {
    unsigned mUpstreams = 14;
    std::uint32_t mConnections = 1'000'000;
    /// With a peer, the engine is home and owner of a part only.
    bool mWithPeer = false;
    std::size_t mAnswerCacheCapacity = 65536;
  };

  explicit EngineFixture(Options aOptions);

  PacketEngine& Engine() { return mEngine; }
  Counters& Counts() { return mCounters; }
  SteeringSnapshot const& Snapshot() const { return *mSnapshot; }
  TimePoint Now() const { return kStart; }

  /// Opens a flow; returns its upstream, or nothing if it goes elsewhere.
  std::optional<Endpoint> Open(std::uint32_t aCaller);

private:
  Configuration mConfiguration;
  Counters mCounters;
  PacketEngine mEngine;
  std::shared_ptr<SteeringSnapshot const> mSnapshot;
};

} // namespace tarragonsill::Test

#endif // TARRAGONSILL_TEST_ENGINE_FIXTURE_HPP_INCLUDED
