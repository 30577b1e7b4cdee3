#ifndef TARRAGONSILL_STEERING_TABLE_HPP_INCLUDED
#define TARRAGONSILL_STEERING_TABLE_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_configuration.hpp"

#include <cstddef>
#include <cstdint>
#include <vector>

/// The steering table, which maps flow hashes to base shares and so determines
/// the hash choice of each flow. It is a function of the steering base alone
/// and uses only integers, so that all entry VMs compute the same table.
namespace tarragonsill {

/// A weighted table of hash choices.
class SteeringTable
{
public:
  /// Builds a table by weighted turns over per-share permutations (Eisenbud et
  /// al., Maglev, NSDI 2016, section 3.4).
  static SteeringTable Build(std::vector<BaseShare> const& aBase);

  bool Empty() const { return mSlots.empty(); }
  /// Returns the index of a flow's base share. The table must not be empty.
  std::size_t Pick(std::uint64_t aFlow) const
  {
    using Wide = unsigned __int128;
    auto const mixed = MixHash(aFlow, kPickSeed);
    return mSlots[static_cast<std::size_t>((Wide{ mixed } * mSlots.size()) >>
                                           64)];
  }
  std::size_t MemoryBytes() const
  {
    return mSlots.capacity() * sizeof(std::uint16_t);
  }

private:
  static constexpr std::uint64_t kPickSeed = 0x7069636B;
  std::vector<std::uint16_t> mSlots;
};

} // namespace tarragonsill

#endif // TARRAGONSILL_STEERING_TABLE_HPP_INCLUDED
