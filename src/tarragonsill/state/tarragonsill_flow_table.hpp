#ifndef TARRAGONSILL_FLOW_TABLE_HPP_INCLUDED
#define TARRAGONSILL_FLOW_TABLE_HPP_INCLUDED

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <vector>

/// A compact hash table for per-flow state. It uses open addressing with linear
/// probing and backward-shift deletion, and needs at most 32 bytes per flow
/// with 16-byte entries.
namespace tarragonsill {

/// An entry whose key is the hash of a flow; a key of 0 marks an empty slot.
template<typename T>
concept FlowEntry = std::default_initializable<T> && requires(T aEntry)
{
  {
    aEntry.mKey
    } -> std::convertible_to<std::uint64_t>;
};

/// A hash table from flow hashes to entries.
template<FlowEntry T>
class FlowTable
{
public:
  explicit FlowTable(std::size_t aInitialCapacity = kMinCapacity)
    : mSlots(aInitialCapacity < kMinCapacity ? kMinCapacity : aInitialCapacity)
  {
  }

  std::size_t Size() const { return mSize; }
  /// The memory allocated by the table.
  std::size_t MemoryBytes() const { return mSlots.capacity() * sizeof(T); }

  /// Returns the entry of a flow, or null. The pointer is valid until the next
  /// insertion or removal.
  T* Find(std::uint64_t aKey)
  {
    for (auto index = PreferredSlot(NonZeroKey(aKey));;
         index = NextSlot(index)) {
      if (mSlots[index].mKey == NonZeroKey(aKey)) {
        return &mSlots[index];
      }
      if (mSlots[index].mKey == 0) {
        return nullptr;
      }
    }
  }

  /// Returns the entry of a flow after inserting an empty one if necessary.
  T& FindOrInsert(std::uint64_t aKey)
  {
    if (auto* found = Find(aKey)) {
      return *found;
    }
    if ((mSize + 1) * kLoadDenominator > mSlots.size() * kLoadNumerator) {
      Grow();
    }
    ++mSize;
    return InsertNew(NonZeroKey(aKey));
  }

  /// Removes an entry; returns whether there was one.
  bool Erase(std::uint64_t aKey)
  {
    auto* const found = Find(aKey);
    if (found == nullptr) {
      return false;
    }
    EraseAt(static_cast<std::size_t>(found - mSlots.data()));
    return true;
  }

  /// Removes every entry for which the predicate is true; returns their number.
  template<std::predicate<T&> Predicate>
  std::size_t EraseIf(Predicate aPredicate)
  {
    std::size_t erased = 0;
    for (std::size_t index = 0; index < mSlots.size();) {
      if (mSlots[index].mKey != 0 && aPredicate(mSlots[index])) {
        EraseAt(index);
        ++erased;
        continue; // The deletion may have shifted another entry here.
      }
      ++index;
    }
    return erased;
  }

  template<std::invocable<T&> Visitor>
  void ForEach(Visitor aVisitor)
  {
    for (auto& slot : mSlots) {
      if (slot.mKey == 0) {
        continue;
      }
      aVisitor(slot);
    }
  }

private:
  static constexpr std::size_t kMinCapacity = 16;
  static constexpr std::size_t kLoadNumerator = 4;
  static constexpr std::size_t kLoadDenominator = 5;

  static std::uint64_t NonZeroKey(std::uint64_t aKey)
  {
    return aKey == 0 ? 1 : aKey;
  }
  std::size_t PreferredSlot(std::uint64_t aKey) const
  {
    using Wide = unsigned __int128;
    return static_cast<std::size_t>((Wide{ aKey } * mSlots.size()) >> 64);
  }
  std::size_t NextSlot(std::size_t aIndex) const
  {
    return aIndex + 1 == mSlots.size() ? 0 : aIndex + 1;
  }

  T& InsertNew(std::uint64_t aKey)
  {
    auto index = PreferredSlot(aKey);
    while (mSlots[index].mKey != 0) {
      index = NextSlot(index);
    }
    mSlots[index].mKey = aKey;
    return mSlots[index];
  }

  void Grow()
  {
    std::vector<T> old(mSlots.size() + mSlots.size() / 2);
    old.swap(mSlots);
    for (auto const& entry : old) {
      if (entry.mKey == 0) {
        continue;
      }
      InsertNew(entry.mKey) = entry;
    }
  }

  void EraseAt(std::size_t aIndex)
  {
    auto hole = aIndex;
    for (auto index = NextSlot(hole); mSlots[index].mKey != 0;
         index = NextSlot(index)) {
      auto const preferred = PreferredSlot(mSlots[index].mKey);
      bool const preferredBetween =
        hole <= index ? (hole < preferred && preferred <= index)
                      : (hole < preferred || preferred <= index);
      if (preferredBetween) {
        continue;
      }
      mSlots[hole] = mSlots[index];
      hole = index;
    }
    mSlots[hole] = T{};
    --mSize;
  }

  std::vector<T> mSlots;
  std::size_t mSize = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FLOW_TABLE_HPP_INCLUDED
