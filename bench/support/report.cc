#include "support/report.h"

#include <cstdio>
#include <functional>
#include <string>
#include <string_view>

#include "support/size_class.h"
#include "support/spread.h"

namespace clementineloom::bench {
namespace {

constexpr double kMaxP95Ratio = 0.6;
constexpr double kMaxFragmentationRatio = 0.5;
constexpr double kMinWorkRatio = 1.25;

using Figure = std::function<double(const RunFigures&)>;

std::string Text(const Spread& spread) {
  char buf[96];
  (void)std::snprintf(buf, sizeof buf, "%9.3f [%9.3f, %9.3f]", spread.mean, spread.least,
                      spread.greatest);
  return buf;
}

Spread SpreadOf(const PolicyRuns& policy, const Figure& figure) {
  std::vector<double> values;
  for (const RunFigures& it : policy.runs) {
    values.push_back(figure(it));
  }
  return Spread::Of(values);
}

Spread RatioSpread(const PolicyRuns& policy, const PolicyRuns& base, const Figure& figure) {
  std::vector<double> values;
  for (std::size_t n = 0; n < policy.runs.size(); ++n) {
    const double divisor = figure(base.runs[n]);
    values.push_back(divisor == 0 ? 0 : figure(policy.runs[n]) / divisor);
  }
  return Spread::Of(values);
}

void WriteFigure(std::ostream& out, const std::vector<PolicyRuns>& policies, std::string_view name,
                 const Figure& figure) {
  for (const PolicyRuns& it : policies) {
    char buf[96];
    (void)std::snprintf(buf, sizeof buf, "%-34s %-24s ", std::string(name).c_str(),
                        it.policy.c_str());
    out << buf << Text(SpreadOf(it, figure)) << '\n';
  }
}

using CompletionOf = std::function<const CompletionFigures&(const RunFigures&)>;

void WriteCompletion(std::ostream& out, const std::vector<PolicyRuns>& policies,
                     const std::string& size, const CompletionOf& of) {
  const auto write = [&](const char* name, double CompletionFigures::*member) {
    WriteFigure(out, policies, "completion_minutes." + size + "." + name,
                [&](const RunFigures& it) { return of(it).*member; });
  };
  write("mean", &CompletionFigures::mean);
  write("p50", &CompletionFigures::p50);
  write("p95", &CompletionFigures::p95);
  write("p99", &CompletionFigures::p99);
}

void WriteCounts(std::ostream& out, const std::vector<PolicyRuns>& policies) {
  const auto write = [&](const char* name, std::uint64_t RunFigures::*member) {
    WriteFigure(out, policies, name,
                [&](const RunFigures& it) { return static_cast<double>(it.*member); });
  };
  write("unreclaimable", &RunFigures::unreclaimable);
  write("unreclaimable_reduced", &RunFigures::unreclaimable_reduced);
  write("broken_by_placement", &RunFigures::broken_by_placement);
  write("broken_by_event", &RunFigures::broken_by_event);
  write("reclaim_undecided", &RunFigures::reclaim_undecided);
  write("reclaim_checks", &RunFigures::reclaim_checks);
  write("refused", &RunFigures::refused);
  write("failed", &RunFigures::failed);
  write("unfinished", &RunFigures::unfinished);
  write("records", &RunFigures::records);
  write("void_records", &RunFigures::void_records);
  write("stops", &RunFigures::stops);
}

void WriteTarget(std::ostream& out, const PolicyRuns& policy, std::string_view name,
                 const Spread& ratio, std::string_view bound, bool is_met) {
  char buf[96];
  (void)std::snprintf(buf, sizeof buf, "%-34s %-24s ", std::string(name).c_str(),
                      policy.policy.c_str());
  out << buf << Text(ratio) << "  target " << bound << (is_met ? "  reached" : "  missed") << '\n';
}

}  // namespace

void WriteFigures(std::ostream& out, const std::vector<PolicyRuns>& policies) {
  WriteCompletion(out, policies, "all",
                  [](const RunFigures& it) -> const CompletionFigures& { return it.all; });
  for (std::size_t n = 0; n < kSizeClasses; ++n) {
    WriteCompletion(
        out, policies, std::string(SizeClassName(static_cast<SizeClass>(n))),
        [n](const RunFigures& it) -> const CompletionFigures& { return it.by_size[n]; });
  }
  WriteFigure(out, policies, "fragmentation",
              [](const RunFigures& it) { return it.fragmentation; });
  WriteFigure(out, policies, "worker_fragmentation",
              [](const RunFigures& it) { return it.worker_fragmentation; });
  WriteFigure(out, policies, "stranded_capacity",
              [](const RunFigures& it) { return it.stranded_capacity; });
  WriteFigure(out, policies, "largest_placeable",
              [](const RunFigures& it) { return it.largest_placeable; });
  WriteFigure(out, policies, "work_in_change_hours",
              [](const RunFigures& it) { return it.work_in_change; });
  WriteCounts(out, policies);
}

void WriteRatios(std::ostream& out, const std::vector<PolicyRuns>& policies) {
  const PolicyRuns& base = policies.front();
  for (std::size_t n = 1; n < policies.size(); ++n) {
    const PolicyRuns& it = policies[n];
    const Spread p95 = RatioSpread(it, base, [](const RunFigures& run) { return run.all.p95; });
    const Spread fragmentation =
        RatioSpread(it, base, [](const RunFigures& run) { return run.fragmentation; });
    const Spread worker_fragmentation =
        RatioSpread(it, base, [](const RunFigures& run) { return run.worker_fragmentation; });
    const Spread work =
        RatioSpread(it, base, [](const RunFigures& run) { return run.work_in_change; });
    const Spread unreclaimable = SpreadOf(it, [](const RunFigures& run) {
      return static_cast<double>(run.unreclaimable + run.unreclaimable_reduced);
    });
    WriteTarget(out, it, "ratio.p95_completion", p95, "<= 0.6", p95.mean <= kMaxP95Ratio);
    WriteTarget(out, it, "ratio.fragmentation", fragmentation, "<= 0.5",
                fragmentation.mean <= kMaxFragmentationRatio);
    WriteTarget(out, it, "ratio.worker_fragmentation", worker_fragmentation, "<= 0.5",
                worker_fragmentation.mean <= kMaxFragmentationRatio);
    WriteTarget(out, it, "ratio.work_in_change", work, ">= 1.25", work.mean >= kMinWorkRatio);
    WriteTarget(out, it, "unreclaimable", unreclaimable, "== 0", unreclaimable.greatest == 0);
  }
}

}  // namespace clementineloom::bench
