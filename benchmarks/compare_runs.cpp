#include "compare.hpp"

#include "support/packet_path.hpp"
#include "tarragonsill/state/tarragonsill_placement.hpp"

#include <algorithm>
#include <map>
#include <random>
#include <unordered_map>

namespace tarragonsill::Compare {

namespace {

using namespace tarragonsill::Test;

constexpr unsigned kEntries = 6;
constexpr unsigned kUpstreams = 14;
constexpr std::size_t kKilledEntry = 2;
constexpr std::size_t kDrainedUpstream = 5;
/// Bytes that one flow takes on the wire if it is replicated, and in memory if
/// it is recorded.
constexpr double kReplicaBytes = 24;
constexpr double kFlowStateBytes = 16;

char const*
ToText(Event aEvent)
{
  switch (aEvent) {
    case Event::None:
      return "none";
    case Event::KillEntry:
      return "kill an entry VM";
    case Event::DrainUpstream:
      return "drain an upstream";
    case Event::AddUpstream:
      return "add an upstream";
    case Event::KillDuringDrain:
      return "kill during a drain";
  }
  return "";
}

bool
IncludesKill(Event aEvent)
{
  return aEvent == Event::KillEntry || aEvent == Event::KillDuringDrain;
}

bool
IncludesDrain(Event aEvent)
{
  return aEvent == Event::DrainUpstream || aEvent == Event::KillDuringDrain;
}

Configuration
MakeEventConfiguration(Event aEvent, bool aIsAfterEvent, std::uint64_t aVersion)
{
  ServiceOptions serviceOptions;
  serviceOptions.mZones = { "a", "b", "c" };
  serviceOptions.mUpstreams =
    kUpstreams + (aIsAfterEvent && aEvent == Event::AddUpstream ? 1 : 0);
  serviceOptions.mLimit = { 2000, 4 };
  serviceOptions.mColdLimit = serviceOptions.mLimit;
  auto configuration = MakeConfiguration(serviceOptions, aVersion);
  if (aIsAfterEvent && IncludesDrain(aEvent)) {
    configuration.mServices.front().mUpstreams[kDrainedUpstream].mState =
      UpstreamAdminState::Draining;
  }
  return configuration;
}

/// Selects the baselines' upstreams by rendezvous hashing over the serving
/// upstreams, which moves the fewest flows when the list changes.
class RendezvousSelector
{
public:
  explicit RendezvousSelector(Configuration const& aConfiguration)
  {
    for (auto const& upstream : aConfiguration.mServices.front().mUpstreams) {
      if (upstream.mState != UpstreamAdminState::Serving) {
        continue;
      }
      mUpstreams.push_back(upstream.mAddress);
      mKeys.push_back(PlacementKey(upstream.mAddress));
    }
  }

  Endpoint Pick(std::uint32_t aFlow) const
  {
    return mUpstreams[RankCandidates(Scramble(aFlow), mKeys, 1).front()];
  }

private:
  std::vector<Endpoint> mUpstreams;
  std::vector<std::uint64_t> mKeys;
};

double
ImbalanceOf(std::map<std::uint32_t, Endpoint> const& aFlows)
{
  std::map<Endpoint, double> counts;
  for (auto const& [flow, upstream] : aFlows) {
    ++counts[upstream];
  }
  double maxFlows = 0;
  for (auto const& [upstream, count] : counts) {
    maxFlows = std::max(maxFlows, count);
  }
  return maxFlows * kUpstreams / static_cast<double>(aFlows.size());
}

/// Runs a baseline. The predicate returns whether an entry VM has a record of
/// a flow; the upstream of other packets is selected by hash.
template<typename HasState>
Outcome
RunBaseline(Event aEvent,
            std::uint32_t aFlows,
            std::uint64_t aSeed,
            HasState aHasState)
{
  std::mt19937_64 random(aSeed);
  RendezvousSelector const before(MakeEventConfiguration(aEvent, false, 1));
  std::map<std::uint32_t, Endpoint> flows;
  std::map<std::uint32_t, std::size_t> openedAt;
  for (std::uint32_t flow = 0; flow < aFlows; ++flow) {
    flows[flow] = before.Pick(flow);
    openedAt[flow] = random() % kEntries;
  }
  RendezvousSelector const after(MakeEventConfiguration(aEvent, true, 2));
  Outcome outcome;
  outcome.mEvent = ToText(aEvent);
  outcome.mFlows = aFlows;
  outcome.mImbalance = ImbalanceOf(flows);
  for (auto const& [flow, upstream] : flows) {
    auto entry = random() % kEntries;
    while (IncludesKill(aEvent) && entry == kKilledEntry) {
      entry = random() % kEntries;
    }
    auto const selected =
      aHasState(entry, openedAt[flow]) ? upstream : after.Pick(flow);
    outcome.mBrokenFlows += selected == upstream ? 0 : 1;
  }
  return outcome;
}

} // namespace

Outcome
RunPureHashing(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  return RunBaseline(
    aEvent, aFlows, aSeed, [](std::size_t, std::size_t) { return false; });
}

Outcome
RunLocalState(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  auto outcome = RunBaseline(
    aEvent, aFlows, aSeed, [](std::size_t aEntry, std::size_t aOpenedAt) {
      return aEntry == aOpenedAt;
    });
  outcome.mStateBytesPerEntry = kFlowStateBytes * aFlows / kEntries;
  return outcome;
}

Outcome
RunReplicated(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  auto outcome = RunBaseline(
    aEvent, aFlows, aSeed, [](std::size_t, std::size_t) { return true; });
  outcome.mStateBytesPerEntry = kFlowStateBytes * aFlows;
  outcome.mControlBytesPerFlow = kReplicaBytes * (kEntries - 1);
  return outcome;
}

Outcome
RunTarragonsill(Event aEvent, std::uint32_t aFlows, std::uint64_t aSeed)
{
  CoreGroup::Options options;
  options.mSeed = aSeed;
  CoreGroup group(options, MakeEventConfiguration(aEvent, false, 1));
  for (unsigned entry = 0; entry < kEntries; ++entry) {
    group.Add(std::string(1, static_cast<char>('a' + entry % 3)));
  }
  group.RunUntilServing();
  group.Run(seconds{ 2 });
  std::mt19937_64 random(aSeed);
  std::map<std::uint32_t, Endpoint> flows;
  std::uint64_t exceptionBytes = 0;
  for (std::uint32_t flow = 0; flow < aFlows; ++flow) {
    if (auto const upstream = OpenFlow(group, random() % kEntries, flow)) {
      flows[flow] = *upstream;
    }
    if (flow % 100 == 0) {
      group.Run(milliseconds{ 100 });
    }
  }
  Outcome outcome;
  outcome.mEvent = ToText(aEvent);
  outcome.mFlows = flows.size();
  outcome.mImbalance = ImbalanceOf(flows);
  for (std::size_t entry = 0; entry < group.Count(); ++entry) {
    exceptionBytes += group.At(entry).mEngine.ExceptionCount() * 8;
    outcome.mStateBytesPerEntry =
      std::max(outcome.mStateBytesPerEntry,
               static_cast<double>(group.At(entry).mEngine.MemoryBytes()));
  }
  outcome.mControlBytesPerFlow =
    static_cast<double>(exceptionBytes) / static_cast<double>(flows.size());
  if (IncludesDrain(aEvent) || aEvent == Event::AddUpstream) {
    auto const next =
      MakeSuccessor(MakeEventConfiguration(aEvent, true, 2),
                    &*group.At(0).mControlPlane.CurrentConfiguration());
    auto configuration = *next;
    configuration.mVersion = 2;
    group.ApplyConfiguration(configuration);
  }
  if (IncludesKill(aEvent)) {
    group.Kill(kKilledEntry);
  }
  group.Run(seconds{ 6 });
  for (auto const& [flow, upstream] : flows) {
    auto entry = random() % kEntries;
    while (!group.IsRunning(entry)) {
      entry = random() % kEntries;
    }
    auto const result =
      FollowPacket(group, entry, CallerPacket(flow, TcpFlags::kAck));
    bool const isCorrect = result.mDelivered && result.mDestination == upstream;
    outcome.mBrokenFlows += isCorrect ? 0 : 1;
  }
  return outcome;
}

} // namespace tarragonsill::Compare
