#include "ctl/verbs/trace.h"

#include <cstdint>
#include <fstream>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "codec/job_id_text.h"
#include "ctl/trace/decide.h"
#include "ctl/trace/dropped_lines.h"
#include "ctl/trace/parse_instance_log.h"
#include "ctl/trace/select_lines.h"
#include "ctl/trace/trace_report.h"

namespace clementineloom::ctl {
namespace {

using trace::InstanceLog;

// The files of --logs. Those after its first one are arguments to the parser.
std::vector<std::string> LogFiles(const Invocation& invocation) {
  std::vector<std::string> files;
  if (invocation.options.count("logs") > 0) {
    files = invocation.options["logs"].as<std::vector<std::string>>();
  }
  files.insert(files.end(), invocation.arguments.begin() + 1, invocation.arguments.end());
  return files;
}

Result<InstanceLog> ReadLog(const std::string& file) {
  std::ifstream in(file, std::ios::binary);
  const std::string text{std::istreambuf_iterator<char>(in), {}};
  if (!in.is_open() || in.bad()) {
    return Refuse(ResultCode::kFileUnreadable, file);
  }
  return trace::ParseInstanceLog(file, text);
}

Result<Report> RefuseUnknownJob(const std::string& job, const std::vector<InstanceLog>& logs) {
  std::string detail = "no line of the logs names job " + job + "; the instances left out " +
                       std::to_string(trace::LeftOutLines(logs)) + " lines of refusals";
  if (const std::uint64_t dropped = trace::DroppedLines(logs); dropped > 0) {
    detail += " and dropped " + std::to_string(dropped) + " lines";
  }
  return Refuse(ResultCode::kUnknownJob, detail);
}

Result<Report> Run(const Invocation& invocation) {
  const std::string& job = invocation.arguments.front();
  if (!codec::IsJobIdText(job)) {
    return Refuse(ResultCode::kUsage, job + " is no job id of 16 hexadecimal digits");
  }
  const std::vector<std::string> files = LogFiles(invocation);
  if (files.empty()) {
    return Refuse(ResultCode::kUsage, "--logs FILE... expected");
  }
  std::vector<InstanceLog> logs;
  for (const std::string& it : files) {
    BOOST_LEAF_AUTO(log, ReadLog(it));
    logs.push_back(std::move(log));
  }
  const auto timeline = trace::SelectLines(job, logs);
  if (timeline.empty()) {
    return RefuseUnknownJob(job, logs);
  }
  return trace::TraceReport(job, logs, timeline, trace::Decide(timeline));
}

void AddOptions(cxxopts::Options& options) {
  options.add_options()("logs", "log files of entry instances, in any order",
                        cxxopts::value<std::vector<std::string>>());
}

}  // namespace

Verb TraceVerb() {
  return {.name = "trace",
          .arguments = "ID --logs FILE...",
          .summary = "Explains from logs of entry instances what became of a job",
          .examples =
              "  loomctl trace f3227592ce742bda --logs edge-1.log edge-2.log edge-3.log\n"
              "  loomctl trace f3227592ce742bda --logs logs/*.log --json\n",
          .min_arguments = 1,
          .max_arguments = 10'000,
          .add_options = AddOptions,
          .run = Run};
}

}  // namespace clementineloom::ctl
