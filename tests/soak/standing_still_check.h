#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "soak/calm_window.h"
#include "soak/failure_causes.h"
#include "soak/fleet_use.h"
#include "soak/job_times.h"
#include "soak/still_span.h"
#include "soak/violation.h"

namespace clementineloom::soak {

/// @brief Checks that no accepted job has nothing running for 3 s in the calm, although a step's
/// turn has come, the service has room for its open tasks twice over, and under half of the
/// service's capacity is in use. Thread safety: none.
class StandingStillCheck {
 public:
  /// Precondition: the references outlive this object.
  /// @param jobs the accepted jobs
  /// @param shapes of all submitted jobs
  StandingStillCheck(const std::map<std::string, JobTimes>& jobs,
                     const std::map<std::string, JobShape>& shapes,
                     const std::vector<workload::WorkerInfo>& workers, const FailureCauses& causes,
                     CalmWindow window)
      : jobs_(jobs), shapes_(shapes), causes_(causes), window_(window), use_(workers, shapes) {}

  /// @brief The violations in all events of a soak. Call once.
  [[nodiscard]] std::vector<Violation> Check(const std::vector<standin::RunEvent>& events);

 private:
  // Judges a time in which nothing on the workers changes.
  void Pass(std::int64_t from_ms, std::int64_t to_ms);
  void PassJob(const std::string& job, std::int64_t from_ms, std::int64_t to_ms);
  // A step of the job that could run from a time on, if nothing of the job runs.
  [[nodiscard]] std::optional<StillSpan> StillAt(const std::string& job,
                                                 std::int64_t from_ms) const;
  void End(const std::string& job);
  [[nodiscard]] std::string Describe(const std::string& job, const StillSpan& span) const;

  const std::map<std::string, JobTimes>& jobs_;
  const std::map<std::string, JobShape>& shapes_;
  const FailureCauses& causes_;
  const CalmWindow window_;
  FleetUse use_;
  // Spans that have not ended, by job.
  std::map<std::string, StillSpan> spans_;
  std::vector<Violation> violations_;
};

}  // namespace clementineloom::soak
