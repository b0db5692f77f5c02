#pragma once

#include <gtest/gtest.h>

#include "decision/cluster_recorder.h"

namespace clementineloom::testing_support {

/// @brief A test on a state of its own.
class ClusterFixture : public testing::Test, protected ClusterRecorder {};

}  // namespace clementineloom::testing_support
