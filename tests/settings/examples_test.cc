#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "settings/load_settings.h"

namespace clementineloom::settings {
namespace {

class ExamplesTest : public testing::TestWithParam<std::string> {
 protected:
  [[nodiscard]] static std::string File(const std::string& name) {
    return std::string(SOURCE_DIR) + "/examples/" + GetParam() + "/" + name;
  }

  static std::string Text(const std::vector<Problem>& problems) {
    std::string text;
    for (const Problem& it : problems) {
      text += ToText(it) + "\n";
    }
    return text;
  }
};

// Guards against examples that a change of keys or ranges has made invalid.
TEST_P(ExamplesTest, Files_OfOneUser_HaveNoProblem) {
  EXPECT_EQ(Text(CheckGatewaySettings(File("gateway.json")).problems), "");
  EXPECT_EQ(Text(CheckSchedulerSettings(File("scheduler.json")).problems), "");
  EXPECT_EQ(Text(CheckClusterDocument(File("cluster.json")).problems), "");
}

// Guards against settings of an instance outside the region and data centres of its cluster.
TEST_P(ExamplesTest, Instance_OfOneUser_BelongsToItsCluster) {
  const ClusterDocument cluster = CheckClusterDocument(File("cluster.json")).value;
  const GatewaySettings gateway = CheckGatewaySettings(File("gateway.json")).value;
  const SchedulerSettings scheduler = CheckSchedulerSettings(File("scheduler.json")).value;
  EXPECT_EQ(gateway.common.region, cluster.region);
  EXPECT_EQ(gateway.common.data_centre, cluster.data_centres.front().name());
  EXPECT_EQ(gateway.scheduler_rpc, scheduler.rpc);
}

INSTANTIATE_TEST_SUITE_P(Users, ExamplesTest, testing::Values("cooperative", "treuil-sahel"),
                         [](const auto& info) {
                           return info.param == "cooperative" ? "Cooperative" : "TreuilSahel";
                         });

}  // namespace
}  // namespace clementineloom::settings
