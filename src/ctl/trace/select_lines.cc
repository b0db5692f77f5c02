#include "ctl/trace/select_lines.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <map>
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

// All lines, with whether they name the job.
std::vector<TimelineLine> ByTime(std::string_view job, const std::vector<InstanceLog>& logs) {
  std::vector<TimelineLine> lines;
  for (const InstanceLog& log : logs) {
    for (const LogLine& it : log.lines) {
      lines.push_back({it, NamesJob(it, job)});
    }
  }
  std::ranges::stable_sort(lines, {}, [](const TimelineLine& it) { return it.line.time; });
  return lines;
}

std::vector<LogLine> JobLines(std::span<const TimelineLine> lines) {
  std::vector<LogLine> job_lines;
  for (const TimelineLine& it : lines) {
    if (it.names_job) {
      job_lines.push_back(it.line);
    }
  }
  return job_lines;
}

// Decides which lines that do not name the job belong to its timeline.
class Context {
 public:
  // Precondition: job_lines is not empty; all_lines are in the order of time.
  Context(std::span<const LogLine> job_lines, std::span<const TimelineLine> all_lines)
      : from_(job_lines.front().time),
        until_(job_lines.back().time),
        stays_(WorkerStaysOf(job_lines)) {
    for (const LogLine& it : job_lines) {
      instances_.insert(it.instance);
    }
    for (const TimelineLine& it : all_lines) {
      if (it.line.event == "topic_regained" && it.line.time < from_) {
        last_regained_[TopicOf(it.line)] = it.line.time;
      }
    }
  }

  [[nodiscard]] bool Includes(const LogLine& line) const {
    return IsOfWorker(line) || (IsNear(line) && IsOfOwnershipOrInstance(line)) ||
           BeginsOpenOutage(line);
  }

 private:
  // An instance and a topic that it reads.
  using Topic = std::pair<std::string, std::string>;

  static Topic TopicOf(const LogLine& line) {
    return {line.instance, std::string(line.Field("topic"))};
  }
  // Whether the line begins an outage that lasts until the job.
  [[nodiscard]] bool BeginsOpenOutage(const LogLine& line) const {
    if (line.event != "topic_lost" || line.time >= from_ - kContextMargin ||
        !instances_.contains(line.instance)) {
      return false;
    }
    const auto regained = last_regained_.find(TopicOf(line));
    return regained == last_regained_.end() || regained->second < line.time;
  }
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
  // When an instance last regained a topic before the job.
  std::map<Topic, microseconds> last_regained_;
};

}  // namespace

std::vector<TimelineLine> SelectLines(std::string_view job, const std::vector<InstanceLog>& logs) {
  std::vector<TimelineLine> lines = ByTime(job, logs);
  const std::vector<LogLine> job_lines = JobLines(lines);
  if (job_lines.empty()) {
    return {};
  }
  const Context context(job_lines, lines);
  std::erase_if(
      lines, [&](const TimelineLine& it) { return !it.names_job && !context.Includes(it.line); });
  return lines;
}

}  // namespace clementineloom::ctl::trace
