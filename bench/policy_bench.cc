// Compares DefaultDecisionEngine with first-fit FIFO on random workloads under virtual time.

#include <cstdint>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>
#include <vector>

#include "support/deployment.h"
#include "support/named_policy.h"
#include "support/report.h"
#include "support/workload.h"

namespace clementineloom::bench {
namespace {

// The extent of the runs, from the command line.
struct Size {
  std::uint64_t first_seed = 1;
  std::uint64_t seeds = 10;
  int hours = 8;
};

cxxopts::Options MakeOptions() {
  cxxopts::Options options("policy_bench", "Compares placement policies under virtual time");
  options.add_options()("first_seed", "seed of the first run",
                        cxxopts::value<std::uint64_t>()->default_value("1"))(
      "seeds", "number of seeds", cxxopts::value<std::uint64_t>()->default_value("10"))(
      "hours", "time over which jobs arrive", cxxopts::value<int>()->default_value("8"));
  return options;
}

void RunDeployment(const Deployment& deployment, const Size& size) {
  std::cout << "deployment=" << deployment.name << " workers=" << deployment.workers.size()
            << " teams=" << deployment.teams.size() << " hours=" << size.hours
            << " seeds=" << size.first_seed << ".." << size.first_seed + size.seeds - 1
            << " build=" << BUILD_TYPE << '\n';
  std::vector<PolicyRuns> results;
  for (const NamedPolicy& policy : ComparedPolicies()) {
    PolicyRuns result{.policy = policy.name, .runs = {}};
    for (std::uint64_t n = 0; n < size.seeds; ++n) {
      const Workload workload =
          MakeWorkload(deployment, size.first_seed + n, std::chrono::hours(size.hours));
      result.runs.push_back(policy.run(deployment, workload));
    }
    results.push_back(std::move(result));
  }
  WriteFigures(std::cout, results);
  WriteRatios(std::cout, results);
}

int Main(int argc, char** argv) {
  Size size;
  try {
    const cxxopts::ParseResult parsed = MakeOptions().parse(argc, argv);
    size = {.first_seed = parsed["first_seed"].as<std::uint64_t>(),
            .seeds = parsed["seeds"].as<std::uint64_t>(),
            .hours = parsed["hours"].as<int>()};
  } catch (const std::exception& error) {
    std::cerr << error.what() << '\n' << MakeOptions().help();
    return EXIT_FAILURE;
  }
  RunDeployment(CooperativeDeployment(), size);
  RunDeployment(TreuilSahelDeployment(), size);
  return EXIT_SUCCESS;
}

}  // namespace
}  // namespace clementineloom::bench

int main(int argc, char** argv) { return clementineloom::bench::Main(argc, argv); }
