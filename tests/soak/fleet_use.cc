#include "soak/fleet_use.h"

#include <algorithm>

#include "soak/task_name.h"

namespace clementineloom::soak {
namespace {

using standin::RunEvent;
using standin::RunEventKind;
using workload::Resources;

std::string RunName(const RunEvent& event) {
  return event.worker + " " + event.task + " " + std::to_string(event.run);
}

std::size_t FitCountIn(const Resources& room, const Resources& task) {
  std::size_t count = 0;
  for (Resources used = task; used.FitsIn(room); used = used + task) {
    ++count;
  }
  return count;
}

}  // namespace

FleetUse::FleetUse(const std::vector<workload::WorkerInfo>& workers,
                   const std::map<std::string, JobShape>& shapes)
    : workers_(workers), shapes_(shapes) {
  for (const workload::WorkerInfo& it : workers) {
    free_[it.id] = it.capacity;
    total_ = total_ + it.capacity;
  }
}

void FleetUse::Apply(const RunEvent& event) {
  switch (event.kind) {
    case RunEventKind::kStarted:
      return Add(event);
    case RunEventKind::kEnded:
      Remove(event);
      if (event.how == "done") {
        done_[JobOfTask(event.task)][StepOfTask(event.task)][event.task].insert(event.run);
      }
      return;
    case RunEventKind::kForgotten:
      Remove(event);
      done_[JobOfTask(event.task)][StepOfTask(event.task)][event.task].erase(event.run);
      return;
    case RunEventKind::kAcknowledged:
      return;
  }
}

void FleetUse::Add(const RunEvent& event) {
  if (running_[JobOfTask(event.task)].insert(RunName(event)).second) {
    const Resources task = ResourcesOf(event.task);
    used_ = used_ + task;
    free_[event.worker] = free_[event.worker] - task;
  }
}

void FleetUse::Remove(const RunEvent& event) {
  const auto runs = running_.find(JobOfTask(event.task));
  if (runs == running_.end() || runs->second.erase(RunName(event)) == 0) {
    return;
  }
  const Resources task = ResourcesOf(event.task);
  used_ = used_ - task;
  free_[event.worker] = free_[event.worker] + task;
  if (runs->second.empty()) {
    running_.erase(runs);
  }
}

Resources FleetUse::ResourcesOf(const std::string& task) const {
  const auto shape = shapes_.find(JobOfTask(task));
  const std::size_t step = StepOfTask(task);
  const bool is_known = shape != shapes_.end() && step < shape->second.steps.size();
  return is_known ? shape->second.steps[step].task : Resources();
}

std::size_t FleetUse::UndoneTasks(const std::string& job, std::size_t step) const {
  const StepShape& shape = shapes_.at(job).steps.at(step);
  const auto steps = done_.find(job);
  if (steps == done_.end() || !steps->second.contains(step)) {
    return shape.count;
  }
  const auto& tasks = steps->second.at(step);
  const auto done = static_cast<std::size_t>(
      std::ranges::count_if(tasks, [](const auto& it) { return !it.second.empty(); }));
  // One such end represents a whole gang.
  return shape.is_gang && done > 0 ? 0 : shape.count - std::min(done, shape.count);
}

std::size_t FleetUse::OpenTasks(const std::string& job, std::size_t step) const {
  const StepShape& shape = shapes_.at(job).steps.at(step);
  const bool is_due = std::ranges::all_of(
      shape.depends_on, [&](std::size_t it) { return UndoneTasks(job, it) == 0; });
  return is_due ? UndoneTasks(job, step) : 0;
}

std::size_t FleetUse::FitCount(const StepShape& step) const {
  std::size_t count = 0;
  for (const workload::WorkerInfo& it : workers_) {
    if (step.required_label.empty() || it.HasLabel(step.required_label)) {
      count += FitCountIn(free_.at(it.id), step.task);
    }
  }
  return count;
}

bool FleetUse::IsUnderHalf() const {
  const Resources twice = used_ + used_;
  return twice.cpu_millicores < total_.cpu_millicores && twice.memory_mb < total_.memory_mb &&
         twice.accelerators < total_.accelerators;
}

}  // namespace clementineloom::soak
