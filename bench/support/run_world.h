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

/// @brief Simulates the control stream, the workers and the workload for a policy.
///
/// Thread safety: none.
class RunWorld {
 public:
  RunWorld(const Deployment& deployment, const Workload& workload, GuaranteeAccounting accounting);

  /// @brief Advances to the next event and handles it.
  /// @return false when the run is over
  bool Advance();

  /// @brief Applies records that the policy decided.
  /// @return whether any of them had an effect
  bool Append(std::vector<RecordBody> records);

  /// @brief Measures the state after the decisions of the policy.
  void Observe() { observer_.AddState(state_, now_); }

  /// @brief Figures of the run. Jobs that have not ended count as ending now.
  [[nodiscard]] RunFigures Finish();

  [[nodiscard]] const ClusterState& state() const { return state_; }
  [[nodiscard]] Instant now() const { return now_; }

 private:
  void Setup(const Deployment& deployment);
  void ScheduleWorkload();
  ApplyOutcome Apply(RecordBody body);

  void Handle(const ArrivalDue& event);
  void Handle(const CancelDue& event);
  void Handle(const DataCentreDue& event);
  void Handle(const WorkerDue& event);
  void Handle(const StartDue& event);
  void Handle(const EndDue& event);
  void Handle(const StopDue& event);
  void Handle(const TickDue& event);

  // Reactions of workers and callers to an accepted record.
  void React(const JobsPlaced& body, const ApplyOutcome& outcome);
  void React(const StopRequested& body, const ApplyOutcome& outcome);
  void React(const JobStopped& body, const ApplyOutcome& outcome);
  void React(const JobRefused& body, const ApplyOutcome& outcome);
  void React(const JobFinished& body, const ApplyOutcome& outcome);
  template <class Body>
  void React(const Body& /*body*/, const ApplyOutcome& /*outcome*/) {}

  [[nodiscard]] bool RunsOnFailingWorker(const JobEntry& job) const;
  void AddCompletion(std::size_t arrival, Duration time);

  const Workload& workload_;
  std::map<std::string, Worker> workers_;
  std::map<std::string, DataCentre> data_centres_;
  std::map<std::string, JobId> jobs_by_key_;
  std::map<JobId, std::size_t> arrivals_by_job_;
  // Whether a wave cancels the arrival. Such jobs are left out of the completion times of every
  // policy, because whether they finish before the wave depends on the policy.
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
