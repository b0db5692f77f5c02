#include <gtest/gtest.h>

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

// A cluster whose store takes long for each append of the owner, while jobs arrive and end.
class SlowStoreTest : public ClusterTest, public testing::WithParamInterface<int> {
 protected:
  static constexpr Milliseconds kRunTime{300};
  static constexpr Milliseconds kStep{50};

  // Submits a job at every step. Returns for how many of the steps the instance was not the owner.
  int StepsWithoutOwner(std::size_t owner, Milliseconds span) {
    int steps = 0;
    for (Milliseconds passed{0}; passed < span; passed += kStep) {
      (void)cluster_.SendJob(owner == 0 ? 1 : 0, NextJob(), [](const net::HttpResponse&) {});
      cluster_.RunFor(kStep);
      steps += cluster_.IsOwner(owner) ? 0 : 1;
    }
    return steps;
  }

  StandInCluster cluster_{4, 4, kRunTime};

 private:
  std::string NextJob() {
    constexpr std::size_t kDigits = 16;
    std::string digits = std::to_string(++last_job_);
    return std::string(kDigits - digits.size(), '0') + digits;
  }

  std::uint32_t last_job_ = 0;
};

// Guards against peers that take a living owner for dead because its heartbeats wait behind its
// other records, which they see: nobody places tasks until the next owner has attached the workers.
TEST_P(SlowStoreTest, Owner_WhoseAppendsAreSlow_StaysTheOwner) {
  cluster_.RunFor(Milliseconds(1'000));
  const std::size_t owner = Owner(cluster_);
  cluster_.store.DelayAppendsOf("owner", Milliseconds(GetParam()));
  EXPECT_EQ(StepsWithoutOwner(owner, Milliseconds(20'000)), 0);
}

INSTANTIATE_TEST_SUITE_P(AppendTimes, SlowStoreTest, testing::Values(300, 500, 700, 900),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace clementineloom::entry
