#include <gtest/gtest.h>

#include <cstddef>
#include <set>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

// More instances than those of the small sites, whose owner has been killed.
class ClaimHerdTest : public ClusterTest {
 protected:
  static constexpr int kInstances = 60;
  static constexpr int kWorkers = 2;
  static constexpr Milliseconds kRunTime{1'000};
  static constexpr const char* kTopic = "keyed.loom";

  // Number of ownerships that were recorded at or beyond an offset.
  std::size_t OwnersSince(std::uint64_t offset) {
    std::set<std::string> owners;
    const auto& records = cluster_.store.Records(kTopic);
    for (std::size_t n = offset; n < records.size(); ++n) {
      if (records[n].key == "owner") {
        owners.insert(records[n].value);
      }
    }
    return owners.size();
  }

  StandInCluster cluster_{kInstances, kWorkers, kRunTime};
};

// Guards against many instances that claim in the same moment and depose each other.
TEST_F(ClaimHerdTest, Owner_OfManyInstancesKilled_IsSucceededOnce) {
  const std::uint64_t offset = cluster_.store.End(kTopic);
  cluster_.Kill(Owner(cluster_));
  cluster_.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster_.OwnerCount(), 1);
  EXPECT_EQ(OwnersSince(offset), 1U);
}

// Guards against the same at the start of a system.
TEST_F(ClaimHerdTest, System_WithManyInstances_StartsWithOneOwner) {
  EXPECT_EQ(cluster_.OwnerCount(), 1);
  EXPECT_LE(OwnersSince(0), 2U);
}

// Guards against the same where claims take long at the store: while they wait there, others claim
// too, but do not depose the successor.
TEST_F(ClaimHerdTest, Owner_KilledWhileClaimsAreSlow_IsSucceededOnce) {
  const std::uint64_t offset = cluster_.store.End(kTopic);
  cluster_.store.DelayAppendsOf("owner", Milliseconds(1'200));
  cluster_.Kill(Owner(cluster_));
  cluster_.RunFor(Milliseconds(3'500));
  cluster_.store.DelayAppendsOf("owner", Milliseconds(0));
  cluster_.RunFor(Milliseconds(1'000));
  EXPECT_EQ(cluster_.OwnerCount(), 1);
  EXPECT_EQ(OwnersSince(offset), 1U);
}

}  // namespace
}  // namespace clementineloom::entry
