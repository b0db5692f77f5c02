#include "soak/soak_result.h"

#include <algorithm>
#include <set>
#include <sstream>

#include "soak/answer_check.h"
#include "soak/failure_causes.h"
#include "soak/job_bodies.h"
#include "soak/job_check.h"
#include "soak/job_reader.h"
#include "soak/request_names.h"
#include "soak/run_check.h"
#include "soak/soak_clock.h"
#include "soak/standing_still_check.h"

namespace clementineloom::soak {
namespace {

void Append(std::vector<Violation>& all, const std::vector<Violation>& more) {
  all.insert(all.end(), more.begin(), more.end());
}

// When each job was first shown as completed.
std::map<std::string, std::int64_t> ShownCompleted(const std::vector<JobReading>& readings) {
  std::map<std::string, std::int64_t> shown;
  for (const JobReading& it : readings) {
    if (it.state == "completed") {
      const auto at = shown.emplace(it.job, it.answered_ms).first;
      at->second = std::min(at->second, it.answered_ms);
    }
  }
  return shown;
}

// The shapes of all submitted jobs.
std::map<std::string, JobShape> ShapesOf(const RequestLog& requests) {
  std::map<std::string, JobShape> shapes;
  for (const auto& [job, history] : requests.Jobs()) {
    if (history.submissions > 0) {
      shapes.emplace(job, JobShape::Parse(history.body));
    }
  }
  return shapes;
}

}  // namespace

std::map<std::string, JobTimes> AcceptedJobs(const RequestLog& requests) {
  std::map<std::string, JobTimes> accepted;
  for (const auto& [job, history] : requests.Jobs()) {
    if (history.accepted) {
      JobTimes times{TimeMs(*history.accepted), std::nullopt};
      if (history.cancel_sent) {
        times.cancel_sent_ms = TimeMs(*history.cancel_sent);
      }
      accepted.emplace(job, times);
    }
  }
  return accepted;
}

std::vector<Violation> CheckAll(const SoakResult& result) {
  const auto jobs = AcceptedJobs(result.requests);
  const FailureCauses causes(result.runs, JobBodies::kMaxAttempts);
  const JobCheck job_check(jobs, result.disturbances, causes);
  std::vector<Violation> violations;
  std::vector<JobReading> readings;
  for (const RequestRecord& it : result.requests.Records()) {
    if (const auto violation = CheckAnswer(it, result.disturbances)) {
      violations.push_back(*violation);
    }
    if (it.method == RequestMethod::kGet && it.end == RequestEnd::kAnswered) {
      readings.push_back(JobReader::FromRecord(it));
      Append(violations, job_check.CheckReading(readings.back()));
    }
  }
  for (const JobReading& it : result.final_readings) {
    readings.push_back(it);
    Append(violations, job_check.CheckFinalReading(it));
  }
  const auto shown = ShownCompleted(readings);
  const auto refused = result.requests.Refused();
  Append(violations, RunCheck(shown, refused).Check(result.runs));
  const auto shapes = ShapesOf(result.requests);
  Append(violations,
         StandingStillCheck(jobs, shapes, result.workers, causes, result.calm).Check(result.runs));
  return violations;
}

std::string Summarize(const SoakResult& result) {
  std::map<std::string_view, std::size_t> ends;
  const auto records = result.requests.Records();
  std::size_t timed_out_undisturbed = 0;
  for (const RequestRecord& it : records) {
    ++ends[NameOf(it.end)];
    timed_out_undisturbed += IsTimedOutUndisturbed(it, result.disturbances) ? 1 : 0;
  }
  std::set<std::string> completed;
  for (const JobReading& it : result.final_readings) {
    if (it.state == "completed") {
      completed.insert(it.job);
    }
  }
  std::map<std::string, std::size_t> runs;
  for (const standin::RunEvent& it : result.runs) {
    if (it.kind == standin::RunEventKind::kStarted || it.kind == standin::RunEventKind::kEnded) {
      ++runs[it.how.empty() ? "started" : it.how];
    }
  }
  std::ostringstream text;
  text << records.size() << " requests:";
  for (const auto& [name, count] : ends) {
    text << " " << count << " " << name;
  }
  text << " (" << timed_out_undisturbed << " timed out at undisturbed instances); runs:";
  for (const auto& [name, count] : runs) {
    text << " " << count << " " << name;
  }
  text << "; jobs: " << AcceptedJobs(result.requests).size() << " accepted, " << completed.size()
       << " completed";
  return text.str();
}

}  // namespace clementineloom::soak
