#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clementineloom/workload/resources.h"
#include "clementineloom/workload/worker_pool.h"

namespace clementineloom::workload::detail {

/// @brief How much of each service's capacity is in use. An immutable value.
/// Thread safety: may be used from any thread.
class ServiceUse {
 public:
  /// @brief Counts all known workers, also those that take no runs, so that a service does not
  /// seem busy because part of it is out of service. Complexity: O(workers).
  [[nodiscard]] static ServiceUse Of(const WorkerPool& workers);

  /// @brief Whether so much of every resource of a service is in use that its tasks may wait for
  /// better room than there is. A service without workers is not busy.
  [[nodiscard]] bool IsBusy(std::string_view service) const;

  /// @brief The same for its accelerators alone, of which some are kept for urgent work.
  [[nodiscard]] bool HasBusyAccelerators(std::string_view service) const;

  friend auto operator<=>(const ServiceUse&, const ServiceUse&) = default;

 private:
  struct Use {
    Resources capacity;
    Resources used;

    [[nodiscard]] bool IsBusyIn(std::int64_t Resources::*resource) const;

    friend auto operator<=>(const Use&, const Use&) = default;
  };

  std::map<std::string, Use, std::less<>> uses_;
};

}  // namespace clementineloom::workload::detail
