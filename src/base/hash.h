// Hash functions whose results are the same in every process.
#ifndef BASE_HASH_H_
#define BASE_HASH_H_

#include <cstdint>
#include <string_view>

namespace sassafras {

// 64-bit hash of `text`, the same on every host and release.
uint64_t HashText(std::string_view text, uint64_t seed = 0);

// Combines two hashes into one; the order matters.
uint64_t HashPair(uint64_t a, uint64_t b);

// Maps a hash uniformly onto [0, 1).
double UnitInterval(uint64_t hash);

}  // namespace sassafras

#endif  // BASE_HASH_H_
