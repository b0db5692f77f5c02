#pragma once

#include <string>
#include <utility>
#include <vector>

#include "clementineloom/state/cluster_state.h"
#include "support/value_or_die.h"

namespace clementineloom::testing_support {

/// @brief Holds a ClusterState and applies records to it.
class ClusterRecorder {
 public:
  static constexpr Duration kHour = std::chrono::hours(1);

  static GangShape Shape(std::uint16_t accelerators, std::uint16_t workers = 1,
                         Adjacency adjacency = Adjacency::kWorker) {
    return ValueOrDie([&] { return GangShape::Create({accelerators, workers, adjacency}); });
  }

  ApplyOutcome Apply(RecordBody body) {
    const LogOffset next(state_.applied_offset().value() + 1);
    return state_.Apply(next, Record{std::to_string(next.value()), std::move(body)});
  }

  void ApplyAll(const std::vector<RecordBody>& bodies) {
    for (const RecordBody& it : bodies) {
      (void)Apply(it);
    }
  }

  ApplyOutcome Edit(ConfigEdit edit) {
    return Apply(ConfigChanged{state_.config_revision(), {std::move(edit)}, "test"});
  }

  void SetDataCentre(const std::string& name, bool in_service = true) {
    (void)Edit(clementineloom::SetDataCentre{ValueOrDie([&] {
      return DataCentre::Create({name, "region", in_service});
    })});
  }

  void AddTeam(const std::string& name, std::vector<Guarantee> guarantees, bool may_borrow = true) {
    Team::Fields fields;
    fields.name = name;
    fields.guarantees = std::move(guarantees);
    fields.may_borrow = may_borrow;
    (void)Edit(SetTeam{ValueOrDie([&] { return Team::Create(fields); })});
  }

  ApplyOutcome AddWorker(const std::string& name, const std::string& data_centre,
                         const std::string& rack, std::uint16_t accelerators = 8) {
    Worker::Fields fields;
    fields.name = name;
    fields.address = "127.0.0.1:1";
    fields.data_centre = data_centre;
    fields.rack = rack;
    fields.accelerators = accelerators;
    return Apply(WorkerRegistered{ValueOrDie([&] { return Worker::Create(fields); })});
  }

  /// @brief Adds a data centre with racks of workers named DATA_CENTRE-RACK-NUMBER.
  void AddDataCentre(const std::string& name, int racks, int workers_per_rack) {
    SetDataCentre(name);
    for (int n = 0; n < racks; ++n) {
      for (int m = 0; m < workers_per_rack; ++m) {
        const std::string rack = "r" + std::to_string(n);
        std::string worker = name;
        worker.append("-").append(rack).append("-").append(std::to_string(m));
        (void)AddWorker(worker, name, rack);
      }
    }
  }

  JobId Submit(const std::string& team, GangShape shape,
               JobPriority priority = JobPriority::kNormal, Duration declared = kHour,
               const std::string& job_class = "class") {
    const std::string key = "job" + std::to_string(state_.applied_offset().value() + 1);
    JobSpec::Fields fields{team, job_class, shape, priority, declared, "run"};
    const JobSpec spec = ValueOrDie([&] { return JobSpec::Create(fields); });
    return Apply(JobSubmitted{key, spec, Instant()}).job();
  }

  /// @brief Applies the placement of one job and returns its code.
  ResultCode Apply(const Placement& placement) {
    return Apply(JobsPlaced{state_.applied_offset(), {placement}}).placement_codes().front();
  }

  void SetCondition(const std::string& worker, WorkerCondition condition) {
    (void)Apply(WorkerConditionChanged{worker, condition, "test"});
  }

  void Finish(JobId job, JobOutcome outcome = JobOutcome::kSucceeded, Duration run_time = kHour) {
    (void)Apply(JobFinished{job, state_.FindJob(job)->attempt, outcome, run_time});
  }

  void AcknowledgeStop(JobId job) { (void)Apply(JobStopped{job, state_.FindJob(job)->attempt}); }

  [[nodiscard]] JobPhase PhaseOf(JobId job) const { return state_.FindJob(job)->phase; }

  ClusterState state_;
};

}  // namespace clementineloom::testing_support
