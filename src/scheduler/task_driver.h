#pragma once

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <unordered_map>
#include <utility>
#include <variant>

#include "clementineloom/errors/result_code_table.h"
#include "platform/worker_channel.h"
#include "scheduler/attempt_driver.h"
#include "scheduler/driver_event.h"
#include "scheduler/driver_outputs.h"
#include "scheduler/record_id_source.h"

namespace clementineloom::scheduler {

/// @brief Drives the attempts of all jobs on their workers: reserve, start, renew, stop.
///
/// It waits only for its own ring: commands go to a channel whose results come back as events. The
/// age of the view is checked just before a command is sent.
///
/// Thread safety: none; other threads reach it only through its ring.
template <platform::WorkerChannel Channel>
class TaskDriver {
 public:
  /// The channel has to outlive it.
  TaskDriver(DriverOptions options, Channel& channel, DriverOutputs outputs)
      : options_(std::move(options)),
        channel_(channel),
        outputs_(outputs),
        record_ids_(options_.process, "t"),
        membership_(std::make_shared<const MembershipView>()) {}

  /// @brief Handles events until the ring is closed and drained.
  void Run(BoundedRing<DriverEvent>& events) {
    for (;;) {
      auto event = events.PopFor(TimeToNextStep(std::chrono::steady_clock::now()));
      if (event) {
        Handle(std::move(*event), std::chrono::steady_clock::now());
      } else if (events.closed()) {
        return;
      }
      Tick(std::chrono::steady_clock::now());
    }
  }

  /// @brief Handles one event.
  void Handle(DriverEvent event, MonotonicTime now) {
    std::visit([&](auto& it) { this->Take(std::move(it), now); }, event);
  }

  /// @brief Executes the steps that are due.
  void Tick(MonotonicTime now) {
    while (!schedule_.empty() && schedule_.begin()->first <= now) {
      Step(schedule_.begin()->second, now);
    }
    if (is_draining_ && !is_drained_ && !IsStarting()) {
      is_drained_ = outputs_.drained.TryPush(Drained{DrainedDuty::kDriver});
    }
  }

  /// @brief Number of attempts that are driven.
  [[nodiscard]] std::size_t size() const { return attempts_.size(); }

 private:
  // Upper limit of a wait, also without attempts; an event or the closing of the ring ends it
  // early.
  static constexpr std::chrono::milliseconds kMaxWait{1'000};
  // Keeps a step that is due again at once from occupying the thread.
  static constexpr std::chrono::milliseconds kMinStep{10};

  struct Entry {
    AttemptDriver driver;
    /// Its time in the schedule.
    MonotonicTime scheduled_at;
  };

  struct Call {
    platform::TaskKey key;
    std::size_t member = 0;
  };

  void Take(std::shared_ptr<const Attempt> attempt, MonotonicTime now) {
    const JobId job = attempt->key.job;
    const auto it = attempts_.find(job);
    if (it != attempts_.end() && it->second.driver.attempt().key == attempt->key) {
      it->second.driver.Update(std::move(attempt), now);
      Reschedule(job, it->second, now);
      return;
    }
    Forget(job);
    Entry entry{AttemptDriver(std::move(attempt), options_, now), now};
    attempts_.emplace(job, std::move(entry));
    schedule_.emplace(now, job);
  }

  void Take(const AttemptEnded& ended, MonotonicTime) { Forget(ended.job); }
  void Take(const ViewFreshness& freshness, MonotonicTime) { freshness_ = freshness; }
  void Take(StartDraining, MonotonicTime) { is_draining_ = true; }

  void Take(std::shared_ptr<const MembershipView> membership, MonotonicTime) {
    membership_ = std::move(membership);
  }

  void Take(platform::WorkerResult result, MonotonicTime now) {
    const auto call = calls_.extract(result.id);
    if (call.empty()) {
      return;
    }
    const auto it = attempts_.find(call.mapped().key.job);
    if (it == attempts_.end() || it->second.driver.attempt().key != call.mapped().key) {
      return;
    }
    AttemptDriver& driver = it->second.driver;
    if (const auto* report = std::get_if<platform::TaskReport>(&result.outcome)) {
      driver.OnReport(call.mapped().member, *report, now);
    } else {
      const Refusal& refusal = std::get<Refusal>(result.outcome);
      outputs_.metrics.Count("loom_worker_refusals_total", "reason", ResultCodeName(refusal.code));
      driver.OnRefusal(call.mapped().member, refusal, now);
    }
    Reschedule(it->first, it->second, now);
  }

  void Step(JobId job, MonotonicTime now) {
    Entry& entry = attempts_.at(job);
    const DriverView view{.now = now,
                          .freshness = freshness_,
                          .rank = membership_->RankOf(options_.instance, job.value()),
                          .is_draining = is_draining_};
    const AttemptSteps steps = entry.driver.Next(view);
    for (const MemberCommand& it : steps.commands) {
      Send(entry.driver, it, now);
    }
    for (const RecordBody& it : steps.proposals) {
      Propose(it, now);
    }
    Reschedule(job, entry, now + kMinStep);
  }

  void Send(AttemptDriver& driver, const MemberCommand& command, MonotonicTime now) {
    const net::CallId id(++last_call_);
    const Attempt& attempt = driver.attempt();
    calls_.emplace(id, Call{attempt.key, command.member});
    if (!channel_.Send({id, attempt.members[command.member].address, driver.CommandFor(command)})) {
      outputs_.metrics.Count("loom_worker_calls_refused_total", "reason", "queue_full");
      calls_.erase(id);
      driver.OnNotSent(command.member, now);
    }
  }

  void Propose(const RecordBody& body, MonotonicTime now) {
    if (freshness_.is_outdated) {
      return;
    }
    const auto record = std::make_shared<const Record>(Record{record_ids_.Next(), body});
    if (!outputs_.append.TryPush(Proposal{record, now + options_.proposal_timeout})) {
      outputs_.metrics.Count("loom_proposals_refused_total", "reason", "queue_full");
    }
  }

  void Reschedule(JobId job, Entry& entry, MonotonicTime earliest) {
    schedule_.erase({entry.scheduled_at, job});
    entry.scheduled_at = std::max(entry.driver.wake_at(), earliest);
    schedule_.emplace(entry.scheduled_at, job);
  }

  void Forget(JobId job) {
    const auto node = attempts_.extract(job);
    if (!node.empty()) {
      schedule_.erase({node.mapped().scheduled_at, job});
    }
  }

  [[nodiscard]] bool IsStarting() const {
    return std::ranges::any_of(attempts_,
                               [](const auto& it) { return it.second.driver.is_starting(); });
  }

  [[nodiscard]] std::chrono::nanoseconds TimeToNextStep(MonotonicTime now) const {
    if (schedule_.empty()) {
      return kMaxWait;
    }
    const std::chrono::nanoseconds left = schedule_.begin()->first - now;
    return std::clamp<std::chrono::nanoseconds>(left, std::chrono::nanoseconds(0), kMaxWait);
  }

  const DriverOptions options_;
  Channel& channel_;
  DriverOutputs outputs_;
  RecordIdSource record_ids_;
  std::shared_ptr<const MembershipView> membership_;
  ViewFreshness freshness_;
  std::unordered_map<JobId, Entry> attempts_;
  std::set<std::pair<MonotonicTime, JobId>> schedule_;
  std::unordered_map<net::CallId, Call> calls_;
  std::uint64_t last_call_ = 0;
  bool is_draining_ = false;
  bool is_drained_ = false;
};

}  // namespace clementineloom::scheduler
