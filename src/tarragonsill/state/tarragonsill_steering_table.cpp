#include "tarragonsill/state/tarragonsill_steering_table.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr std::size_t kSlotsPerShare = 128;
constexpr std::size_t kMinSlots = 1021;
constexpr std::uint16_t kFree = 0xFFFF;
constexpr std::uint64_t kOffsetSeed = 0x6F666673;
constexpr std::uint64_t kSkipSeed = 0x736B6970;

bool
IsPrime(std::size_t aNumber)
{
  for (std::size_t divisor = 2; divisor * divisor <= aNumber; ++divisor) {
    if (aNumber % divisor == 0) {
      return false;
    }
  }
  return aNumber > 1;
}

std::size_t
TableSizeFor(std::size_t aShares)
{
  auto size = std::max(kMinSlots, aShares * kSlotsPerShare);
  while (!IsPrime(size)) {
    ++size;
  }
  return size;
}

/// Walks the slots of one share in its own pseudo-random order.
class Permutation
{
public:
  Permutation(Endpoint aAddress, std::size_t aSize)
    : mSize(aSize)
  {
    auto const identity =
      (std::uint64_t{ aAddress.mAddress.mValue } << 16) | aAddress.mPort;
    mNext = MixHash(identity, kOffsetSeed) % aSize;
    mSkip = MixHash(identity, kSkipSeed) % (aSize - 1) + 1;
  }

  std::size_t Advance()
  {
    auto const current = mNext;
    mNext = (mNext + mSkip) % mSize;
    return current;
  }

private:
  std::size_t mSize;
  std::size_t mNext;
  std::size_t mSkip;
};

} // namespace

SteeringTable
SteeringTable::Build(std::vector<BaseShare> const& aBase)
{
  SteeringTable table;
  std::uint32_t heaviest = 0;
  for (auto const& share : aBase) {
    heaviest = std::max(heaviest, share.mShare);
  }
  if (heaviest == 0) {
    return table;
  }
  auto const size = TableSizeFor(aBase.size());
  table.mSlots.assign(size, kFree);
  std::vector<Permutation> permutations;
  for (auto const& share : aBase) {
    permutations.emplace_back(share.mAddress, size);
  }
  std::vector<std::uint64_t> credit(aBase.size(), 0);
  for (std::size_t filled = 0; filled < size;) {
    for (std::size_t index = 0; index < aBase.size(); ++index) {
      credit[index] += aBase[index].mShare;
      if (credit[index] < heaviest || filled == size) {
        continue;
      }
      credit[index] -= heaviest;
      auto slot = permutations[index].Advance();
      while (table.mSlots[slot] != kFree) {
        slot = permutations[index].Advance();
      }
      table.mSlots[slot] = static_cast<std::uint16_t>(index);
      ++filled;
    }
  }
  return table;
}

} // namespace tarragonsill
