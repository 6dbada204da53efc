#include "core/random.h"

namespace gcw {
namespace {

// Constants of the SplitMix64 generator (Steele, Lea, Flood 2014).
constexpr std::uint64_t kIncrement = 0x9e3779b97f4a7c15;
constexpr std::uint64_t kFirstMix = 0xbf58476d1ce4e5b9;
constexpr std::uint64_t kSecondMix = 0x94d049bb133111eb;
constexpr int kMantissaBits = 53;

}  // namespace

Random SeededRandom(std::uint64_t seed) {
  return [state = seed]() mutable {
    state += kIncrement;
    std::uint64_t mixed = state;
    mixed = (mixed ^ (mixed >> 30)) * kFirstMix;
    mixed = (mixed ^ (mixed >> 27)) * kSecondMix;
    return mixed ^ (mixed >> 31);
  };
}

std::uint64_t DrawBelow(const Random& random, std::uint64_t bound) {
  return static_cast<std::uint64_t>(
      (static_cast<unsigned __int128>(random()) * bound) >> 64);
}

double DrawUnit(const Random& random) {
  return static_cast<double>(random() >> (64 - kMantissaBits)) /
         static_cast<double>(std::uint64_t{1} << kMantissaBits);
}

}  // namespace gcw
