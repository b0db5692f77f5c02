#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/worker_info.h"
#include "soak/job_mix.h"

namespace clementineloom::soak {

/// @brief The workers of a soak. Thread safety: immutable.
class SoakFleet {
 public:
  static constexpr const char* kService = "inspect";
  static constexpr const char* kUsualKind = "a";
  static constexpr const char* kRareKind = "b";
  /// Racks that data may be on.
  static constexpr std::size_t kDataRacks = 8;

  /// @param accelerators of each worker
  [[nodiscard]] static SoakFleet Make(JobMix mix, std::size_t workers, std::int64_t accelerators);

  [[nodiscard]] static std::string RackName(std::size_t rack) { return "r" + std::to_string(rack); }
  /// @brief The workers w0, w1 and so on, without addresses.
  [[nodiscard]] const std::vector<workload::WorkerInfo>& workers() const { return workers_; }

 private:
  std::vector<workload::WorkerInfo> workers_;
};

}  // namespace clementineloom::soak
