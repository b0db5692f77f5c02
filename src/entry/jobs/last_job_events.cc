#include "entry/jobs/last_job_events.h"

#include <optional>
#include <utility>
#include <variant>

#include "codec/task_name.h"

namespace clementineloom::entry {
namespace {

JobEventKind KindOf(workload::TaskPhase phase) {
  switch (phase) {
    case workload::TaskPhase::kPlaced:
      return JobEventKind::kStartRecorded;
    case workload::TaskPhase::kDone:
      return JobEventKind::kTaskDone;
    case workload::TaskPhase::kWaiting:
      break;
  }
  return JobEventKind::kRunEnded;
}

/// A job and what a record says of it; no event for a record after which the job is not open.
struct JobNote {
  std::string job;
  std::optional<JobEvent> event;
};

std::optional<JobNote> NoteOf(const workload::SubmissionSet& record) {
  return JobNote{record.job, record.submission ? std::optional(JobEvent{}) : std::nullopt};
}

std::optional<JobNote> NoteOf(const workload::CancellationSet& record) {
  return JobNote{record.job, std::nullopt};
}

std::optional<JobNote> NoteOf(const workload::JobEndSet& record) {
  return JobNote{record.job, std::nullopt};
}

std::optional<JobNote> NoteOf(const workload::TaskSet& record) {
  if (!record.record) {
    return std::nullopt;
  }
  JobEvent event;
  event.kind = KindOf(record.record->phase);
  event.task = codec::TaskName(record.task);
  event.run = record.record->run;
  return JobNote{record.task.step.job, std::move(event)};
}

std::optional<JobNote> NoteOf(const workload::InstanceSet& /*record*/) { return std::nullopt; }
std::optional<JobNote> NoteOf(const workload::OwnerSet& /*record*/) { return std::nullopt; }
std::optional<JobNote> NoteOf(const workload::LeaseEndSet& /*record*/) { return std::nullopt; }

}  // namespace

void LastJobEvents::OnRecord(const workload::WorkloadRecord& record, workload::SteadyTime now,
                             std::uint64_t epoch, bool is_loaded) {
  auto note = std::visit([](const auto& it) { return NoteOf(it); }, record);
  if (!note) {
    return;
  }
  if (!note->event) {
    events_.erase(note->job);
    return;
  }
  note->event->read_at = now;
  note->event->epoch = epoch;
  note->event->is_loaded = is_loaded;
  events_.insert_or_assign(std::move(note->job), std::move(*note->event));
}

const JobEvent* LastJobEvents::Find(std::string_view job) const {
  const auto it = events_.find(job);
  return it == events_.end() ? nullptr : &it->second;
}

}  // namespace clementineloom::entry
