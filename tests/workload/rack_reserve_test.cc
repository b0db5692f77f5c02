#include "clementineloom/workload/detail/rack_reserve.h"

#include <gtest/gtest.h>

namespace clementineloom::workload::detail {
namespace {

class RackReserveTest : public testing::Test {};

// Guards against room that is kept where other work still runs for long.
TEST_F(RackReserveTest, Racks_WithTheLeastOtherWork_AreChosenFirst) {
  const RackReserve reserve = ChooseRackReserve({{"r1", 16, 16}, {"r2", 16, 4}, {"r3", 32, 0}}, 40);
  EXPECT_EQ(reserve, (RackReserve{{"r2", 8}, {"r3", 32}}));
}

// Guards against small racks that count as emptier than large ones of which a larger share is free.
TEST_F(RackReserveTest, Racks_OfDifferentSizes_AreComparedByShare) {
  const RackReserve reserve = ChooseRackReserve({{"large", 64, 8}, {"small", 8, 4}}, 8);
  EXPECT_EQ(reserve, (RackReserve{{"large", 8}}));
}

// Guards against an endless search where more is wanted than there is, and against racks without
// workers of the service.
TEST_F(RackReserveTest, Amount_BeyondAllRacks_TakesAllThatHaveAny) {
  EXPECT_EQ(ChooseRackReserve({{"r1", 8, 0}, {"r2", 0, 0}}, 100), (RackReserve{{"r1", 8}}));
  EXPECT_EQ(ChooseRackReserve({{"r1", 8, 0}}, 0), RackReserve{});
}

}  // namespace
}  // namespace clementineloom::workload::detail
