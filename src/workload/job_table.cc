#include "clementineloom/workload/job_table.h"

#include <variant>

namespace clementineloom::workload {

void JobTable::Apply(const WorkloadRecord& record) {
  std::visit([this](const auto& it) { Set(it); }, record);
}

void JobTable::NoteEndStored(std::string_view job, bool is_stored) {
  const auto it = jobs_.find(job);
  if (it != jobs_.end() && it->second.end) {
    it->second.is_end_stored = is_stored;
  }
}

void JobTable::Clear() { jobs_.clear(); }

const JobEntry* JobTable::Find(std::string_view job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

const StepSpec* JobTable::FindStep(const StepId& step) const {
  const JobEntry* job = Find(step.job);
  return job == nullptr ? nullptr : job->FindStep(step.step);
}

std::size_t JobTable::PendingCount(std::string_view queue) const {
  std::size_t count = 0;
  for (const auto& [id, job] : jobs_) {
    if (job.IsOpen() && job.submission->queue.name == queue && !job.HasStarted()) {
      ++count;
    }
  }
  return count;
}

void JobTable::Set(const SubmissionSet& record) {
  ++submissions_applied_;
  if (record.submission) {
    jobs_[record.job].submission = record.submission;
  } else if (const auto it = jobs_.find(record.job); it != jobs_.end()) {
    it->second.submission.reset();
    DropIfEmpty(record.job);
  }
}

void JobTable::Set(const CancellationSet& record) {
  if (record.is_set) {
    jobs_[record.job].is_cancelled = true;
  } else if (const auto it = jobs_.find(record.job); it != jobs_.end()) {
    it->second.is_cancelled = false;
    DropIfEmpty(record.job);
  }
}

void JobTable::Set(const TaskSet& record) {
  const StepId& step = record.task.step;
  if (record.record) {
    auto& row = jobs_[step.job].tasks[{step.occurrence, step.step}];
    if (row.size() <= record.task.index) {
      row.resize(record.task.index + 1);
    }
    row[record.task.index] = *record.record;
    return;
  }
  const auto it = jobs_.find(step.job);
  if (it == jobs_.end()) {
    return;
  }
  const auto row = it->second.tasks.find({step.occurrence, step.step});
  if (row == it->second.tasks.end() || record.task.index >= row->second.size()) {
    return;
  }
  row->second[record.task.index] = TaskRecord{};
  while (!row->second.empty() && row->second.back() == TaskRecord{}) {
    row->second.pop_back();
  }
  if (row->second.empty()) {
    it->second.tasks.erase(row);
    DropIfEmpty(step.job);
  }
}

void JobTable::Set(const JobEndSet& record) {
  if (record.state) {
    JobEntry& entry = jobs_[record.job];
    entry.end = record.state;
    entry.is_end_stored = true;
  } else if (const auto it = jobs_.find(record.job); it != jobs_.end()) {
    it->second.end.reset();
    DropIfEmpty(record.job);
  }
}

void JobTable::DropIfEmpty(const std::string& job) {
  const JobEntry& entry = jobs_.at(job);
  if (!entry.submission && !entry.is_cancelled && !entry.end && entry.tasks.empty()) {
    jobs_.erase(job);
  }
}

}  // namespace clementineloom::workload
