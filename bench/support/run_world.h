#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"
#include "support/deployment.h"
#include "support/event_queue.h"
#include "support/fake_fleet.h"
#include "support/guarantee_accounting.h"
#include "support/run_observer.h"
#include "support/workload.h"

namespace clementineloom::bench {

/// @brief The control stream, the fake workers and the workload around a policy.
///
/// Thread safety: none.
class RunWorld {
 public:
  RunWorld(const Deployment& deployment, const Workload& workload, GuaranteeAccounting accounting);

  /// @brief Lets everything happen that is due at the next instant. False when the run is over.
  bool Advance();

  /// @brief Applies records that the policy decided.
  /// @return whether any of them had an effect
  bool Append(std::vector<RecordBody> records);

  /// @brief Measures the state after the policy decided.
  void Observe() { observer_.AddState(state_, now_); }

  /// @brief Figures of the run. Jobs that have not ended count as ending now.
  [[nodiscard]] RunFigures Finish();

  [[nodiscard]] const ClusterState& state() const { return state_; }
  [[nodiscard]] Instant now() const { return now_; }

 private:
  void Setup(const Deployment& deployment);
  void ScheduleWorkload();
  ApplyOutcome Apply(RecordBody body);

  void Happen(const ArrivalDue& event);
  void Happen(const CancelDue& event);
  void Happen(const DataCentreDue& event);
  void Happen(const WorkerDue& event);
  void Happen(const StartDue& event);
  void Happen(const EndDue& event);
  void Happen(const StopDue& event);
  void Happen(const TickDue& event);

  // What the workers and callers do when they see an accepted record.
  void React(const JobsPlaced& body, const ApplyOutcome& outcome);
  void React(const StopRequested& body, const ApplyOutcome& outcome);
  void React(const JobStopped& body, const ApplyOutcome& outcome);
  void React(const JobRefused& body, const ApplyOutcome& outcome);
  void React(const JobFinished& body, const ApplyOutcome& outcome);
  template <class Body>
  void React(const Body& /*body*/, const ApplyOutcome& /*outcome*/) {}

  [[nodiscard]] bool IsDoomed(const JobEntry& job) const;
  void AddCompletion(std::size_t arrival, Duration time);

  const Workload& workload_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, DataCentre> data_centres_;
  std::map<std::string, JobId> jobs_by_key_;
  std::map<JobId, std::size_t> arrivals_by_job_;
  // Jobs that some wave cancels; whether they finish before depends on the policy, so that they
  // are left out of the completion times of every policy.
  std::vector<bool> is_cancelled_;

  ClusterState state_;
  EventQueue events_;
  FakeFleet fleet_;
  RunObserver observer_;
  Instant now_;
  Instant deadline_;
  RunFigures counts_;
  std::uint64_t last_record_ = 0;
};

}  // namespace clementineloom::bench
