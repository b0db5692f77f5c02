#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>

#include "entry/ownership_driver.h"
#include "entry/ownership_scenario.h"

namespace clementineloom::entry {
namespace {

class OwnershipPropertyTest : public testing::Test {
 protected:
  // CLEMENTINELOOM_PROPERTY_RUNS sets another number of runs.
  static constexpr const char* kDefaultRuns = "300";
  static constexpr const char* kSeed = "20261205";

  static void SetUpTestSuite() {
    const char* runs = std::getenv("CLEMENTINELOOM_PROPERTY_RUNS");
    const std::string params =
        std::string("seed=") + kSeed + " max_success=" + (runs ? runs : kDefaultRuns);
    // RapidCheck reads RC_PARAMS once, before the first property; a value that is already set is
    // kept.
    constexpr int kKeepExisting = 0;
    (void)setenv("RC_PARAMS", params.c_str(), kKeepExisting);
  }
};

// Guards against any order of faults that lets a task run twice at a time or again after its end,
// overfills a worker, starts what was refused or cancelled, or loses an accepted job.
TEST_F(OwnershipPropertyTest, Cluster_UnderRandomFaults_KeepsRulesOfOwnershipAndLeases) {
  const bool holds = rc::check("the rules hold", [](const OwnershipScenario& scenario) {
    if (const auto violation = OwnershipDriver(scenario).Run()) {
      RC_FAIL(*violation);
    }
  });
  EXPECT_TRUE(holds);
}

}  // namespace
}  // namespace clementineloom::entry
