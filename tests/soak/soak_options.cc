#include "soak/soak_options.h"

#include <algorithm>
#include <array>
#include <cxxopts.hpp>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "soak/fault_kind_names.h"

namespace clementineloom::soak {
namespace {

std::set<FaultKind> ParseKinds(const std::vector<std::string>& names) {
  std::set<FaultKind> kinds;
  for (const std::string& it : names) {
    const auto group = FaultKindsNamed(it);
    if (group.empty()) {
      throw std::invalid_argument("unknown kind of fault: " + it);
    }
    kinds.insert(group.begin(), group.end());
  }
  return kinds;
}

constexpr std::array kJobMixes{std::pair{JobMix::kPlain, "plain"},
                               std::pair{JobMix::kShapes, "shapes"}};
constexpr std::array kStillJudgings{std::pair{StillJudging::kNever, "never"},
                                    std::pair{StillJudging::kCalm, "calm"},
                                    std::pair{StillJudging::kTraffic, "traffic"}};

// The value of a name in one of these tables.
template <class Table>
auto ValueNamed(const Table& table, const std::string& name) {
  const auto it = std::ranges::find(table, name, [](const auto& row) { return row.second; });
  if (it == table.end()) {
    throw std::invalid_argument("unknown value: " + name);
  }
  return it->first;
}

template <class Table, class Value>
std::string NameIn(const Table& table, Value value) {
  return std::ranges::find(table, value, [](const auto& row) { return row.first; })->second;
}

cxxopts::Options CommandLine() {
  cxxopts::Options options("loom-soak", "Runs loom-entry as real processes under faults");
  options.add_options()("entry", "path of loom-entry", cxxopts::value<std::string>())(
      "template", "template of the settings of loom-entry",
      cxxopts::value<std::string>()->default_value("deploy/entry_settings.json"))(
      "seed", "seed of faults and callers", cxxopts::value<std::uint64_t>()->default_value("1"))(
      "instances", "instances of loom-entry", cxxopts::value<std::size_t>()->default_value("9"))(
      "workers", "stand-in workers", cxxopts::value<std::size_t>()->default_value("48"))(
      "accelerators", "accelerators of each worker",
      cxxopts::value<std::int64_t>()->default_value("2"))(
      "seconds", "time with faults", cxxopts::value<int>()->default_value("60"))(
      "calm", "time without faults at the end", cxxopts::value<int>()->default_value("25"))(
      "rate", "jobs per second", cxxopts::value<double>()->default_value("8"))(
      "faults", "kinds of faults or groups of them, separated by commas",
      cxxopts::value<std::vector<std::string>>()->default_value("all"))(
      "jobs", "plain, or shapes: racks, wide gangs, labels, three priorities",
      cxxopts::value<std::string>()->default_value("plain"))(
      "still", "when jobs may not stand still beside room: never, calm or traffic",
      cxxopts::value<std::string>()->default_value("calm"))(
      "keep", "folder for logs", cxxopts::value<std::string>()->default_value(""));
  return options;
}

}  // namespace

SoakOptions SoakOptions::Parse(int argc, char** argv) {
  const auto parsed = CommandLine().parse(argc, argv);
  SoakOptions options;
  options.entry = parsed["entry"].as<std::string>();
  options.settings_template = parsed["template"].as<std::string>();
  options.seed = parsed["seed"].as<std::uint64_t>();
  options.instances = parsed["instances"].as<std::size_t>();
  options.workers = parsed["workers"].as<std::size_t>();
  options.accelerators_per_worker = parsed["accelerators"].as<std::int64_t>();
  options.length = std::chrono::seconds(parsed["seconds"].as<int>());
  options.calm = std::chrono::seconds(parsed["calm"].as<int>());
  options.rate = parsed["rate"].as<double>();
  options.faults = ParseKinds(parsed["faults"].as<std::vector<std::string>>());
  options.jobs = ValueNamed(kJobMixes, parsed["jobs"].as<std::string>());
  options.still = ValueNamed(kStillJudgings, parsed["still"].as<std::string>());
  options.keep = parsed["keep"].as<std::string>();
  if (options.instances == 0 || options.workers == 0) {
    throw std::invalid_argument("at least one instance and one worker are needed");
  }
  return options;
}

std::string SoakOptions::Text() const {
  std::ostringstream text;
  text << "--seed " << seed << " --instances " << instances << " --workers " << workers
       << " --accelerators " << accelerators_per_worker << " --seconds " << length.count()
       << " --calm " << calm.count() << " --rate " << rate << " --jobs " << NameIn(kJobMixes, jobs)
       << " --still " << NameIn(kStillJudgings, still) << " --faults ";
  const char* separator = "";
  for (const FaultKind it : faults) {
    text << separator << FaultKindName(it);
    separator = ",";
  }
  return text.str();
}

}  // namespace clementineloom::soak
