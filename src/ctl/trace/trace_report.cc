#include "ctl/trace/trace_report.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <cstddef>
#include <cstdint>
#include <utility>

#include "ctl/table.h"
#include "ctl/trace/dropped_lines.h"
#include "logging/format_value.h"

namespace clementineloom::ctl::trace {
namespace {

namespace json = boost::json;

std::string FieldsText(const LogLine& line) {
  std::string text;
  for (const auto& [key, value] : line.fields) {
    text += (text.empty() ? "" : " ") + key + "=";
    logging::AppendValue(text, value);
  }
  return text;
}

json::object ToJson(const TimelineLine& it) {
  json::object fields;
  for (const auto& [key, value] : it.line.fields) {
    fields[key] = value;
  }
  return {{"time", it.line.time_text}, {"instance", it.line.instance}, {"level", it.line.level},
          {"event", it.line.event},    {"names_job", it.names_job},    {"fields", fields}};
}

json::object ToJson(const InstanceLog& log) {
  return {{"file", log.file}, {"lines", log.lines.size()}, {"skipped", log.skipped}};
}

Table TimelineTable(const std::vector<TimelineLine>& timeline, std::size_t deciding_line) {
  Table table{{" ", "TIME", "INSTANCE", "LEVEL", "EVENT", "FIELDS"}, {}};
  for (std::size_t n = 0; n < timeline.size(); ++n) {
    const LogLine& line = timeline[n].line;
    table.rows.push_back({n == deciding_line ? ">" : " ", line.time_text, line.instance, line.level,
                          line.event, FieldsText(line)});
  }
  return table;
}

std::string LogsText(const std::vector<InstanceLog>& logs) {
  std::size_t lines = 0;
  std::size_t skipped = 0;
  for (const InstanceLog& it : logs) {
    lines += it.lines.size();
    skipped += it.skipped;
  }
  const std::uint64_t dropped = DroppedLines(logs);
  return std::to_string(lines) + " lines of " + std::to_string(logs.size()) + " files read, " +
         std::to_string(skipped) + " skipped as cut off or unreadable" +
         (dropped > 0 ? ", " + std::to_string(dropped) + " dropped by the instances" : "");
}

}  // namespace

Report TraceReport(const std::string& job, const std::vector<InstanceLog>& logs,
                   const std::vector<TimelineLine>& timeline, const Verdict& verdict) {
  const LogLine& deciding = timeline[verdict.deciding_line].line;
  const std::string outcome(TraceOutcomeName(verdict.outcome));
  json::array lines;
  for (const TimelineLine& it : timeline) {
    lines.push_back(ToJson(it));
  }
  json::array files;
  for (const InstanceLog& it : logs) {
    files.push_back(ToJson(it));
  }
  Report report;
  report.data = json::object{{"job", job},
                             {"outcome", outcome},
                             {"time", deciding.time_text},
                             {"instance", deciding.instance},
                             {"event", deciding.event},
                             {"cause", verdict.cause},
                             {"deciding_line", verdict.deciding_line},
                             {"lines", std::move(lines)},
                             {"files", std::move(files)}};
  report.tables.push_back(TimelineTable(timeline, verdict.deciding_line));
  report.note = "job " + job + ": " + outcome + ", decided on " + deciding.instance + " at " +
                deciding.time_text + " (" + deciding.event + "): " + verdict.cause + "\n" +
                LogsText(logs);
  return report;
}

}  // namespace clementineloom::ctl::trace
