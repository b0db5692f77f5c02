#include "clementineloom/state/record_id_hash.h"

#include <cstddef>

namespace clementineloom {
namespace {

constexpr std::uint64_t kSeed = 0xc70f6907;
constexpr std::uint64_t kMultiplier = 0xc6a4a7935bd1e995;
constexpr unsigned kShift = 47;
constexpr std::size_t kBlockBytes = 8;

// The little-endian number in up to eight bytes.
std::uint64_t Load(std::string_view bytes) {
  constexpr unsigned kBitsPerByte = 8;
  std::uint64_t number = 0;
  for (std::size_t n = 0; n < bytes.size(); ++n) {
    number |= std::uint64_t{static_cast<unsigned char>(bytes[n])} << (kBitsPerByte * n);
  }
  return number;
}

std::uint64_t Mix(std::uint64_t number) { return number ^ (number >> kShift); }

}  // namespace

std::uint64_t RecordIdHash(std::string_view id) {
  std::uint64_t hash = kSeed ^ (id.size() * kMultiplier);
  for (; id.size() >= kBlockBytes; id.remove_prefix(kBlockBytes)) {
    const std::uint64_t block = Load(id.substr(0, kBlockBytes));
    hash = (hash ^ (Mix(block * kMultiplier) * kMultiplier)) * kMultiplier;
  }
  if (!id.empty()) {
    hash = (hash ^ Load(id)) * kMultiplier;
  }
  return Mix(Mix(hash) * kMultiplier);
}

}  // namespace clementineloom
