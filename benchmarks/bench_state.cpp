#include "support/core_group.hpp"
#include "tarragonsill/protocol/tarragonsill_configuration_yaml.hpp"
#include "tarragonsill/state/tarragonsill_flow_table.hpp"

#include <benchmark/benchmark.h>

using namespace tarragonsill;
using namespace tarragonsill::Test;

namespace {

struct Entry
{
  std::uint64_t mKey = 0;
  std::uint64_t mValue = 0;
};

void
FlowTableInsert(benchmark::State& aState)
{
  auto const flows = static_cast<std::uint64_t>(aState.range(0));
  for (auto _ : aState) {
    FlowTable<Entry> table;
    for (std::uint64_t flow = 1; flow <= flows; ++flow) {
      table.FindOrInsert(Scramble(flow)).mValue = flow;
    }
    aState.counters["bytes_per_flow"] =
      static_cast<double>(table.MemoryBytes()) / static_cast<double>(flows);
  }
  aState.SetItemsProcessed(aState.iterations() * aState.range(0));
}
BENCHMARK(FlowTableInsert)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void
FlowTableLookup(benchmark::State& aState)
{
  auto const flows = static_cast<std::uint64_t>(aState.range(0));
  FlowTable<Entry> table;
  for (std::uint64_t flow = 1; flow <= flows; ++flow) {
    table.FindOrInsert(Scramble(flow)).mValue = flow;
  }
  std::uint64_t next = 0;
  for (auto _ : aState) {
    next = next * 2862933555777941757ULL + 3037000493ULL;
    benchmark::DoNotOptimize(table.Find(Scramble(next % flows + 1)));
  }
}
BENCHMARK(FlowTableLookup)->Arg(10'000)->Arg(100'000)->Arg(1'000'000);

void
GossipSecond(benchmark::State& aState)
{
  CoreGroup group(CoreGroup::Options{}, MakeConfiguration({}));
  for (unsigned index = 0; index < aState.range(0); ++index) {
    group.Add("a");
  }
  group.RunUntilServing();
  for (auto _ : aState) {
    group.Run(seconds{ 1 });
  }
}
BENCHMARK(GossipSecond)
  ->Arg(7)
  ->Arg(20)
  ->Arg(50)
  ->Unit(benchmark::kMillisecond);

void
ReadConfigurationText(benchmark::State& aState)
{
  ServiceOptions serviceOptions;
  serviceOptions.mUpstreams = static_cast<unsigned>(aState.range(0));
  auto const text = WriteConfiguration(MakeConfiguration(serviceOptions), true);
  for (auto _ : aState) {
    YamlErrors errors("file");
    benchmark::DoNotOptimize(ReadConfiguration(text, errors));
  }
  aState.counters["text_bytes"] = static_cast<double>(text.size());
}
BENCHMARK(ReadConfigurationText)
  ->Arg(18)
  ->Arg(180)
  ->Arg(1800)
  ->Unit(benchmark::kMillisecond);

} // namespace
