#include "clementineloom/membership/rendezvous_weight.h"

namespace clementineloom {

// FNV-1a with the finalizer of splitmix64.
std::uint64_t RendezvousWeight(std::string_view instance, std::uint64_t subject) {
  std::uint64_t hash = 0xcbf29ce484222325;
  for (const char it : instance) {
    hash = (hash ^ static_cast<unsigned char>(it)) * 0x100000001b3;
  }
  hash += (subject + 1) * 0x9e3779b97f4a7c15;
  hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9;
  hash = (hash ^ (hash >> 27)) * 0x94d049bb133111eb;
  return hash ^ (hash >> 31);
}

}  // namespace clementineloom
