#pragma once

#include <set>
#include <string>
#include <utility>

#include "clementineloom/workload/job_table.h"
#include "entry/operator/operator_view.h"

namespace clementineloom::entry {

/// @brief The services that a configuration names: one that this instance has read, or the one
/// under which a job was accepted, which keeps its service when a later configuration drops it.
/// Thread safety: none; use from the thread of the operator view.
class NamedServices {
 public:
  /// Precondition: the view outlives the result.
  /// @param jobs all jobs that were accepted under configurations before those of the view
  [[nodiscard]] static NamedServices Of(const OperatorView& operators,
                                        const workload::JobTable& jobs) {
    std::set<std::string> accepted;
    for (const auto& [id, job] : jobs.jobs()) {
      if (job.submission) {
        accepted.insert(job.submission->queue.service);
      }
    }
    return NamedServices(operators, std::move(accepted));
  }

  /// @brief Whether a configuration names a service.
  [[nodiscard]] bool Contains(const std::string& service) const {
    return operators_->HasNamed(service) || accepted_.contains(service);
  }

 private:
  NamedServices(const OperatorView& operators, std::set<std::string> accepted)
      : operators_(&operators), accepted_(std::move(accepted)) {}

  const OperatorView* operators_;
  // Services of the queues of accepted jobs.
  std::set<std::string> accepted_;
};

}  // namespace clementineloom::entry
