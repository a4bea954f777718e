#ifndef BUCKTHORNWING_HASH_H
#define BUCKTHORNWING_HASH_H

#include <cstdint>
#include <span>
#include <string_view>

namespace buckthornwing {

/// \returns the keyed 64-bit hash of bytes (XXH3), equal on every instance.
std::uint64_t
hashBytes(std::span<const std::uint8_t> bytes, std::uint64_t seed);

/// \returns the keyed 64-bit hash of text (XXH3), equal on every instance.
std::uint64_t
hashText(std::string_view text, std::uint64_t seed = 0);

/// \returns a hash of two 64-bit integers, cheaper than hashBytes().
constexpr std::uint64_t
mixWords(std::uint64_t left, std::uint64_t right)
{
  std::uint64_t word = left ^ (right + 0x9e3779b97f4a7c15ULL);
  word = (word ^ (word >> 30)) * 0xbf58476d1ce4e5b9ULL;
  word = (word ^ (word >> 27)) * 0x94d049bb133111ebULL;
  return word ^ (word >> 31);
}

}

#endif
