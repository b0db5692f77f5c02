#pragma once

#include <gtest/gtest.h>

#include "decision/cluster_recorder.h"

namespace clementineloom::testing_support {

/// @brief Fixture that gives each test a ClusterState of its own.
class ClusterFixture : public testing::Test, protected ClusterRecorder {};

}  // namespace clementineloom::testing_support
