#ifndef TARRAGONSILL_PLACEMENT_HPP_INCLUDED
#define TARRAGONSILL_PLACEMENT_HPP_INCLUDED

#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

/// Rendezvous hashing (highest random weight).
namespace tarragonsill {

/// The score of a candidate for a key; the highest score wins.
constexpr std::uint64_t
PlacementScore(std::uint64_t aKey, std::uint64_t aCandidate)
{
  return MixHash(aKey, aCandidate);
}

/// Returns the indices of at most `aMax` candidates in descending order of
/// score.
inline std::vector<std::size_t>
RankCandidates(std::uint64_t aKey,
               std::vector<std::uint64_t> const& aCandidates,
               std::size_t aMax = SIZE_MAX)
{
  std::vector<std::size_t> order(aCandidates.size());
  for (std::size_t index = 0; index < order.size(); ++index) {
    order[index] = index;
  }
  auto const count = std::min(aMax, order.size());
  auto const middle = order.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(
    order.begin(), middle, order.end(), [&](auto aLeft, auto aRight) {
      auto const left = PlacementScore(aKey, aCandidates[aLeft]);
      auto const right = PlacementScore(aKey, aCandidates[aRight]);
      return left != right ? left > right
                           : aCandidates[aLeft] > aCandidates[aRight];
    });
  order.resize(count);
  return order;
}

/// The key of an endpoint in rendezvous hashing.
template<typename EndpointType>
constexpr std::uint64_t
PlacementKey(EndpointType const& aEndpoint)
{
  return MixHash(aEndpoint.mAddress.mValue, aEndpoint.mPort);
}

} // namespace tarragonsill

#endif // TARRAGONSILL_PLACEMENT_HPP_INCLUDED
