#include "clementineloom/workload/detail/service_use.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace clementineloom::workload::detail {
namespace {

class ServiceUseTest : public testing::Test {
 protected:
  // One worker of a hundred units of each resource.
  static ServiceUse UseOf(std::int64_t cpu, std::int64_t memory, std::int64_t accelerators) {
    PoolWorker worker;
    worker.info.service = "inspect";
    worker.info.capacity = {100, 100, 100};
    worker.used = {cpu, memory, accelerators};
    return ServiceUse::Of({{"w", worker}});
  }
  static bool IsBusy(std::int64_t cpu, std::int64_t memory, std::int64_t accelerators) {
    return UseOf(cpu, memory, accelerators).IsBusy("inspect");
  }
};

// Guards against work that waits by choice in a service of which half is in use or less.
TEST_F(ServiceUseTest, Service_HalfInUse_IsNotBusy) { EXPECT_FALSE(IsBusy(50, 50, 50)); }

// Guards against work that leaves its data although the service is nearly full.
TEST_F(ServiceUseTest, Service_TwoThirdsInUse_IsBusy) { EXPECT_TRUE(IsBusy(66, 66, 66)); }

// Guards against a service that seems busy because of the resource that runs out first.
TEST_F(ServiceUseTest, Service_WithOneIdleResource_IsNotBusy) {
  EXPECT_FALSE(IsBusy(10, 100, 100));
  EXPECT_FALSE(IsBusy(100, 10, 100));
  EXPECT_FALSE(IsBusy(100, 100, 10));
}

// Guards against reserved accelerators that are given up while nearly all others are in use.
TEST_F(ServiceUseTest, Accelerators_MostlyInUse_AreBusyWhateverElseIsIdle) {
  EXPECT_TRUE(UseOf(10, 10, 90).HasBusyAccelerators("inspect"));
  EXPECT_FALSE(UseOf(90, 90, 10).HasBusyAccelerators("inspect"));
}

}  // namespace
}  // namespace clementineloom::workload::detail
