#pragma once

#include <algorithm>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/workload/job_state.h"
#include "clementineloom/workload/workload_record.h"
#include "codec/task_name.h"
#include "codec/workload_record_codec.h"
#include "entry/ownership_job.h"
#include "entry/request_outcome.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {

/// @brief Checks the rules of ownership and leases from outside: from the requests and answers of
/// callers, the records of the store and the runs of the workers. Thread safety: none.
class OwnershipOracle {
 public:
  static constexpr std::int64_t kWorkerAccelerators = 8;

  /// @brief Observes the orders to the workers from now on.
  explicit OwnershipOracle(standin::StandInCluster& cluster) : cluster_(cluster) {
    for (std::size_t n = 0; n < cluster_.workers.size(); ++n) {
      Observe(n);
    }
  }
  OwnershipOracle(const OwnershipOracle&) = delete;
  OwnershipOracle& operator=(const OwnershipOracle&) = delete;

  /// @brief The first broken rule.
  [[nodiscard]] const std::optional<std::string>& violation() const { return violation_; }

  [[nodiscard]] const std::map<std::string, OwnershipJob>& jobs() const { return jobs_; }

  /// @brief Notes a submission that an instance got. Returns its number for NoteSubmissionOutcome.
  std::size_t NoteSubmission(const std::string& job, std::int64_t accelerators_per_task) {
    OwnershipJob& it = jobs_[job];
    it.accelerators_per_task = accelerators_per_task;
    it.submissions.push_back(RequestOutcome::kUnknown);
    return it.submissions.size() - 1;
  }
  void NoteSubmissionOutcome(const std::string& job, std::size_t number, RequestOutcome outcome) {
    jobs_.at(job).submissions[number] = outcome;
  }
  /// @brief The same for a cancellation. Precondition: the job was submitted.
  std::size_t NoteCancellation(const std::string& job) {
    jobs_.at(job).cancellations.push_back(RequestOutcome::kUnknown);
    return jobs_.at(job).cancellations.size() - 1;
  }
  void NoteCancellationOutcome(const std::string& job, std::size_t number, RequestOutcome outcome) {
    OwnershipJob& it = jobs_.at(job);
    it.cancellations[number] = outcome;
    if (outcome == RequestOutcome::kAccepted && !it.cancelled_at_ms) {
      it.cancelled_at_ms = cluster_.world.ElapsedMs();
    }
  }

  /// @brief Checks the rules that no single start shows.
  void Check() {
    ReadRecords();
    for (const std::string& it : cluster_.tasks_on_two_workers) {
      Report("runs on two workers: " + it);
    }
    for (const auto& [id, job] : jobs_) {
      if (WasRefused(job) && started_jobs_.contains(id)) {
        Report("started although every submission was refused: " + id);
      }
    }
  }

  /// @brief The jobs that must complete: accepted, and certainly not cancelled.
  [[nodiscard]] std::vector<std::string> JobsToComplete() const {
    std::vector<std::string> ids;
    for (const auto& [id, job] : jobs_) {
      const bool is_accepted =
          std::count(job.submissions.begin(), job.submissions.end(), RequestOutcome::kAccepted) > 0;
      if (is_accepted && AllDidNotRun(job.cancellations) && !job.is_dropped) {
        ids.push_back(id);
      }
    }
    return ids;
  }

  void Report(const std::string& violation) {
    if (!violation_) {
      violation_ = std::to_string(cluster_.world.ElapsedMs()) + " ms: " + violation;
    }
  }

 private:
  static constexpr const char* kTopic = "keyed.loom";
  static constexpr std::int64_t kCancelBoundMs = 3'000;

  static bool AllDidNotRun(const std::vector<RequestOutcome>& outcomes) {
    return std::all_of(outcomes.begin(), outcomes.end(),
                       [](RequestOutcome it) { return it == RequestOutcome::kDidNotRun; });
  }
  static bool WasRefused(const OwnershipJob& job) { return AllDidNotRun(job.submissions); }
  static std::string JobOf(const std::string& task) { return task.substr(0, task.find('.')); }

  void Observe(std::size_t worker) {
    const std::string& address = cluster_.workers[worker]->address();
    const standin::SimWorld::Server served = *cluster_.world.Find(address);
    cluster_.world.Serve(address, [this, worker, served](const net::HttpRequest& request,
                                                         standin::SimWorld::Reply reply) {
      const std::map<std::string, int> before = cluster_.workers[worker]->starts();
      served(request, std::move(reply));
      for (const auto& [task, count] : cluster_.workers[worker]->starts()) {
        const auto known = before.find(task);
        if (known == before.end() || known->second != count) {
          OnStart(worker, task, !request.headers.Find(standin::SimPort::kLateHeader).empty());
          CheckRunNumber(worker, request.body);
        }
      }
    });
  }

  void OnStart(std::size_t worker, const std::string& task, bool is_late) {
    ReadRecords();
    const std::string id = JobOf(task);
    const OwnershipJob& job = jobs_.at(id);
    started_jobs_.insert(id);
    if (done_tasks_.contains(task) || completed_jobs_.contains(id)) {
      Report("started after its end was stored: " + task);
    }
    const std::int64_t now = cluster_.world.ElapsedMs();
    // An order that is delayed on its way may arrive after the cancellation.
    if (job.cancelled_at_ms && now > *job.cancelled_at_ms + kCancelBoundMs && !is_late &&
        !job.is_dropped) {
      Report("started after it was cancelled: " + task);
    }
    CheckCapacity(worker);
  }

  // Checks that the number of a run is used on one worker only: on another one, a stop of the run
  // that arrives late would end a run of its own. @param body of the order to start
  void CheckRunNumber(std::size_t worker, const std::string& body) {
    const boost::json::object order = boost::json::parse(body).as_object();
    const std::string run =
        std::string(order.at("task").as_string()) + " run " + serialize(order.at("runId"));
    const auto [known, is_new] = workers_of_runs_.emplace(run, worker);
    if (!is_new && known->second != worker) {
      Report("number used on two workers: " + run);
    }
  }

  void CheckCapacity(std::size_t worker) {
    std::int64_t used = 0;
    for (const auto& [task, run] : cluster_.workers[worker]->running()) {
      used += jobs_.at(JobOf(task)).accelerators_per_task;
    }
    if (used > kWorkerAccelerators) {
      Report("uses " + std::to_string(used) + " accelerators: " + cluster_.workers[worker]->id());
    }
  }

  void ReadRecords() {
    const auto& records = cluster_.store.Records(kTopic);
    for (; next_offset_ < records.size(); ++next_offset_) {
      const auto refusal = RefusalOf([&]() -> Result<void> {
        BOOST_LEAF_AUTO(record, codec::DecodeWorkloadRecord(records[next_offset_]));
        std::visit([this](const auto& it) { Note(it); }, record);
        return {};
      });
      if (refusal) {
        Report("unreadable record: " + refusal->detail);
      }
    }
  }

  void Note(const workload::SubmissionSet& it) {
    const auto job = jobs_.find(it.job);
    if (it.submission || job == jobs_.end()) {
      return;
    }
    job->second.is_dropped = true;
    completed_jobs_.erase(it.job);
    std::erase_if(done_tasks_, [&it](const std::string& task) { return JobOf(task) == it.job; });
  }
  void Note(const workload::TaskSet& it) {
    if (it.record && it.record->phase == workload::TaskPhase::kDone) {
      done_tasks_.insert(codec::TaskName(it.task));
    }
  }
  void Note(const workload::JobEndSet& it) {
    if (it.state == workload::JobState::kCompleted) {
      completed_jobs_.insert(it.job);
    }
  }
  void Note(const workload::OwnerSet& it) {
    const auto [known, is_new] = owners_.emplace(it.owner.epoch, it.owner.instance);
    if (!is_new && known->second != it.owner.instance) {
      Report("epoch " + std::to_string(it.owner.epoch) + " of " + known->second + " and " +
             it.owner.instance);
    }
  }
  void Note(const workload::CancellationSet& /*it*/) {}
  void Note(const workload::InstanceSet& /*it*/) {}

  standin::StandInCluster& cluster_;
  std::map<std::string, OwnershipJob> jobs_;
  std::set<std::string> started_jobs_;
  // Worker of each run that was started, by the names of the task and the run.
  std::map<std::string, std::size_t> workers_of_runs_;
  // As the store holds them.
  std::set<std::string> done_tasks_;
  std::set<std::string> completed_jobs_;
  std::map<std::uint64_t, std::string> owners_;
  std::size_t next_offset_ = 0;
  std::optional<std::string> violation_;
};

}  // namespace clementineloom::entry
