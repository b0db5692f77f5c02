#include "ctl/team_use_table.h"

#include <cmath>
#include <map>
#include <string>
#include <string_view>

namespace clementineloom::ctl {
namespace {

constexpr std::string_view kPrefix = "loom_entry_team_";

// The numbers of a team by the rest of the metric's name.
using Numbers = std::map<std::string, double>;

std::string Whole(double number) { return std::to_string(std::lround(number)); }

double NumberOf(const Numbers& numbers, const std::string& name) {
  const auto it = numbers.find(name);
  return it == numbers.end() ? 0 : it->second;
}

// For example "12 of 40".
std::string UseOf(const Numbers& numbers, const std::string& resource) {
  const double quota = NumberOf(numbers, "quota_" + resource);
  return Whole(NumberOf(numbers, resource)) + " of " + (quota > 0 ? Whole(quota) : "-");
}

}  // namespace

Table TeamUseTable(std::span<const MetricSample> samples) {
  std::map<std::string, Numbers> teams;
  for (const MetricSample& it : samples) {
    if (it.name.starts_with(kPrefix)) {
      teams[it.label].emplace(it.name.substr(kPrefix.size()), it.number);
    }
  }
  Table table{{"TEAM", "WEIGHT", "ACCELERATORS", "CORES", "MEMORY MB", "WAITING JOBS"}, {}};
  for (const auto& [team, numbers] : teams) {
    table.rows.push_back({team, Whole(NumberOf(numbers, "weight")), UseOf(numbers, "accelerators"),
                          UseOf(numbers, "cores"), UseOf(numbers, "memory_mb"),
                          Whole(NumberOf(numbers, "waiting_jobs"))});
  }
  return table;
}

}  // namespace clementineloom::ctl
