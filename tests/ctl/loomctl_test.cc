#include "ctl/loomctl.h"

#include <gtest/gtest.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdio>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/verb_list.h"
#include "rpc/rpc_server.h"
#include "support/value_or_die.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;
using testing_support::ValueOrDie;

constexpr std::string_view kConfig = R"({"revision":4,
  "data_centres":[{"name":"kolka","region":"latvia","in_service":true}],
  "teams":[{"name":"audit","guarantees":[{"accelerators_per_worker":8,"workers":6,
    "adjacency":"rack","count":2}],"max_concurrent_requests":64,"retry_budget_per_hour":60,
    "may_borrow":true}]})";

constexpr std::string_view kPlan = R"({"plan_id":"p7","base_revision":4,"starts":[],
  "moves":[{"job":12}],"waits":[],"refused":[],"risks":[],"text":"job 12 moves to liepaja"})";

class LoomctlTest : public testing::Test {
 protected:
  // Answers as a scheduler would and records the parameters of each call. The transport may reorder
  // the members of objects.
  Result<json::value> Handle(const rpc::RpcCall& call) {
    const std::scoped_lock lock(mutex_);
    params_[call.method] = json::serialize(call.params);
    const auto it = answers_.find(call.method);
    if (it == answers_.end()) {
      return Refuse(refusal_code_, call.method, refusal_run_state_);
    }
    return json::parse(it->second);
  }

  ExitCode Run(std::vector<std::string> words) {
    words.insert(words.begin(), {"--scheduler", "127.0.0.1:" + std::to_string(server_->port())});
    out_.str("");
    err_.str("");
    return RunLoomctl(std::move(words), out_, err_);
  }

  std::string ParamsOf(const std::string& method) {
    const std::scoped_lock lock(mutex_);
    return params_[method];
  }

  std::mutex mutex_;
  std::map<std::string, std::string> answers_;
  std::map<std::string, std::string> params_;
  ResultCode refusal_code_ = ResultCode::kUnknownJob;
  RunState refusal_run_state_ = RunState::kDidNotRun;
  std::ostringstream out_;
  std::ostringstream err_;
  std::unique_ptr<rpc::RpcServer> server_ = ValueOrDie([this] {
    return rpc::RpcServer::Start(
        {},
        {"config.get", "config.plan", "config.confirm", "job.submit", "job.get", "job.list",
         "job.cancel", "job.explain", "worker.list", "status.get"},
        [this](const rpc::RpcCall& call) { return Handle(call); });
  });
};

// Guards against a verb without help or examples.
TEST_F(LoomctlTest, Help_OfEveryVerb_ShowsExamples) {
  for (const Verb& it : Verbs()) {
    std::istringstream name{std::string(it.name)};
    std::vector<std::string> words;
    for (std::string word; name >> word;) {
      words.push_back(word);
    }
    words.emplace_back("--help");
    EXPECT_EQ(Run(words), ExitCode::kOk) << it.name;
    EXPECT_NE(out_.str().find("Examples:\n  loomctl " + std::string(it.name)), std::string::npos)
        << out_.str();
  }
}

// Guards against a change that takes effect before the operator has confirmed its plan.
TEST_F(LoomctlTest, DatacentreOut_OfKnownName_ShowsPlanWithoutConfirming) {
  answers_ = {{"config.get", std::string(kConfig)}, {"config.plan", std::string(kPlan)}};
  EXPECT_EQ(Run({"datacentre", "out", "kolka", "--author", "ilze"}), ExitCode::kOk);
  EXPECT_EQ(json::parse(ParamsOf("config.plan")),
            json::parse(R"({"edits":[{"set_data_centre":{"name":"kolka","region":"latvia",)"
                        R"("in_service":false}}],"author":"ilze"})"));
  EXPECT_NE(out_.str().find("job 12 moves to liepaja"), std::string::npos);
  EXPECT_NE(out_.str().find("loomctl confirm p7"), std::string::npos);
  EXPECT_EQ(ParamsOf("config.confirm"), "");
}

// Guards against a misspelt data centre that silently changes nothing.
TEST_F(LoomctlTest, DatacentreOut_OfUnknownName_IsRefused) {
  answers_ = {{"config.get", std::string(kConfig)}};
  EXPECT_EQ(Run({"datacentre", "out", "kolkka"}), ExitCode::kRefused);
  EXPECT_NE(err_.str().find("2004 unknown_data_centre"), std::string::npos);
}

// Guards against a plan of one scheduler that is confirmed under another id.
TEST_F(LoomctlTest, Confirm_OfPlan_SendsItsId) {
  answers_ = {{"config.confirm", R"({"revision":5})"}};
  EXPECT_EQ(Run({"confirm", "p7"}), ExitCode::kOk);
  EXPECT_EQ(ParamsOf("config.confirm"), R"({"plan_id":"p7"})");
  EXPECT_NE(out_.str().find("revision 5"), std::string::npos);
}

// Guards against a conflict with another operator's change that is reported as any other refusal.
TEST_F(LoomctlTest, Confirm_AfterOtherOperator_ReportsConflict) {
  refusal_code_ = ResultCode::kRevisionConflict;
  EXPECT_EQ(Run({"confirm", "p7"}), ExitCode::kConflict);
}

// Guards against an unknown outcome that an operator takes for a refusal and repeats.
TEST_F(LoomctlTest, Confirm_WithoutOutcome_ReportsUnknown) {
  refusal_code_ = ResultCode::kAppendUnknown;
  refusal_run_state_ = RunState::kMayHaveRun;
  EXPECT_EQ(Run({"confirm", "p7"}), ExitCode::kOutcomeUnknown);
  EXPECT_NE(err_.str().find("may_have_run"), std::string::npos);
}

// Guards against a publication that returns a data centre to service or resends what is in force.
TEST_F(LoomctlTest, ConfigPublish_OfExample_SendsOnlyDifferences) {
  answers_ = {{"config.get", std::string(kConfig)},
              {"config.plan", std::string(kPlan)},
              {"config.confirm", R"({"revision":5})"}};
  const std::string file = std::string(SOURCE_DIR) + "/examples/cooperative/cluster.json";
  EXPECT_EQ(Run({"config", "publish", file, "--confirm"}), ExitCode::kOk) << err_.str();
  const std::string params = ParamsOf("config.confirm");
  EXPECT_EQ(params.find("\"kolka\""), std::string::npos);
  EXPECT_NE(params.find("\"liepaja\""), std::string::npos);
  EXPECT_NE(params.find(R"({"delete_team":"audit"})"), std::string::npos);
  EXPECT_NE(params.find(R"("base_revision":4)"), std::string::npos);
}

// Guards against a document with mistakes that reaches the scheduler.
TEST_F(LoomctlTest, Plan_OfMissingFile_IsInvalidInput) {
  EXPECT_EQ(Run({"plan", "/nonexistent.json"}), ExitCode::kInvalidInput);
  EXPECT_EQ(ParamsOf("config.get"), "");
}

// Guards against options that end up in the wrong field of the job.
TEST_F(LoomctlTest, JobSubmit_WithOptions_SendsSpec) {
  answers_ = {{"job.submit", R"({"job":77})"}};
  EXPECT_EQ(Run({"job", "submit", "k1", "--team", "audit", "--class", "c", "--accelerators", "8",
                 "--workers", "3", "--adjacency", "rack", "--priority", "urgent", "--run-time-ms",
                 "500", "--command", "sleep_ms=1"}),
            ExitCode::kOk)
      << err_.str();
  EXPECT_EQ(
      json::parse(ParamsOf("job.submit")),
      json::parse(R"({"key":"k1","spec":{"team":"audit","job_class":"c","shape":)"
                  R"({"accelerators_per_worker":8,"workers":3,"adjacency":"rack"},)"
                  R"("priority":"urgent","declared_run_time_ms":500,"command":"sleep_ms=1"}})"));
  EXPECT_EQ(out_.str(), "Job 77 is submitted.\n");
}

// Guards against tables whose columns are shifted or miss nested members.
TEST_F(LoomctlTest, JobList_AsTable_AlignsColumns) {
  answers_ = {{"job.list", R"({"jobs":[{"job":7,"key":"k1","spec":{"team":"audit",
    "priority":"low"},"phase":"running","outcome":"none","kind":"borrowed","attempt":1,
    "workers":["w1","w2"]}]})"}};
  EXPECT_EQ(Run({"job", "list"}), ExitCode::kOk);
  EXPECT_EQ(out_.str(),
            "JOB  KEY  TEAM   PRIORITY  PHASE    OUTCOME  KIND      ATTEMPT  WORKERS\n"
            "7    k1   audit  low       running  none     borrowed  1        w1,w2\n");
}

// Guards against an unreachable peer that hides the state of the other instances.
TEST_F(LoomctlTest, Status_WithPeerDown_ShowsBoth) {
  answers_ = {{"status.get", R"({"instance":"e1","config_revision":5,"applied_offset":90,
    "view_age_ms":12,"serving":true,"waiting_jobs":0,"active_jobs":1,
    "peers":[{"instance":"e2","rpc":"127.0.0.1:1"}]})"}};
  EXPECT_EQ(Run({"status", "--json"}), ExitCode::kOk);
  const json::value answer = json::parse(out_.str());
  const json::array& instances = answer.at("instances").as_array();
  ASSERT_EQ(instances.size(), 2U);
  EXPECT_EQ(instances[0].at("config_revision").as_int64(), 5);
  EXPECT_EQ(instances[1].at("instance").as_string(), "e2");
  EXPECT_TRUE(instances[1].as_object().contains("problem"));
}

// Guards against exit codes that scripts cannot tell apart.
TEST_F(LoomctlTest, Run_WithWrongCommandLine_ReportsUsage) {
  EXPECT_EQ(Run({"jobs"}), ExitCode::kUsage);
  EXPECT_EQ(Run({"job", "show"}), ExitCode::kUsage);
  EXPECT_EQ(Run({"job", "show", "x"}), ExitCode::kUsage);
  EXPECT_EQ(Run({"status", "--bogus"}), ExitCode::kUsage);
}

// Guards against a scheduler that is down being reported as a refusal of its own.
TEST_F(LoomctlTest, Run_WithoutScheduler_ReportsUnreachable) {
  const std::uint16_t port = server_->port();
  server_.reset();
  const std::string address = "127.0.0.1:" + std::to_string(port);
  EXPECT_EQ(RunLoomctl({"workers", "--scheduler", address}, out_, err_), ExitCode::kUnreachable);
}

// Guards against mistakes that are listed while the exit status reports success.
TEST_F(LoomctlTest, ConfigCheck_OfFileWithMistake_FailsWithItsPlace) {
  const std::string file = std::string(BINARY_DIR) + "/loomctl_test_cluster.json";
  std::ofstream(file) << "{\n  \"region\": \"latvia\",\n  \"teams\": 7\n}\n";
  EXPECT_EQ(Run({"config", "check", file}), ExitCode::kInvalidInput);
  EXPECT_NE(out_.str().find(file + ":3: 1004 wrong_type teams"), std::string::npos) << out_.str();
  EXPECT_EQ(std::remove(file.c_str()), 0);
}

}  // namespace
}  // namespace clementineloom::ctl
