#include "ctl/trace/select_lines.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <iterator>
#include <set>
#include <span>
#include <string>
#include <utility>

#include "ctl/trace/names_job.h"
#include "ctl/trace/worker_stay.h"
#include "ctl/trace/worker_stays.h"

namespace clementineloom::ctl::trace {
namespace {

using std::chrono::microseconds;

// An owner is replaced within this time.
constexpr std::chrono::seconds kContextMargin{10};

constexpr std::array<std::string_view, 4> kOwnershipEvents{"claiming_ownership", "claim_failed",
                                                           "ownership_taken", "ownership_lost"};
constexpr std::array<std::string_view, 12> kInstanceEvents{
    "topic_lost",      "topic_regained", "topic_records_expired",
    "append_retry",    "jobs_loaded",    "append_given_up",
    "config_in_force", "started",        "draining",
    "drain_cut_off",   "stopped",        "evacuation"};

std::vector<LogLine> ByTime(const std::vector<InstanceLog>& logs) {
  std::vector<LogLine> lines;
  for (const InstanceLog& it : logs) {
    lines.insert(lines.end(), it.lines.begin(), it.lines.end());
  }
  std::ranges::stable_sort(lines, {}, &LogLine::time);
  return lines;
}

// Decides which lines that do not name the job belong to its timeline.
class Context {
 public:
  // Precondition: job_lines is not empty.
  explicit Context(std::span<const LogLine> job_lines)
      : from_(job_lines.front().time),
        until_(job_lines.back().time),
        stays_(WorkerStaysOf(job_lines)) {
    for (const LogLine& it : job_lines) {
      instances_.insert(it.instance);
    }
  }

  [[nodiscard]] bool Includes(const LogLine& line) const {
    return IsOfWorker(line) || (IsNear(line) && IsOfOwnershipOrInstance(line));
  }

  // Whether the line begins an outage that may last until the job.
  [[nodiscard]] bool BeginsOutage(const LogLine& line) const {
    return line.event == "topic_lost" && line.time < from_ - kContextMargin &&
           instances_.contains(line.instance);
  }
  // Whether the line ends the outage that an earlier line began, before the job.
  [[nodiscard]] bool EndsOutage(const LogLine& line, const LogLine& begin) const {
    return line.event == "topic_regained" && line.time < from_ && line.time >= begin.time &&
           line.instance == begin.instance && line.Field("topic") == begin.Field("topic");
  }

 private:
  [[nodiscard]] bool IsOfWorker(const LogLine& line) const {
    const std::string_view worker = line.Field("worker");
    // A line about a run of another job only shares the worker.
    return line.Field("task").empty() && line.Field("job").empty() &&
           std::ranges::any_of(stays_, [&](const WorkerStay& it) {
             return it.worker == worker && it.from <= line.time && line.time <= it.until;
           });
  }
  [[nodiscard]] bool IsNear(const LogLine& line) const {
    return line.time >= from_ - kContextMargin && line.time <= until_ + kContextMargin;
  }
  [[nodiscard]] bool IsOfOwnershipOrInstance(const LogLine& line) const {
    return std::ranges::find(kOwnershipEvents, line.event) != kOwnershipEvents.end() ||
           (instances_.contains(line.instance) &&
            std::ranges::find(kInstanceEvents, line.event) != kInstanceEvents.end());
  }

  microseconds from_;
  microseconds until_;
  std::vector<WorkerStay> stays_;
  std::set<std::string> instances_;
};

// Whether an outage that a line begins lasts until the job.
bool IsOpenOutage(std::span<const LogLine> lines, const LogLine& begin, const Context& context) {
  return context.BeginsOutage(begin) && std::ranges::none_of(lines, [&](const LogLine& it) {
           return context.EndsOutage(it, begin);
         });
}

}  // namespace

std::vector<TimelineLine> SelectLines(std::string_view job, const std::vector<InstanceLog>& logs) {
  const std::vector<LogLine> lines = ByTime(logs);
  std::vector<LogLine> job_lines;
  std::ranges::copy_if(lines, std::back_inserter(job_lines),
                       [&](const LogLine& it) { return NamesJob(it, job); });
  std::vector<TimelineLine> selected;
  if (job_lines.empty()) {
    return selected;
  }
  const Context context(job_lines);
  for (const LogLine& it : lines) {
    const bool names_job = NamesJob(it, job);
    if (names_job || context.Includes(it) || IsOpenOutage(lines, it, context)) {
      selected.push_back({it, names_job});
    }
  }
  return selected;
}

}  // namespace clementineloom::ctl::trace
