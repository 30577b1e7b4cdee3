#ifndef TARRAGONSILL_FLOW_TABLE_HPP_INCLUDED
#define TARRAGONSILL_FLOW_TABLE_HPP_INCLUDED

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <vector>

/// A compact hash table for per-flow state: open addressing with linear
/// probing and backward-shift deletion, at most 30 bytes per flow with 16-byte
/// entries.
namespace tarragonsill {

/// An entry whose key is the flow hash; 0 marks an empty place.
template<typename T>
concept FlowEntry = std::default_initializable<T> && requires(T aEntry)
{
  {
    aEntry.mKey
    } -> std::convertible_to<std::uint64_t>;
};

template<FlowEntry T>
class FlowTable
{
public:
  explicit FlowTable(std::size_t aInitialCapacity = kMinimumCapacity)
    : mPlaces(aInitialCapacity < kMinimumCapacity ? kMinimumCapacity
                                                  : aInitialCapacity)
  {
  }

  std::size_t Size() const { return mSize; }
  /// Bytes held by the table.
  std::size_t MemoryBytes() const { return mPlaces.capacity() * sizeof(T); }

  /// Finds an entry; null if the flow is not in the table. The pointer is
  /// valid until the next insertion or removal.
  T* Find(std::uint64_t aKey)
  {
    for (auto index = HomeOf(Normal(aKey));; index = Next(index)) {
      if (mPlaces[index].mKey == Normal(aKey)) {
        return &mPlaces[index];
      }
      if (mPlaces[index].mKey == 0) {
        return nullptr;
      }
    }
  }

  /// Finds an entry or adds an empty one.
  T& FindOrInsert(std::uint64_t aKey)
  {
    if (auto* found = Find(aKey)) {
      return *found;
    }
    if ((mSize + 1) * kLoadDenominator > mPlaces.size() * kLoadNumerator) {
      Grow();
    }
    ++mSize;
    return Place(Normal(aKey));
  }

  /// Removes an entry; says whether there was one.
  bool Erase(std::uint64_t aKey)
  {
    auto* const found = Find(aKey);
    if (found == nullptr) {
      return false;
    }
    EraseAt(static_cast<std::size_t>(found - mPlaces.data()));
    return true;
  }

  /// Removes every entry for which the predicate holds.
  template<std::predicate<T&> Predicate>
  std::size_t EraseIf(Predicate aPredicate)
  {
    std::size_t erased = 0;
    for (std::size_t index = 0; index < mPlaces.size();) {
      if (mPlaces[index].mKey != 0 && aPredicate(mPlaces[index])) {
        EraseAt(index);
        ++erased;
        continue; // Backward shifting may have filled this place anew.
      }
      ++index;
    }
    return erased;
  }

  template<std::invocable<T&> Visitor>
  void ForEach(Visitor aVisitor)
  {
    for (auto& place : mPlaces) {
      if (place.mKey == 0) {
        continue;
      }
      aVisitor(place);
    }
  }

private:
  static constexpr std::size_t kMinimumCapacity = 16;
  static constexpr std::size_t kLoadNumerator = 4;
  static constexpr std::size_t kLoadDenominator = 5;

  static std::uint64_t Normal(std::uint64_t aKey)
  {
    return aKey == 0 ? 1 : aKey;
  }
  std::size_t HomeOf(std::uint64_t aKey) const
  {
    using Wide = unsigned __int128;
    return static_cast<std::size_t>((Wide{ aKey } * mPlaces.size()) >> 64);
  }
  std::size_t Next(std::size_t aIndex) const
  {
    return aIndex + 1 == mPlaces.size() ? 0 : aIndex + 1;
  }

  T& Place(std::uint64_t aKey)
  {
    auto index = HomeOf(aKey);
    while (mPlaces[index].mKey != 0) {
      index = Next(index);
    }
    mPlaces[index].mKey = aKey;
    return mPlaces[index];
  }

  void Grow()
  {
    std::vector<T> old(mPlaces.size() + mPlaces.size() / 2);
    old.swap(mPlaces);
    for (auto const& entry : old) {
      if (entry.mKey == 0) {
        continue;
      }
      Place(entry.mKey) = entry;
    }
  }

  void EraseAt(std::size_t aIndex)
  {
    auto hole = aIndex;
    for (auto index = Next(hole); mPlaces[index].mKey != 0;
         index = Next(index)) {
      auto const home = HomeOf(mPlaces[index].mKey);
      bool const homeBetween = hole <= index ? (hole < home && home <= index)
                                             : (hole < home || home <= index);
      if (homeBetween) {
        continue;
      }
      mPlaces[hole] = mPlaces[index];
      hole = index;
    }
    mPlaces[hole] = T{};
    --mSize;
  }

  std::vector<T> mPlaces;
  std::size_t mSize = 0;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_FLOW_TABLE_HPP_INCLUDED
