#pragma once

#include <array>

#include "entry/metric_spec.h"

namespace clementineloom::entry {

// Names follow the conventions of the exposition format: base units, and _total for counters.

inline constexpr MetricSpec kRefusals{"loom_entry_refusals_total", "counter", "reason",
                                      "requests refused, by result code"};
inline constexpr MetricSpec kRequestsRead{"loom_entry_requests_read_total", "counter", "",
                                          "requests read from callers and peers"};
inline constexpr MetricSpec kRequestsEnded{
    "loom_entry_requests_ended_total", "counter", "outcome",
    "requests read that ended: answered, refused by the server, unwritten (connection lost before "
    "the whole answer was written), discarded (behind another one on a connection that was closed) "
    "or cut_off (the process ended)"};
inline constexpr MetricSpec kJobsAccepted{"loom_entry_jobs_accepted_total", "counter", "",
                                          "submissions recorded by this instance"};
inline constexpr MetricSpec kJobsCancelled{"loom_entry_jobs_cancelled_total", "counter", "",
                                           "cancellations recorded by this instance"};
inline constexpr MetricSpec kRecordSeconds{
    "loom_entry_record_seconds", "histogram", "",
    "from a submission or cancellation to the store's acknowledgement"};
inline constexpr MetricSpec kStartWaitSeconds{"loom_entry_start_wait_seconds", "histogram", "",
                                              "from the acceptance or due time of a job to the "
                                              "decision on its first start (owner)"};
inline constexpr MetricSpec kJobSeconds{"loom_entry_job_seconds", "histogram", "",
                                        "from the acceptance of a job to its end (owner)"};
inline constexpr MetricSpec kJobsEnded{"loom_entry_jobs_ended_total", "counter", "state",
                                       "jobs that ended, by state (owner)"};
inline constexpr MetricSpec kRunsStarted{"loom_entry_runs_started_total", "counter", "",
                                         "starts that were decided (owner)"};
inline constexpr MetricSpec kRunsEnded{"loom_entry_runs_ended_total", "counter", "reason",
                                       "runs that ended, by reason (owner)"};
inline constexpr MetricSpec kRunsStopped{
    "loom_entry_runs_stopped_total", "counter", "cause",
    "runs stopped by a decision: preempted, stalled or moved (owner)"};
inline constexpr MetricSpec kAppendSeconds{"loom_entry_append_seconds", "histogram", "",
                                           "from a decision to its record in the store (owner)"};
inline constexpr MetricSpec kPlanSeconds{"loom_entry_plan_seconds", "histogram", "",
                                         "time that a plan takes (owner)"};
inline constexpr MetricSpec kTakeovers{"loom_entry_takeovers_total", "counter", "",
                                       "times that this instance became the owner"};
inline constexpr MetricSpec kHandOvers{
    "loom_entry_hand_overs_total", "counter", "",
    "times that this instance gave up ownership because no worker answered it"};
inline constexpr MetricSpec kIsOwner{"loom_entry_is_owner", "gauge", "",
                                     "1 while this instance owns the workers"};
inline constexpr MetricSpec kOwnerEpoch{"loom_entry_owner_epoch", "gauge", "",
                                        "newest epoch of an owner that was read"};
inline constexpr MetricSpec kViewAgeSeconds{"loom_entry_view_age_seconds", "gauge", "",
                                            "time since the store last answered a read of jobs"};
inline constexpr MetricSpec kConfigVersion{"loom_entry_config_version", "gauge", "",
                                           "version of the configuration in force"};
inline constexpr MetricSpec kWorkers{"loom_entry_workers", "gauge", "",
                                     "workers that take new runs (owner)"};
inline constexpr MetricSpec kRuns{"loom_entry_runs", "gauge", "",
                                  "runs that hold room on workers (owner)"};
inline constexpr MetricSpec kFreeAccelerators{"loom_entry_free_accelerators", "gauge", "",
                                              "accelerators free on these workers (owner)"};

inline constexpr MetricSpec kUnlikeWorkers{
    "loom_entry_unlike_workers", "gauge", "speed",
    "workers that are known to be slower or faster than most (owner)"};
inline constexpr MetricSpec kInterference{
    "loom_entry_interference", "gauge", "pair",
    "part of the speed of a kind of tasks that a neighbour leaves; 1 once it is not known to slow "
    "them any more (owner)"};
inline constexpr MetricSpec kTeamWeight{"loom_entry_team_weight", "gauge", "team",
                                        "weight of a team with limits; 0 without one (owner)"};
inline constexpr MetricSpec kTeamAccelerators{"loom_entry_team_accelerators", "gauge", "team",
                                              "accelerators that the runs of a team hold (owner)"};
inline constexpr MetricSpec kTeamQuotaAccelerators{
    "loom_entry_team_quota_accelerators", "gauge", "team",
    "accelerators that they may hold; 0 without a limit (owner)"};
inline constexpr MetricSpec kTeamCores{"loom_entry_team_cores", "gauge", "team",
                                       "cores that the runs of a team hold (owner)"};
inline constexpr MetricSpec kTeamQuotaCores{"loom_entry_team_quota_cores", "gauge", "team",
                                            "cores that they may hold; 0 without a limit (owner)"};
inline constexpr MetricSpec kTeamMemory{"loom_entry_team_memory_mb", "gauge", "team",
                                        "memory that the runs of a team hold (owner)"};
inline constexpr MetricSpec kTeamQuotaMemory{
    "loom_entry_team_quota_memory_mb", "gauge", "team",
    "memory that they may hold; 0 without a limit (owner)"};
inline constexpr MetricSpec kTeamWaitingJobs{"loom_entry_team_waiting_jobs", "gauge", "team",
                                             "open jobs of a team without a start (owner)"};

/// @brief All metrics of the entry daemon, in the order of docs/metrics.md.
inline constexpr std::array kMetricSpecs{
    kRefusals,       kRequestsRead,   kRequestsEnded,    kJobsAccepted,
    kJobsCancelled,  kRecordSeconds,  kStartWaitSeconds, kJobSeconds,
    kJobsEnded,      kRunsStarted,    kRunsEnded,        kRunsStopped,
    kAppendSeconds,  kPlanSeconds,    kTakeovers,        kHandOvers,
    kIsOwner,        kOwnerEpoch,     kViewAgeSeconds,   kConfigVersion,
    kWorkers,        kRuns,           kFreeAccelerators, kUnlikeWorkers,
    kInterference,   kTeamWeight,     kTeamAccelerators, kTeamQuotaAccelerators,
    kTeamCores,      kTeamQuotaCores, kTeamMemory,       kTeamQuotaMemory,
    kTeamWaitingJobs};

}  // namespace clementineloom::entry
