#include "Hash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace buckthornwing {

std::uint64_t
hashBytes(std::span<const std::uint8_t> bytes, std::uint64_t seed)
{
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t
hashText(std::string_view text, std::uint64_t seed)
{
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}
