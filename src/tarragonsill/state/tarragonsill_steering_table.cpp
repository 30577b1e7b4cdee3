#include "tarragonsill/state/tarragonsill_steering_table.hpp"

#include <algorithm>

namespace tarragonsill {

namespace {

constexpr std::size_t kSlotsPerShare = 128;
constexpr std::size_t kMinSlots = 1021;
constexpr std::uint16_t kEmptySlot = 0xFFFF;
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

/// A pseudo-random permutation of the slots, different for each base share.
class Permutation
{
public:
  Permutation(Endpoint aAddress, std::size_t aSize)
    : mSize(aSize)
  {
    auto const key =
      (std::uint64_t{ aAddress.mAddress.mValue } << 16) | aAddress.mPort;
    mNext = MixHash(key, kOffsetSeed) % aSize;
    mSkip = MixHash(key, kSkipSeed) % (aSize - 1) + 1;
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
  std::uint32_t maxShare = 0;
  for (auto const& share : aBase) {
    maxShare = std::max(maxShare, share.mShare);
  }
  if (maxShare == 0) {
    return table;
  }
  auto const size = TableSizeFor(aBase.size());
  table.mSlots.assign(size, kEmptySlot);
  std::vector<Permutation> permutations;
  for (auto const& share : aBase) {
    permutations.emplace_back(share.mAddress, size);
  }
  std::vector<std::uint64_t> credits(aBase.size(), 0);
  for (std::size_t filled = 0; filled < size;) {
    for (std::size_t index = 0; index < aBase.size(); ++index) {
      credits[index] += aBase[index].mShare;
      if (credits[index] < maxShare || filled == size) {
        continue;
      }
      credits[index] -= maxShare;
      auto slot = permutations[index].Advance();
      while (table.mSlots[slot] != kEmptySlot) {
        slot = permutations[index].Advance();
      }
      table.mSlots[slot] = static_cast<std::uint16_t>(index);
      ++filled;
    }
  }
  return table;
}

} // namespace tarragonsill
