#include "ctl/trace/line_cause.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <string_view>
#include <utility>

#include "clementineloom/errors/result_code.h"
#include "clementineloom/errors/result_code_table.h"
#include "ctl/trace/timeline_search.h"

namespace clementineloom::ctl::trace {
namespace {

using Timeline = std::span<const TimelineLine>;

std::string Get(const LogLine& line, std::string_view key) { return std::string(line.Field(key)); }

// "NUMBER NAME" of the field "code".
std::string CodeText(const LogLine& line) {
  const std::string_view text = line.Field("code");
  unsigned number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return std::string(text) + " " + std::string(ResultCodeName(static_cast<ResultCode>(number)));
}

std::string ViewText(const LogLine& line) {
  if (line.Field("view_age_ms").empty()) {
    return {};
  }
  return " (view " + Get(line, "view_age_ms") + " ms old, configuration version " +
         Get(line, "config_version") + ")";
}

std::string EventAt(const TimelineLine& it) {
  return it.line.event + " on " + it.line.instance + " at " + it.line.time_text;
}

std::string RunText(const LogLine& line) {
  return "run " + Get(line, "run") + " of task " + Get(line, "task");
}

std::string RunEndText(const LogLine& line) {
  constexpr std::array<std::pair<std::string_view, std::string_view>, 5> kReasons{
      {{"1", "failed"},
       {"2", "was stopped"},
       {"3", "lapsed"},
       {"4", "ended with another member of its gang"},
       {"5", "ended because other members of its gang did not come"}}};
  for (const auto& [number, text] : kReasons) {
    if (line.Field("reason") == number) {
      return RunText(line) + " " + std::string(text) + " on worker " + Get(line, "worker");
    }
  }
  return RunText(line) + " ended on worker " + Get(line, "worker") + " for reason " +
         Get(line, "reason");
}

std::string LossText(Timeline timeline, std::size_t index) {
  const LogLine& line = timeline[index].line;
  std::string text = "worker " + Get(line, "worker") + " lost its runs: " + Get(line, "reason");
  const auto sign = FindLastBefore(timeline, index, [&](const TimelineLine& it) {
    return it.line.Field("worker") == line.Field("worker") &&
           (it.line.event == "worker_silent" || it.line.event == "worker_unlisted" ||
            it.line.event == "worker_answers_no_orders" || it.line.event == "worker_life_began");
  });
  return sign ? text + ", after " + EventAt(timeline[*sign]) : text;
}

// Whether the ownership that a line tells of ended within the timeline, as that of an instance
// whose claim was followed by another one.
bool IsLostLater(Timeline timeline, const LogLine& taken) {
  return std::ranges::any_of(timeline, [&](const TimelineLine& it) {
    return it.line.event == "ownership_lost" && it.line.instance == taken.instance &&
           it.line.Field("epoch") == taken.Field("epoch");
  });
}

// An answer to the caller that leaves the outcome open because an owner did not answer, with the
// instance that replaced the owner.
std::string OwnerSilenceText(Timeline timeline, std::size_t index) {
  const LogLine& line = timeline[index].line;
  const std::string owner = Get(line, "owner");
  std::string text =
      "owner " + owner + " took the request and gave no answer before the caller's timeout";
  const auto successor = FindFirstAfter(timeline, index, [&](const TimelineLine& it) {
    return it.line.event == "ownership_taken" && it.line.instance != owner &&
           !IsLostLater(timeline, it.line);
  });
  if (successor) {
    const LogLine& taken = timeline[*successor].line;
    text += "; ownership went to " + taken.instance + " at " + taken.time_text + " (epoch " +
            Get(taken, "epoch") + ")";
  }
  return text;
}

std::string UnknownText(Timeline timeline, std::size_t index) {
  const LogLine& line = timeline[index].line;
  if (line.Field("awaits") == "owner") {
    return OwnerSilenceText(timeline, index);
  }
  if (line.Field("awaits") == "peer") {
    return "the store refused the record, and a peer that may have recorded it gave no answer" +
           ViewText(line);
  }
  return "the store gave no answer before the caller's timeout" + ViewText(line);
}

std::string RefusalText(Timeline timeline, std::size_t index) {
  const LogLine& line = timeline[index].line;
  std::string text = CodeText(line) + ": " + Get(line, "detail") + ViewText(line);
  const auto peer = FindLastBefore(timeline, index, [&](const TimelineLine& it) {
    return it.names_job && it.line.event == "peer_did_not_take_request" &&
           it.line.Field("run_state") == "may_have_run";
  });
  if (peer && line.Field("run_state") == "may_have_run") {
    text += "; peer " + Get(timeline[*peer].line, "peer") + " may have recorded it";
  }
  return text;
}

std::string GuaranteeText(const LogLine& line) {
  return "step " + Get(line, "step") + " waited within the guarantee of team " + Get(line, "team") +
         ": " + Get(line, "needed") + " accelerators needed, " + Get(line, "free") + " free, " +
         Get(line, "stoppable") + " stoppable";
}

// What keeps the tasks of a step from starting: a run that holds room, or the workers' conditions.
std::string StepWaitText(const LogLine& line) {
  constexpr std::array<std::pair<std::string_view, std::string_view>, 9> kWorkers{
      {{"without_label", "without the label"},
       {"leaving", "unlisted or draining"},
       {"unattached", "not heard from"},
       {"backing_off", "backing off"},
       {"evacuated", "evacuated"},
       {"full", "full"},
       {"unapproved", "not approved"},
       {"reserved", "kept for urgent work"},
       {"usable", "usable"}}};
  std::string text = "no task of step " + Get(line, "step") + " was at work for " +
                     Get(line, "waited_ms") + " ms: " + Get(line, "open") + " not done";
  // Lines of earlier versions lack the reason and some of the counts.
  if (!line.Field("reason").empty()) {
    text += ", reason " + Get(line, "reason");
  }
  if (const auto ends_in = line.Field("ends_in_ms"); !ends_in.empty() && ends_in != "0") {
    text += " for up to " + Get(line, "ends_in_ms") + " ms more";
  }
  if (!line.Field("held_task").empty()) {
    text += ", " + Get(line, "held") + " of them held, the first by run " + Get(line, "held_run") +
            " of task " + Get(line, "held_task") + " (" + Get(line, "held_stage") + ") on worker " +
            Get(line, "held_by");
    if (const auto contact = line.Field("held_contact"); !contact.empty()) {
      text += ", which is " + std::string(contact) + " (" + Get(line, "held_reason") + ")";
    }
  }
  text += "; workers:";
  for (const auto& [key, condition] : kWorkers) {
    if (const auto count = line.Field(key); !count.empty() && count != "0") {
      text += " " + Get(line, key) + " " + std::string(condition) + ",";
    }
  }
  return text + " " + Get(line, "claims") + " tasks with room kept for them";
}

std::string StopText(const LogLine& line) {
  const std::string run = RunText(line);
  const std::string worker = Get(line, "worker");
  if (line.event == "run_preempted") {
    return run + " was stopped on worker " + worker + " for task " + Get(line, "for");
  }
  if (line.event == "run_moved") {
    return run + " was moved off worker " + worker + ", which leaves in " +
           Get(line, "worker_leaves_in_ms") + " ms";
  }
  return run + " made no progress on worker " + worker + " and was stopped";
}

}  // namespace

std::string LineCause(Timeline timeline, std::size_t index) {
  const LogLine& line = timeline[index].line;
  const std::string& event = line.event;
  if (event == "request_refused") {
    return RefusalText(timeline, index);
  }
  if (event == "request_unauthorized") {
    return "no team has the caller's key (configuration version " + Get(line, "config_version") +
           ")";
  }
  if (event == "job_outcome_unknown") {
    return UnknownText(timeline, index);
  }
  if (event == "run_ended") {
    return RunEndText(line);
  }
  if (event == "runs_lost") {
    return LossText(timeline, index);
  }
  if (event == "run_preempted" || event == "run_moved" || event == "run_stalled") {
    return StopText(line);
  }
  if (event == "guaranteed_step_waits") {
    return GuaranteeText(line);
  }
  if (event == "step_waits") {
    return StepWaitText(line);
  }
  if (event == "start_refused" || event == "start_called_off") {
    return RunText(line) + " did not start on worker " + Get(line, "worker") + ": " +
           Get(line, "reason");
  }
  if (event == "job_started") {
    return "the first run was started after a wait of " + Get(line, "waited_ms") + " ms";
  }
  if (event == "ownership_taken") {
    return "no owner placed the job until " + line.instance + " took ownership (epoch " +
           Get(line, "epoch") + ")";
  }
  if (event == "job_cancelled") {
    return "a caller cancelled the job";
  }
  if (event == "worker_silent") {
    return "worker " + Get(line, "worker") + " gave no answer";
  }
  if (event == "worker_life_began") {
    return "worker " + Get(line, "worker") + " started anew and lost its runs";
  }
  if (event == "worker_unlisted") {
    return "worker " + Get(line, "worker") + " left the list of workers";
  }
  return "the last line about the job is " + event;
}

}  // namespace clementineloom::ctl::trace
