#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "support/arrival.h"
#include "support/cancel_wave.h"
#include "support/deployment.h"
#include "support/time_window.h"
#include "support/worker_loss.h"

namespace clementineloom::bench {

/// @brief Everything that happens to a cluster in one run, independent of the policy.
struct Workload {
  /// In order of time.
  std::vector<Arrival> arrivals;
  std::vector<CancelWave> cancel_waves;
  std::vector<WorkerLoss> worker_losses;
  /// The worker that fails every task it starts.
  std::string failing_worker;
  /// The data centre that leaves service, and when it is out of service.
  std::string changing_data_centre;
  TimeWindow out_of_service;

  friend auto operator<=>(const Workload&, const Workload&) = default;
};

/// @brief Generates a random workload whose accelerator time is a fixed share of the deployment's
/// capacity.
/// @param length time over which jobs arrive
[[nodiscard]] Workload MakeWorkload(const Deployment& deployment, std::uint64_t seed,
                                    Duration length);

}  // namespace clementineloom::bench
