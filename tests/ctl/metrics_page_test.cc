#include "ctl/metrics_page.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "ctl/team_use_table.h"

namespace clementineloom::ctl {
namespace {

class MetricsPageTest : public testing::Test {};

// Guards against series that are lost or read wrongly, and against comments that count as series.
TEST_F(MetricsPageTest, Page_WithSeriesAndComments_IsReadWhole) {
  const std::vector<MetricSample> expected{{"a_total", "x \"y\"", 2}, {"b", "", 1.5}};
  EXPECT_EQ(ParseMetrics("# TYPE a_total counter\na_total{k=\"x \\\"y\\\"\"} 2\nb 1.5\n"),
            expected);
}

// Guards against a page that is cut off, or is no metrics page.
TEST_F(MetricsPageTest, Page_WithLinesThatAreNone_LeavesThemOut) {
  EXPECT_TRUE(ParseMetrics("<html>\na{k=\"x\n\nb one\n").empty());
}

// Guards against teams without a limit that look as if nothing were allowed.
TEST_F(MetricsPageTest, TeamUseTable_OfATeamWithoutAQuota_ShowsADash) {
  const std::vector<MetricSample> samples{{"loom_entry_team_weight", "blue", 3},
                                          {"loom_entry_team_accelerators", "blue", 12},
                                          {"loom_entry_team_quota_accelerators", "blue", 40},
                                          {"loom_entry_team_cores", "blue", 8},
                                          {"loom_entry_team_waiting_jobs", "blue", 2},
                                          {"loom_entry_runs", "", 7}};
  const Table table = TeamUseTable(samples);
  const std::vector<std::string> row{"blue", "3", "12 of 40", "8 of -", "0 of -", "2"};
  ASSERT_EQ(table.rows.size(), 1U);
  EXPECT_EQ(table.rows.front(), row);
}

}  // namespace
}  // namespace clementineloom::ctl
