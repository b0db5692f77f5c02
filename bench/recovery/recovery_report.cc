#include "recovery/recovery_report.h"

#include <array>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <cstdio>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "recovery/time_spread.h"

namespace clementineloom::bench {
namespace {

namespace json = boost::json;

using Time = std::optional<std::int64_t>;
using Figure = std::function<Time(const RecoveryFigures&)>;

struct Column {
  const char* name;
  Figure figure;
};

std::string Text(const Time& time) { return time ? std::to_string(*time) : "-"; }

Time Difference(const Time& later, const Time& earlier) {
  return later && earlier ? Time(*later - *earlier) : std::nullopt;
}

std::vector<std::int64_t> ValuesOf(const TroubleRuns& result, const Figure& figure) {
  std::vector<std::int64_t> values;
  for (const RecoveryFigures& it : result.runs) {
    if (const Time value = figure(it)) {
      values.push_back(*value);
    }
  }
  return values;
}

std::int64_t SumOf(const TroubleRuns& result, const Figure& figure) {
  std::int64_t sum = 0;
  for (const std::int64_t it : ValuesOf(result, figure)) {
    sum += it;
  }
  return sum;
}

void WriteSpread(std::ostream& out, const TroubleRuns& result, const Column& column) {
  const TimeSpread spread = TimeSpread::Of(ValuesOf(result, column.figure));
  char buf[48];
  (void)std::snprintf(buf, sizeof buf, " %14s",
                      (Text(spread.p50_ms) + "/" + Text(spread.max_ms)).c_str());
  out << buf;
}

void WriteCell(std::ostream& out, const std::string& text) {
  char buf[48];
  (void)std::snprintf(buf, sizeof buf, " %11s", text.c_str());
  out << buf;
}

void WriteName(std::ostream& out, const std::string& name, const std::string& origin) {
  char buf[64];
  (void)std::snprintf(buf, sizeof buf, "%-24s %-6s", name.c_str(), origin.c_str());
  out << buf;
}

void WriteHeading(std::ostream& out, const char* name, std::span<const Column> columns) {
  WriteName(out, name, "from");
  for (const Column& it : columns) {
    char buf[48];
    (void)std::snprintf(buf, sizeof buf, " %14s", it.name);
    out << buf;
  }
}

const char* OriginOf(const NamedTrouble& trouble) {
  return trouble.is_measured_from_end ? "end" : "start";
}

// In how many runs a figure was measured.
std::string CountText(const TroubleRuns& result, const Figure& figure) {
  return std::to_string(ValuesOf(result, figure).size()) + "/" + std::to_string(result.runs.size());
}

void WriteTimes(std::ostream& out, const std::vector<TroubleRuns>& results) {
  const std::array<Column, 5> columns{{{"t_detect", &RecoveryFigures::detect_ms},
                                       {"t_claim", &RecoveryFigures::claim_ms},
                                       {"t_first", &RecoveryFigures::first_start_ms},
                                       {"t_all", &RecoveryFigures::all_ms},
                                       {"start_gap", &RecoveryFigures::start_gap_ms}}};
  WriteHeading(out, "trouble (ms, p50/max)", columns);
  for (const char* it : {"new_owner", "recovered", "begun_anew", "run_twice"}) {
    WriteCell(out, it);
  }
  out << '\n';
  for (const TroubleRuns& result : results) {
    WriteName(out, result.trouble.name, OriginOf(result.trouble));
    for (const Column& it : columns) {
      WriteSpread(out, result, it);
    }
    WriteCell(out, CountText(result, &RecoveryFigures::claim_ms));
    WriteCell(out, CountText(result, &RecoveryFigures::all_ms));
    WriteCell(out, std::to_string(SumOf(result, &RecoveryFigures::begun_anew)));
    WriteCell(out, std::to_string(SumOf(result, &RecoveryFigures::run_twice)));
    out << '\n';
  }
}

void WriteSteps(std::ostream& out, const std::vector<TroubleRuns>& results) {
  const std::array<Column, 4> columns{
      {{"to_detect", &RecoveryFigures::detect_ms},
       {"to_claim",
        [](const RecoveryFigures& it) { return Difference(it.claim_ms, it.detect_ms); }},
       {"to_first",
        [](const RecoveryFigures& it) {
          return it.claim_ms ? Difference(it.first_start_ms, it.claim_ms) : it.first_start_ms;
        }},
       {"to_all",
        [](const RecoveryFigures& it) { return Difference(it.all_ms, it.first_start_ms); }}}};
  WriteHeading(out, "step (ms, p50/max)", columns);
  out << '\n';
  for (const TroubleRuns& result : results) {
    WriteName(out, result.trouble.name, OriginOf(result.trouble));
    for (const Column& it : columns) {
      WriteSpread(out, result, it);
    }
    out << '\n';
  }
}

json::value Json(const Time& time) { return time ? json::value(*time) : json::value(nullptr); }

json::object Json(const RecoveryFigures& run) {
  return {{"seed", run.seed},
          {"detect_ms", Json(run.detect_ms)},
          {"claim_ms", Json(run.claim_ms)},
          {"first_start_ms", Json(run.first_start_ms)},
          {"all_ms", Json(run.all_ms)},
          {"start_gap_ms", run.start_gap_ms},
          {"begun_anew", run.begun_anew},
          {"run_twice", run.run_twice}};
}

}  // namespace

void WriteTables(std::ostream& out, const std::vector<TroubleRuns>& results) {
  WriteTimes(out, results);
  out << '\n';
  WriteSteps(out, results);
  out << '\n';
}

void WriteBounds(std::ostream& out, const std::vector<BoundResult>& checked) {
  for (const BoundResult& it : checked) {
    char buf[128];
    (void)std::snprintf(buf, sizeof buf, "%-24s %-15s worst %6s  bound %6lld  %s\n",
                        it.trouble.c_str(), it.figure.c_str(), Text(it.worst).c_str(),
                        static_cast<long long>(it.bound), it.is_met() ? "reached" : "missed");
    out << buf;
  }
}

void WriteJson(std::ostream& out, const std::vector<TroubleRuns>& results,
               const std::vector<BoundResult>& checked) {
  json::array troubles;
  for (const TroubleRuns& it : results) {
    json::array runs;
    for (const RecoveryFigures& run : it.runs) {
      runs.push_back(Json(run));
    }
    troubles.push_back(json::object{{"name", it.trouble.name},
                                    {"measured_from", OriginOf(it.trouble)},
                                    {"runs", std::move(runs)}});
  }
  json::array bounds;
  for (const BoundResult& it : checked) {
    bounds.push_back(json::object{{"trouble", it.trouble},
                                  {"figure", it.figure},
                                  {"bound", it.bound},
                                  {"worst", Json(it.worst)},
                                  {"is_met", it.is_met()}});
  }
  out << json::serialize(
             json::object{{"troubles", std::move(troubles)}, {"bounds", std::move(bounds)}})
      << '\n';
}

}  // namespace clementineloom::bench
