#include "fakes/task_table.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <string_view>

namespace clementineloom::fakes {
namespace {

using platform::TaskKey;
using platform::TaskReport;
using platform::TaskState;

constexpr std::string_view kSleep = "sleep_ms=";
constexpr std::string_view kFail = "fail";

Duration PlannedRunTime(std::string_view command) {
  const std::size_t n = command.find(kSleep);
  if (n == std::string_view::npos) {
    return Duration(0);
  }
  const std::string_view digits = command.substr(n + kSleep.size());
  Duration::rep number = 0;
  std::from_chars(digits.data(), digits.data() + digits.size(), number);
  return Duration(number);
}

bool IsOlder(const TaskKey& key, const TaskKey& newest) {
  return std::pair(key.token, key.attempt) < std::pair(newest.token, newest.attempt);
}

void AdvanceRunning(TaskEntry& task, Instant now) {
  TaskReport& report = task.report;
  const Instant end = task.started_at + task.planned_run_time;
  if (end <= now && end <= task.deadline) {
    report.state = task.will_fail ? TaskState::kFailed : TaskState::kSucceeded;
    report.run_time = task.planned_run_time;
  } else if (task.deadline <= now) {
    report.state = TaskState::kLeaseExpired;
    report.is_checkpointed = true;
    report.run_time = task.deadline - task.started_at;
  } else {
    report.run_time = now - task.started_at;
  }
}

}  // namespace

Result<TaskReport> TaskTable::Reserve(const platform::ReserveCommand& command, Instant now) {
  Advance(now);
  BOOST_LEAF_CHECK(CheckToken(command.key));
  const auto it = tasks_.find(command.key.job);
  const bool is_known = it != tasks_.end() && it->second.report.key == command.key;
  if (is_known && it->second.report.state != TaskState::kLapsed) {
    return it->second.report;
  }
  if (AcceleratorsHeldByOthers(command.key.job) + command.accelerators > accelerators_) {
    return Refuse(ResultCode::kAcceleratorsNotFree, "accelerators");
  }
  TaskEntry task;
  task.report.key = command.key;
  task.report.accelerators = command.accelerators;
  task.deadline = now + command.ttl;
  tasks_[command.key.job] = task;
  return task.report;
}

Result<TaskReport> TaskTable::Start(const platform::StartCommand& command, Instant now) {
  Advance(now);
  BOOST_LEAF_AUTO(task, Find(command.key));
  switch (task->report.state) {
    case TaskState::kReserved:
      break;
    case TaskState::kLapsed:
      return Refuse(ResultCode::kReservationLapsed, "reservation");
    case TaskState::kStopped:
    case TaskState::kLeaseExpired:
      return Refuse(ResultCode::kWorkerRefused, "task was stopped");
    default:
      return task->report;
  }
  task->started_at = now;
  task->deadline = now + command.lease;
  task->planned_run_time = fail_everything_ ? Duration(0) : PlannedRunTime(command.command);
  task->will_fail = fail_everything_ || command.command.find(kFail) != std::string::npos;
  task->report.state = TaskState::kRunning;
  return task->report;
}

Result<TaskReport> TaskTable::Renew(const platform::RenewCommand& command, Instant now) {
  Advance(now);
  BOOST_LEAF_AUTO(task, Find(command.key));
  if (task->report.state == TaskState::kRunning) {
    task->deadline = now + command.lease;
  }
  return task->report;
}

Result<TaskReport> TaskTable::Checkpoint(const TaskKey& key, Instant now) {
  Advance(now);
  BOOST_LEAF_AUTO(task, Find(key));
  if (task->report.state == TaskState::kRunning) {
    task->report.is_checkpointed = true;
  }
  return task->report;
}

Result<TaskReport> TaskTable::Stop(const TaskKey& key, Instant now) {
  Advance(now);
  BOOST_LEAF_CHECK(CheckToken(key));
  TaskEntry& task = tasks_[key.job];
  if (task.report.key != key) {
    // The stopped entry is kept so that a delayed start command is refused.
    task = TaskEntry{};
    task.report.key = key;
    task.report.state = TaskState::kStopped;
  } else if (HoldsAccelerators(task.report.state)) {
    task.report.state = TaskState::kStopped;
  }
  return task.report;
}

std::vector<TaskReport> TaskTable::List(Instant now) {
  Advance(now);
  std::vector<TaskReport> reports;
  for (const auto& [job, task] : tasks_) {
    reports.push_back(task.report);
  }
  return reports;
}

void TaskTable::Advance(Instant now) {
  for (auto& [job, task] : tasks_) {
    if (task.report.state == TaskState::kRunning) {
      AdvanceRunning(task, now);
    } else if (task.report.state == TaskState::kReserved && task.deadline <= now) {
      task.report.state = TaskState::kLapsed;
    }
  }
}

Result<void> TaskTable::CheckToken(const TaskKey& key) const {
  const auto it = tasks_.find(key.job);
  if (it != tasks_.end() && IsOlder(key, it->second.report.key)) {
    return Refuse(ResultCode::kTokenSuperseded,
                  "newest token " + std::to_string(it->second.report.key.token.value()));
  }
  return {};
}

Result<TaskEntry*> TaskTable::Find(const TaskKey& key) {
  BOOST_LEAF_CHECK(CheckToken(key));
  const auto it = tasks_.find(key.job);
  if (it == tasks_.end() || it->second.report.key != key) {
    return Refuse(ResultCode::kUnknownJob, "job " + std::to_string(key.job.value()));
  }
  return &it->second;
}

std::uint32_t TaskTable::AcceleratorsHeldByOthers(JobId job) const {
  std::uint32_t held = 0;
  for (const auto& [id, task] : tasks_) {
    if (id != job && HoldsAccelerators(task.report.state)) {
      held += task.report.accelerators;
    }
  }
  return held;
}

}  // namespace clementineloom::fakes
