#pragma once

#include <optional>
#include <string>
#include <variant>

#include "clementineloom/workload/instance_record.h"
#include "clementineloom/workload/job_state.h"
#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/lease_end.h"
#include "clementineloom/workload/owner_record.h"
#include "clementineloom/workload/task_id.h"
#include "clementineloom/workload/task_record.h"

namespace clementineloom::workload {

/// @brief A job was accepted; without a submission the stored one is removed.
struct SubmissionSet {
  std::string job;
  std::optional<JobSubmission> submission;
  friend auto operator<=>(const SubmissionSet&, const SubmissionSet&) = default;
};

/// @brief A job was cancelled; with is_set false the cancellation is removed.
struct CancellationSet {
  std::string job;
  bool is_set = true;
  friend auto operator<=>(const CancellationSet&, const CancellationSet&) = default;
};

/// @brief A task changed; without a record the stored one is removed.
struct TaskSet {
  TaskId task;
  std::optional<TaskRecord> record;
  friend auto operator<=>(const TaskSet&, const TaskSet&) = default;
};

/// @brief A job ended in a final state; without a state the end is removed.
struct JobEndSet {
  std::string job;
  std::optional<JobState> state;
  friend auto operator<=>(const JobEndSet&, const JobEndSet&) = default;
};

/// @brief The owner changed, or renewed its ownership with a heartbeat.
struct OwnerSet {
  OwnerRecord owner;
  friend auto operator<=>(const OwnerSet&, const OwnerSet&) = default;
};

/// @brief An entry instance began to serve.
struct InstanceSet {
  InstanceRecord instance;
  friend auto operator<=>(const InstanceSet&, const InstanceSet&) = default;
};

/// @brief The lease of a worker is not extended any more, or, without an end, may be again.
struct LeaseEndSet {
  std::string worker;
  std::optional<LeaseEnd> end;
  friend auto operator<=>(const LeaseEndSet&, const LeaseEndSet&) = default;
};

/// @brief A record of the stream of jobs: each sets one item to a value, so that applying a record
/// again, or only the newest of an item, gives the same state.
using WorkloadRecord = std::variant<SubmissionSet, CancellationSet, TaskSet, JobEndSet, OwnerSet,
                                    InstanceSet, LeaseEndSet>;

}  // namespace clementineloom::workload
