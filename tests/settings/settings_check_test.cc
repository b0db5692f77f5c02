#include <gtest/gtest.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "settings/load_settings.h"

namespace clementineloom::settings {
namespace {

// A valid document of each kind; each case replaces one part of it.
constexpr std::string_view kGatewayText = R"({
  // Comments and trailing commas are allowed.
  "instance": "e1",
  "region": "latvia",
  "data_centre": "liepaja",
  "admin": "127.0.0.1:9001",
  "listen": "127.0.0.1:8080",
  "scheduler_rpc": "127.0.0.1:9100",
  "log_service": ["127.0.0.1:7001", "127.0.0.1:7002"],
  "instance_list": "127.0.0.1:7100",
  "log_level": "info",
  "connect_timeout_ms": 1000,
  "max_attempts": 3,
}
)";

constexpr std::string_view kSchedulerText = R"({
  "instance": "e1",
  "region": "latvia",
  "data_centre": "liepaja",
  "admin": "127.0.0.1:9002",
  "rpc": "127.0.0.1:9100",
  "log_service": ["127.0.0.1:7001"],
  "instance_list": "127.0.0.1:7100",
  "lease_ms": 10000,
  "renew_interval_ms": 3000,
  "reserve_timeout_ms": 1500
}
)";

constexpr std::string_view kClusterText = R"({
  "region": "latvia",
  "data_centres": [
    {"name": "liepaja", "region": "latvia"},
    {"name": "kolka", "region": "latvia", "in_service": true}
  ],
  "worker_shapes": [
    {"data_centre": "liepaja", "racks": 2, "workers_per_rack": 6, "accelerators": 8},
    {"data_centre": "kolka", "racks": 1, "workers_per_rack": 6, "accelerators": 8}
  ],
  "teams": [
    {"name": "readiness", "guarantees": [
      {"accelerators_per_worker": 8, "workers": 4, "adjacency": "rack", "count": 3}
    ]},
    {"name": "audit", "max_concurrent_requests": 8, "guarantees": [
      {"accelerators_per_worker": 2, "workers": 1, "adjacency": "worker", "count": 4}
    ]}
  ],
  "objective": {"completion_time_percent": 60, "fragmentation_percent": 20,
                "work_during_change_percent": 20}
}
)";

enum class Kind : std::uint8_t { kGateway, kScheduler, kCluster };

// Replaces a part of the valid document and expects one problem.
struct MistakeCase {
  const char* name;
  Kind kind;
  std::string from;
  std::string to;
  ResultCode code;
  std::string field;
  /// Line of the key, counted from the line where the texts first differ.
  int line_shift = 0;

  friend void PrintTo(const MistakeCase& it, std::ostream* out) { *out << it.name; }
};

// Each row is another kind of mistake; the same mistake at further keys would test nothing new.
const std::vector<MistakeCase>& Cases() {
  using enum ResultCode;
  using enum Kind;
  static const std::vector<MistakeCase> cases{
      {"UnknownKey", kGateway, "max_attempts", "max_atempts", kUnknownKey, "max_atempts"},
      {"WrongUnitSuffix", kGateway, "connect_timeout_ms", "connect_timeout_s", kWrongUnit,
       "connect_timeout_s"},
      {"MissingUnitSuffix", kGateway, "connect_timeout_ms", "connect_timeout", kWrongUnit,
       "connect_timeout"},
      {"UnitInValue", kGateway, "1000", R"("1s")", kWrongUnit, "connect_timeout_ms"},
      {"MissingKey", kGateway, R"("listen": "127.0.0.1:8080",)", "", kMissingKey, "listen", -6},
      {"TextForNumber", kGateway, R"("max_attempts": 3)", R"("max_attempts": "3")", kWrongType,
       "max_attempts"},
      {"FractionForNumber", kGateway, R"("max_attempts": 3)", R"("max_attempts": 2.5)", kWrongType,
       "max_attempts"},
      {"NumberForText", kGateway, R"("e1")", "1", kWrongType, "instance"},
      {"TextForList", kGateway, R"(["127.0.0.1:7001", "127.0.0.1:7002"])", R"("127.0.0.1:7001")",
       kWrongType, "log_service"},
      {"NumberTooLarge", kGateway, R"("max_attempts": 3)", R"("max_attempts": 11)", kOutOfRange,
       "max_attempts"},
      {"NumberNegative", kGateway, R"("max_attempts": 3)", R"("max_attempts": -3)", kOutOfRange,
       "max_attempts"},
      {"AddressIsName", kGateway, "127.0.0.1:7100", "localhost:7100", kAddressNotNumeric,
       "instance_list"},
      {"AddressWithoutPort", kGateway, "127.0.0.1:7100", "127.0.0.1", kAddressNotNumeric,
       "instance_list"},
      {"AddressWithPortZero", kGateway, "127.0.0.1:7100", "127.0.0.1:0", kAddressNotNumeric,
       "instance_list"},
      {"PortTooLarge", kGateway, "127.0.0.1:7100", "127.0.0.1:70000", kAddressNotNumeric,
       "instance_list"},
      {"SameAddressForTwoKeys", kGateway, "127.0.0.1:8080", "127.0.0.1:9001", kDuplicateId,
       "listen"},
      {"SameAddressTwiceInList", kGateway, "127.0.0.1:7002", "127.0.0.1:7001", kDuplicateId,
       "log_service[1]"},
      {"EmptyLogService", kGateway, R"(["127.0.0.1:7001", "127.0.0.1:7002"])", "[]", kOutOfRange,
       "log_service"},
      {"UnknownLogLevel", kGateway, R"("info")", R"("verbose")", kInvalidValue, "log_level"},
      {"NameTooLong", kGateway, R"("e1")", '"' + std::string(65, 'e') + '"', kOutOfRange,
       "instance"},
      {"NameWithBadCharacter", kGateway, R"("e1")", R"("e 1")", kInvalidValue, "instance"},
      {"EmptyName", kGateway, R"("e1")", R"("")", kInvalidValue, "instance"},
      {"KeyTwice", kGateway, R"("max_attempts": 3)", R"("max_attempts": 3, "max_attempts": 4)",
       kDuplicateId, "max_attempts"},
      {"ConnectLongerThanAnswer", kGateway, "1000", "31000", kOutOfRange, "connect_timeout_ms"},
      {"Malformed", kGateway, R"("instance": "e1")", R"("instance" "e1")", kMalformedDocument, ""},
      {"RootIsList", kGateway, std::string(kGatewayText), "[]", kMalformedDocument, ""},
      {"LeaseShorterThanTwoRenewals", kScheduler, "10000", "5999", kOutOfRange, "lease_ms"},
      {"StartLaterThanPromised", kScheduler, "1500", "2500", kOutOfRange, "reserve_timeout_ms"},
      {"KeyOfOtherDaemon", kScheduler, R"("lease_ms")", R"("claim_batch_ms")", kUnknownKey,
       "claim_batch_ms"},
      {"DuplicateTeam", kCluster, R"("audit")", R"("readiness")", kDuplicateId, "teams[1].name"},
      {"DuplicateDataCentre", kCluster, R"({"name": "kolka")", R"({"name": "liepaja")",
       kDuplicateId, "data_centres[1].name"},
      {"TeamWithoutShape", kCluster,
       R"({"accelerators_per_worker": 2, "workers": 1, "adjacency": "worker", "count": 4})", "",
       kTeamWithoutShape, "teams[1].guarantees", -1},
      {"GuaranteesDoNotFit", kCluster, R"("count": 3)", R"("count": 4)", kGuaranteesDoNotFit,
       "teams[0].guarantees[0]"},
      {"ShapeLargerThanWorker", kCluster, R"("accelerators_per_worker": 2)",
       R"("accelerators_per_worker": 16)", kGuaranteesDoNotFit, "teams[1].guarantees[0]"},
      {"GangLargerThanRack", kCluster, R"("workers": 4)", R"("workers": 7)", kGuaranteesDoNotFit,
       "teams[0].guarantees[0]"},
      {"AdjacencyUnknown", kCluster, R"("adjacency": "rack")", R"("adjacency": "row")",
       kInvalidValue, "teams[0].guarantees[0].adjacency"},
      {"SeveralWorkersOnOneWorker", kCluster, R"("adjacency": "rack")", R"("adjacency": "worker")",
       kInvalidValue, "teams[0].guarantees[0].adjacency"},
      {"ZeroCount", kCluster, R"("count": 3)", R"("count": 0)", kOutOfRange,
       "teams[0].guarantees[0].count"},
      {"ZeroWorkers", kCluster, R"("workers": 4)", R"("workers": 0)", kOutOfRange,
       "teams[0].guarantees[0].workers"},
      {"GangTooLarge", kCluster, R"("workers": 4)", R"("workers": 513)", kOutOfRange,
       "teams[0].guarantees[0].workers"},
      {"RegionMismatch", kCluster, R"("kolka", "region": "latvia")",
       R"("kolka", "region": "senegal")", kInvalidValue, "data_centres[1].region"},
      {"UnknownDataCentre", kCluster, R"({"data_centre": "kolka")", R"({"data_centre": "thies")",
       kUnknownReference, "worker_shapes[1].data_centre"},
      {"WeightsDoNotAddUp", kCluster, R"("fragmentation_percent": 20)",
       R"("fragmentation_percent": 30)", kInvalidValue, "objective"},
      {"NumberInListOfObjects", kCluster, R"({"name": "liepaja", "region": "latvia"},)",
       R"({"name": "liepaja", "region": "latvia"}, 7,)", kWrongType, "data_centres[1]"},
  };
  return cases;
}

std::string_view ValidText(Kind kind) {
  switch (kind) {
    case Kind::kGateway:
      return kGatewayText;
    case Kind::kScheduler:
      return kSchedulerText;
    case Kind::kCluster:
      return kClusterText;
  }
  return {};
}

class SettingsCheckTest : public testing::Test {
 protected:
  void TearDown() override { std::remove(file_.c_str()); }

  void Write(std::string_view text) const { std::ofstream(file_) << text; }

  [[nodiscard]] std::vector<Problem> Check(Kind kind, std::string_view text) const {
    Write(text);
    switch (kind) {
      case Kind::kGateway:
        return CheckGatewaySettings(file_).problems;
      case Kind::kScheduler:
        return CheckSchedulerSettings(file_).problems;
      case Kind::kCluster:
        return CheckClusterDocument(file_).problems;
    }
    return {};
  }

  // Names of parameterized tests contain slashes, which file names cannot.
  static std::string FileName() {
    std::string name = testing::UnitTest::GetInstance()->current_test_info()->name();
    std::ranges::replace(name, '/', '_');
    return std::string(BINARY_DIR) + "/" + name + ".json";
  }

  const std::string file_ = FileName();
};

class SettingsMistakeTest : public SettingsCheckTest,
                            public testing::WithParamInterface<MistakeCase> {};

// Returns the line of the first difference, which is the line of the mistake.
int FirstChangedLine(std::string_view valid, std::string_view text) {
  const auto it = std::ranges::mismatch(valid, text).in2;
  return static_cast<int>(std::count(text.begin(), it, '\n')) + 1;
}

// Guards against a mistake that is accepted, or reported without number, file, line and field.
TEST_P(SettingsMistakeTest, Check_WithOneMistake_NamesNumberFileLineAndField) {
  const MistakeCase& param = GetParam();
  std::string text(ValidText(param.kind));
  const std::size_t n = text.find(param.from);
  ASSERT_NE(n, std::string::npos);
  text.replace(n, param.from.size(), param.to);
  const std::vector<Problem> problems = Check(param.kind, text);
  const auto it = std::ranges::find_if(problems, [&](const Problem& problem) {
    return problem.code == param.code && problem.field == param.field;
  });
  ASSERT_NE(it, problems.end()) << (problems.empty() ? "accepted" : ToText(problems.front()));
  EXPECT_EQ(it->file, file_);
  EXPECT_EQ(static_cast<int>(it->line),
            FirstChangedLine(ValidText(param.kind), text) + param.line_shift);
}

INSTANTIATE_TEST_SUITE_P(Mistakes, SettingsMistakeTest, testing::ValuesIn(Cases()),
                         [](const auto& info) { return std::string(info.param.name); });

// Guards against a checker that refuses valid files; the tests of mistakes would pass with it.
TEST_F(SettingsCheckTest, Check_OfValidFiles_FindsNoProblem) {
  for (const Kind kind : {Kind::kGateway, Kind::kScheduler, Kind::kCluster}) {
    const std::vector<Problem> problems = Check(kind, ValidText(kind));
    EXPECT_TRUE(problems.empty()) << ToText(problems.front());
  }
}

// Guards against a refusal of port 0: tests and demonstrations would have to guess free ports.
TEST_F(SettingsCheckTest, CheckGatewaySettings_ListeningOnPortZero_FindsNoProblem) {
  std::string text(kGatewayText);
  for (const std::string& port : std::vector<std::string>{":9001", ":8080"}) {
    text.replace(text.find(port), port.size(), ":0");
  }
  EXPECT_TRUE(Check(Kind::kGateway, text).empty());
}

// Guards against a table of mistakes with fewer than the 25 required kinds.
TEST_F(SettingsCheckTest, Cases_ByName_AreAtLeast25Kinds) {
  std::set<std::string> names;
  for (const MistakeCase& it : Cases()) {
    names.insert(it.name);
  }
  EXPECT_GE(names.size(), 25U);
}

// Guards against a checker that stops at the first problem.
TEST_F(SettingsCheckTest, Check_WithThreeMistakes_ReportsAllWithTheirLines) {
  const std::vector<Problem> problems = Check(Kind::kScheduler, R"({
  "instance": "e 1",
  "region": "latvia",
  "data_centre": "liepaja",
  "admin": "127.0.0.1:9002",
  "rpc": "localhost:9100",
  /* a comment
     of two lines */
  "log_service": [
    "127.0.0.1:7001",
    "127.0.0.1",
  ],
  "instance_list": "127.0.0.1:7100"
})");
  ASSERT_EQ(problems.size(), 3U);
  EXPECT_EQ(ToText(problems[0]), file_ +
                                     ":2: 1001 invalid_value instance: a name is made of a-z, A-Z, "
                                     "0-9, '.', '_' and '-'");
  EXPECT_EQ(problems[1].line, 11U);
  EXPECT_EQ(problems[1].field, "log_service[1]");
  EXPECT_EQ(problems[2].line, 6U);
}

// Guards against values that are read into the wrong member, or defaults that are lost.
TEST_F(SettingsCheckTest, LoadSchedulerSettings_OfValidFile_ReturnsValuesAndDefaults) {
  Write(kSchedulerText);
  SchedulerSettings settings;
  ASSERT_FALSE(RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_ASSIGN(settings, LoadSchedulerSettings(file_));
    return {};
  }));
  SchedulerSettings expected;
  expected.common.instance = "e1";
  expected.common.region = "latvia";
  expected.common.data_centre = "liepaja";
  expected.common.admin = "127.0.0.1:9002";
  expected.common.log_service = {"127.0.0.1:7001"};
  expected.common.instance_list = "127.0.0.1:7100";
  expected.rpc = "127.0.0.1:9100";
  EXPECT_EQ(settings, expected);
}

// Guards against teams that lose guarantees or limits on their way into the configuration.
TEST_F(SettingsCheckTest, CheckClusterDocument_OfValidFile_ReturnsTeams) {
  Write(kClusterText);
  const ClusterDocument document = CheckClusterDocument(file_).value;
  ASSERT_EQ(document.teams.size(), 2U);
  EXPECT_EQ(document.teams[0].guarantees().front().count(), 3);
  EXPECT_EQ(document.teams[0].guarantees().front().shape().adjacency(), Adjacency::kRack);
  EXPECT_EQ(document.teams[1].guarantees().front().shape().accelerators_per_worker(), 2);
  EXPECT_EQ(document.teams[1].max_concurrent_requests(), 8U);
  EXPECT_EQ(document.data_centres[1].name(), "kolka");
  EXPECT_EQ(document.objective.completion_time_percent, 60U);
}

// Guards against a file that does not exist being taken for an empty one.
TEST_F(SettingsCheckTest, LoadGatewaySettings_OfMissingFile_IsRefused) {
  const auto refusal = RefusalOf([&] { return LoadGatewaySettings(file_ + ".missing"); });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kFileUnreadable);
}

}  // namespace
}  // namespace clementineloom::settings
