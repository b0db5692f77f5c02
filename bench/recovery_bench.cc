// Measures on simulated clusters, under virtual time, how long the system takes to recover from
// each kind of trouble.

#include <algorithm>
#include <cstdint>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <stdexcept>
#include <string>
#include <vector>

#include "logging/event_log.h"
#include "recovery/bound_check.h"
#include "recovery/recovery_report.h"
#include "recovery/recovery_run.h"
#include "recovery/troubles.h"
#include "support/checked.h"

namespace clementineloom::bench {
namespace {

// What to run and how to print it, from the command line.
struct Choice {
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 20;
  // Name of the only trouble to run; empty for all.
  std::string trouble;
  bool is_json = false;
  bool must_meet_bounds = false;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options("recovery_bench", "Measures recovery under virtual time");
  options.add_options()("first_seed", "seed of the first run",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("20"))(
      "trouble", "run only this trouble", cxxopts::value<std::string>()->default_value(""))(
      "log", "least level of the instances' log lines, on standard error",
      cxxopts::value<std::string>()->default_value("error"))("json", "print every run as JSON")(
      "check", "exit with 1 if a bound is missed");
  return options;
}

std::vector<TroubleRuns> RunTroubles(const Choice& choice) {
  std::vector<TroubleRuns> results;
  for (const NamedTrouble& it : AllTroubles()) {
    if (!choice.trouble.empty() && it.name != choice.trouble) {
      continue;
    }
    TroubleRuns result{it, {}};
    for (std::uint64_t n = 0; n < choice.seeds; ++n) {
      result.runs.push_back(RecoveryRun(it, choice.first_seed + n).Run());
    }
    results.push_back(std::move(result));
  }
  return results;
}

int Main(int argc, char** argv) {
  Choice choice;
  try {
    const cxxopts::ParseResult parsed = MakeOptions().parse(argc, argv);
    choice = {.first_seed = parsed["first_seed"].as<std::uint64_t>(),
              .seeds = parsed["seeds"].as<std::uint64_t>(),
              .trouble = parsed["trouble"].as<std::string>(),
              .is_json = parsed.count("json") > 0,
              .must_meet_bounds = parsed.count("check") > 0};
    if (const auto refusal = RefusalOf([&]() -> Result<void> {
          return logging::ConfigureLog(parsed["log"].as<std::string>(), "");
        })) {
      throw std::invalid_argument(refusal->detail);
    }
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << MakeOptions().help();
    return EXIT_FAILURE;
  }
  const std::vector<TroubleRuns> results = RunTroubles(choice);
  if (results.empty()) {
    std::cerr << "no such trouble: " << choice.trouble << '\n';
    return EXIT_FAILURE;
  }
  const std::vector<BoundResult> checked = CheckBounds(results);
  if (choice.is_json) {
    WriteJson(std::cout, results, checked);
  } else {
    std::cout << "instances=" << kRecoveryInstances << " workers=" << kRecoveryWorkers
              << " seeds=" << choice.first_seed << ".." << choice.first_seed + choice.seeds - 1
              << '\n';
    WriteTables(std::cout, results);
    WriteBounds(std::cout, checked);
  }
  const bool is_met = std::all_of(checked.begin(), checked.end(),
                                  [](const BoundResult& it) { return it.is_met(); });
  return is_met || !choice.must_meet_bounds ? EXIT_SUCCESS : EXIT_FAILURE;
}

}  // namespace
}  // namespace clementineloom::bench

int main(int argc, char** argv) { return clementineloom::bench::Main(argc, argv); }
