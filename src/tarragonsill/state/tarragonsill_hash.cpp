#include "tarragonsill/state/tarragonsill_hash.hpp"

#include <xxhash.h>

namespace tarragonsill {

std::uint64_t
HashText(std::string_view aText, std::uint64_t aSeed)
{
  return XXH3_64bits_withSeed(aText.data(), aText.size(), aSeed);
}

} // namespace tarragonsill
