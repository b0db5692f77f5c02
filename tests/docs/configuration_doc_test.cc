#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <string>
#include <vector>

#include "settings/cluster_keys.h"
#include "settings/daemon_fields.h"

namespace clementineloom::settings {
namespace {

class ConfigurationDocTest : public testing::Test {
 protected:
  // The rows of the table under a heading.
  [[nodiscard]] std::string Table(const std::string& heading) const {
    const std::size_t start = page_.find("\n## " + heading + "\n");
    if (start == std::string::npos) {
      return {};
    }
    const std::size_t rows = page_.find("|---", start);
    const std::size_t first = page_.find('\n', rows) + 1;
    return page_.substr(first, page_.find("\n\n", first) + 1 - first);
  }

  static std::string Rows(const std::vector<KeySpec>& specs) {
    std::string rows;
    for (const KeySpec& it : specs) {
      rows += MarkdownRow(it) + "\n";
    }
    return rows;
  }

  std::ifstream in_{std::string(SOURCE_DIR) + "/docs/configuration.md"};
  // The added newline terminates the last table with a blank line.
  std::string page_ = std::string(std::istreambuf_iterator<char>(in_), {}) + "\n";
};

// Guards against a page whose keys, units, defaults or ranges differ from the code.
TEST_F(ConfigurationDocTest, Tables_ForEveryObject_AreThoseOfTheCode) {
  EXPECT_EQ(Table("Both daemons"), Rows(SpecsOf(CommonFields())));
  EXPECT_EQ(Table("loom-gateway"), Rows(SpecsOf(GatewayFields())));
  EXPECT_EQ(Table("loom-scheduler"), Rows(SpecsOf(SchedulerFields())));
  EXPECT_EQ(Table("loom-entry"), Rows(SpecsOf(EntryFields())));
  EXPECT_EQ(Table("Cluster document"), Rows(ClusterKeys()));
  EXPECT_EQ(Table("data_centres"), Rows(DataCentreKeys()));
  EXPECT_EQ(Table("worker_shapes"), Rows(WorkerShapeKeys()));
  EXPECT_EQ(Table("teams"), Rows(TeamKeys()));
  EXPECT_EQ(Table("guarantees"), Rows(GuaranteeKeys()));
  EXPECT_EQ(Table("objective"), Rows(ObjectiveKeys()));
}

}  // namespace
}  // namespace clementineloom::settings
