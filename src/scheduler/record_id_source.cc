#include "scheduler/record_id_source.h"

#include <array>
#include <cstdio>
#include <random>

namespace clementineloom::scheduler {

std::string MakeProcessName(const std::string& instance) {
  std::random_device random;
  std::array<char, 17> nonce{};
  std::snprintf(nonce.data(), nonce.size(), "%08x%08x", random(), random());
  return instance + "-" + nonce.data();
}

}  // namespace clementineloom::scheduler
