#include "tarragonsill_test.hpp"

#include "tarragonsill/state/tarragonsill_flow_table.hpp"
#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <map>

using namespace tarragonsill;

namespace {

struct Entry
{
  std::uint64_t mKey = 0;
  std::uint64_t mValue = 0;
};

} // namespace

TEST_GROUP(FlowTable){};

TEST(FlowTable, behaves_like_a_map_for_any_sequence_of_changes)
{
  CheckProperty("like a map", [] {
    FlowTable<Entry> table;
    std::map<std::uint64_t, std::uint64_t> model;
    auto const steps =
      *rc::gen::container<std::vector<std::pair<std::uint8_t, std::uint8_t>>>(
        rc::gen::arbitrary<std::pair<std::uint8_t, std::uint8_t>>());
    for (auto const& [action, keyByte] : steps) {
      // Only 40 keys with equal high bits, so that their probe sequences
      // overlap.
      auto const key = (std::uint64_t{ keyByte } % 40) + 1;
      if (action % 3 == 0) {
        RC_ASSERT(table.Erase(key) == (model.erase(key) > 0));
      } else {
        table.FindOrInsert(key).mValue = action;
        model[key] = action;
      }
      RC_ASSERT(table.Size() == model.size());
    }
    for (std::uint64_t key = 1; key <= 40; ++key) {
      auto const* found = table.Find(key);
      RC_ASSERT((found != nullptr) == (model.count(key) > 0));
      // RC_ASSERT would evaluate both operands of the `||`.
      bool const same = found == nullptr || found->mValue == model[key];
      RC_ASSERT(same);
    }
  });
}

TEST(FlowTable, erase_if_removes_exactly_the_matching_entries)
{
  FlowTable<Entry> table;
  for (std::uint64_t index = 1; index <= 1000; ++index) {
    table.FindOrInsert(Scramble(index)).mValue = index;
  }
  auto const erased =
    table.EraseIf([](Entry const& aEntry) { return aEntry.mValue % 3 == 0; });
  LONGS_EQUAL(333, erased);
  for (std::uint64_t index = 1; index <= 1000; ++index) {
    CHECK_EQUAL(index % 3 != 0, table.Find(Scramble(index)) != nullptr);
  }
}

TEST(FlowTable, needs_at_most_32_bytes_per_flow)
{
  FlowTable<Entry> table;
  for (std::uint64_t index = 1; index <= 200000; ++index) {
    table.FindOrInsert(Scramble(index));
    if (index >= 1000) {
      CHECK(table.MemoryBytes() <= 32 * index);
    }
  }
}
