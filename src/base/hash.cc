#include "base/hash.h"

#include <xxhash.h>

namespace sassafras {

uint64_t HashText(std::string_view text, uint64_t seed) {
  return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

uint64_t HashPair(uint64_t a, uint64_t b) {
  const uint64_t both[] = {a, b};
  return XXH3_64bits(both, sizeof(both));
}

double UnitInterval(uint64_t hash) {
  constexpr int kMantissaBits = 53;
  constexpr double kScale = 1.0 / (uint64_t{1} << kMantissaBits);
  return static_cast<double>(hash >> (64 - kMantissaBits)) * kScale;
}

}  // namespace sassafras
