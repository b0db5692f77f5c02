#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>
#include <string>

#include "entry/metric_specs.h"
#include "entry/request_observer.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

class MetricsDocTest : public testing::Test {
 protected:
  static std::string ReadPage() {
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/metrics.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
};

// Guards against a metric of the daemon that is not documented.
TEST_F(MetricsDocTest, Page_ForEveryMetricOfTheEntryDaemon_HasItsRow) {
  const std::string page = ReadPage();
  for (const MetricSpec& it : kMetricSpecs) {
    const std::string row = "| `" + std::string(it.name) + "` | " + std::string(it.type) + " | " +
                            std::string(it.label) + " | " + std::string(it.meaning) + " |";
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

constexpr const char* kConfigWithLimits = R"({"version":2,"routes":[
  {"name":"urgent","host":"h","pathPrefix":"/urgent/","service":"inspect","priority":0}],
  "tenants":[{"name":"t","apiKeys":["key"],"weight":2,"cap":{"cpu":8000,"memMb":64,"gpus":6}}]})";

// Guards against a metric that the daemon exposes but kMetricSpecs lacks.
TEST_F(MetricsDocTest, Metrics_OfARunningInstance_AreAllInTheTable) {
  standin::StandInCluster cluster(2, 2, workload::Milliseconds(1'000));
  // Teams have gauges only where they have limits.
  cluster.store.Put("keyed.op", "config", kConfigWithLimits);
  cluster.Submit(0, "00000000000000a1", R"([{"count":1,"cpu":1000,"gpus":2}])");
  cluster.store.Refuse(true);
  cluster.Submit(0, "00000000000000a2", R"([{"count":1,"cpu":1000,"gpus":2}])");
  cluster.store.Refuse(false);
  cluster.RunFor(workload::Milliseconds(4'000));
  metrics::MetricRegistry server_metrics;
  RequestObserver requests(server_metrics);
  const net::ServerObserver observer = requests.ForServer();
  observer.on_read();
  observer.on_end({"GET", "/urgent/", net::RequestOutcome::kAnswered, {}});
  std::set<std::string> known;
  for (const MetricSpec& it : kMetricSpecs) {
    known.insert(std::string(it.name));
  }
  std::size_t shown = 0;
  for (const std::string& text :
       {cluster.Metrics(0), cluster.Metrics(1), server_metrics.Expose()}) {
    std::istringstream page(text);
    std::string word;
    while (page >> word) {
      if (word == "TYPE") {
        page >> word;
        ++shown;
        EXPECT_TRUE(known.contains(word)) << word;
      }
    }
  }
  EXPECT_GE(shown, kMetricSpecs.size());
}

}  // namespace
}  // namespace clementineloom::entry
