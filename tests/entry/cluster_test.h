#pragma once

#include <gtest/gtest.h>

#include <cstddef>

#include "standin/standin_cluster.h"

namespace clementineloom::entry {

/// @brief Fixture for tests of simulated clusters.
class ClusterTest : public testing::Test {
 protected:
  // The instance that owns the workers; fails the test if there is none.
  static std::size_t Owner(const standin::StandInCluster& cluster) {
    const auto owner = cluster.OwnerIndex();
    EXPECT_TRUE(owner.has_value());
    return owner.value_or(0);
  }
};

}  // namespace clementineloom::entry
