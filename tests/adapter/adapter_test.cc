#include <gtest/gtest.h>

#include <string>

#include "platform/record_format.h"
#include "platform/users_platform.h"

namespace clementineloom::adapter {
namespace {

using entry::AppendStatus;
using entry::OrderStatus;

class AdapterTest : public testing::Test {
 protected:
  static net::ClientResult Answer(int status, std::string body) {
    return {net::CallId(1), net::HttpResponse{status, {}, std::move(body)}, std::nullopt};
  }
  static net::ClientResult NoAnswer(RunState run_state) {
    return {net::CallId(1), std::nullopt, Refusal{ResultCode::kUpstreamFailed, run_state, ""}};
  }
};

// Guards against records that another writer left unreadable and that stop the reader.
TEST_F(AdapterTest, DecodeBatch_WithAForeignRecord_KeepsTheOffsetsOfTheOthers) {
  const std::string head(16, '\0');
  const std::string foreign("\0\0\0\1\xff", 5);
  const auto batch =
      DecodeBatch(head + EncodeRecords({{"a", "1"}}) + foreign + EncodeRecords({{"b", ""}}), 7);
  ASSERT_TRUE(batch.has_value());
  ASSERT_EQ(batch->items.size(), 3U);
  EXPECT_EQ(batch->items[0], (entry::TopicItem{7, {"a", "1"}}));
  EXPECT_EQ(batch->items[2], (entry::TopicItem{9, {"b", ""}}));
  EXPECT_FALSE(DecodeBatch(head + std::string("\0\0\0\5a", 5), 0).has_value());
}

// Guards against values of any length that change on their way.
TEST_F(AdapterTest, DecodeBase64_OfEveryPadding_GivesTheBytes) {
  EXPECT_EQ(DecodeBase64(""), "");
  EXPECT_EQ(DecodeBase64("YQ=="), "a");
  EXPECT_EQ(DecodeBase64("YWI="), "ab");
  EXPECT_EQ(DecodeBase64("YWJj"), "abc");
  EXPECT_FALSE(DecodeBase64("YQ").has_value());
}

// Guards against a refusal that is taken for an unknown outcome, or the other way round.
TEST_F(AdapterTest, ParseAppend_OfEachAnswer_TellsWhatTheStoreDid) {
  using P = UsersPlatform;
  EXPECT_EQ(P::ParseAppend(Answer(200, R"({"offset":4,"endOffset":5})")),
            (entry::AppendAnswer{AppendStatus::kAppended, 4}));
  EXPECT_EQ(P::ParseAppend(Answer(409, R"({"reason":"fenced"})")).status, AppendStatus::kFenced);
  EXPECT_EQ(P::ParseAppend(Answer(409, R"({"reason":"seq"})")).status,
            AppendStatus::kOutOfSequence);
  EXPECT_EQ(P::ParseAppend(Answer(412, "{}")).status, AppendStatus::kConflict);
  EXPECT_EQ(P::ParseAppend(Answer(503, "")).status, AppendStatus::kRefused);
  for (const int status : {429, 507}) {
    EXPECT_EQ(P::ParseAppend(Answer(status, "")).status, AppendStatus::kRefused) << status;
  }
  for (const int status : {500, 502, 504}) {
    EXPECT_EQ(P::ParseAppend(Answer(status, "")).status, AppendStatus::kUnknown) << status;
  }
  EXPECT_EQ(P::ParseAppend(NoAnswer(RunState::kDidNotRun)).status, AppendStatus::kRefused);
  EXPECT_EQ(P::ParseAppend(NoAnswer(RunState::kMayHaveRun)).status, AppendStatus::kUnknown);
}

// Guards against orders whose refusal is misread.
TEST_F(AdapterTest, ParseOrder_OfEachReason_TellsWhatTheWorkerDid) {
  using P = UsersPlatform;
  EXPECT_EQ(P::ParseOrder(Answer(200, R"({"clockMs":9})")),
            (entry::OrderAnswer{OrderStatus::kDone, 9}));
  EXPECT_EQ(P::ParseOrder(Answer(409, R"({"reason":"fence"})")).status, OrderStatus::kFenced);
  EXPECT_EQ(P::ParseOrder(Answer(409, R"({"reason":"old"})")).status, OrderStatus::kSuperseded);
  EXPECT_EQ(P::ParseOrder(Answer(409, R"({"reason":"late"})")).status, OrderStatus::kExpired);
  EXPECT_EQ(P::ParseOrder(Answer(409, R"({"reason":"room"})")).status, OrderStatus::kNoRoom);
  EXPECT_EQ(P::ParseOrder(Answer(409, R"({"reason":"ticket"})")).status,
            OrderStatus::kTicketRefused);
  EXPECT_EQ(P::ParseOrder(Answer(421, "")).status, OrderStatus::kOtherIncarnation);
  EXPECT_EQ(P::ParseOrder(Answer(503, "")).status, OrderStatus::kRefused);
  EXPECT_EQ(P::ParseOrder(Answer(504, "")).status, OrderStatus::kUnknown);
  EXPECT_EQ(P::ParseOrder(NoAnswer(RunState::kDidNotRun)).status, OrderStatus::kUnreachable);
}

// Guards against lists that are lost because of one row that cannot be read.
TEST_F(AdapterTest, ParseLists_WithAnUnreadableRow_KeepsTheOthers) {
  const auto lists = UsersPlatform::ParseLists(
      Answer(200, R"({"clockMs":5,"born":6,"running":[["j.0.0.1",2,"c",41,7],["x"],3],
               "ended":[[58,"j.0.0.9",1,"done",""],[59,"j.0.0.8",1,"broken","s"]]})"));
  ASSERT_TRUE(lists.has_value());
  ASSERT_EQ(lists->running.size(), 1U);
  EXPECT_EQ(lists->running[0], (entry::RunningItem{{{{"j", 0, 0}, 1}, 2}, "c", 41, 7}));
  ASSERT_EQ(lists->ended.size(), 2U);
  EXPECT_EQ(lists->ended[1].reason, workload::EndReason::kGangBroken);
  EXPECT_EQ(lists->born_at_ms, 6);
  EXPECT_FALSE(UsersPlatform::ParseLists(Answer(200, "[]")).has_value());
}

// Guards against orders that a worker cannot read.
TEST_F(AdapterTest, StartRequest_OfAnOrder_HasThePlatformsForm) {
  const net::HttpRequest request =
      UsersPlatform::StartRequest({{{{"j", 0, 1}, 17}, 2}, "text", 486'000, 7, "cp", ""}, "i-1");
  EXPECT_EQ(request.target, "/run-start");
  EXPECT_EQ(request.headers.Find("X-Clementineloom-Target-Instance"), "i-1");
  EXPECT_EQ(request.body, R"({"task":"j.0.1.17","runId":2,"fencingToken":7,"spec":"text",)"
                          R"("deadlineMs":486000,"checkpoint":"cp"})");
}

// Guards against entries of other writers that name a worker to use.
TEST_F(AdapterTest, ParseWorker_OfUnreadableEntries_GivesNone) {
  const std::string good =
      R"({"service":"s","address":"10.0.0.9:8080","zone":"z","state":"ready",)"
      R"("labels":["a","r1-3"],"capacity":{"cpu":16000,"memMb":32768,"gpus":0},"born":5})";
  const auto worker = UsersPlatform::ParseWorker({"i-1", good});
  ASSERT_TRUE(worker.has_value());
  EXPECT_EQ(worker->rack, "r1-3");
  EXPECT_EQ(worker->capacity, (workload::Resources{16'000, 32'768, 0}));
  const std::string wrong_label =
      R"({"service":"s","address":"a","zone":"z","state":"ready","labels":[1],)"
      R"("capacity":{"cpu":1,"memMb":1}})";
  const std::string wrong_state =
      R"({"service":"s","address":"a","zone":"z","state":"asleep","labels":[],"capacity":{}})";
  for (const std::string& bad :
       {std::string(), std::string("{"), std::string("[]"), wrong_label, wrong_state}) {
    EXPECT_FALSE(UsersPlatform::ParseWorker({"i-1", bad}).has_value()) << bad;
  }
}

// Guards against jobs that are stored although they can never be decided on.
TEST_F(AdapterTest, ParseJob_OfMalformedBodies_GivesNone) {
  EXPECT_TRUE(
      UsersPlatform::ParseJob(R"({"spec":"x","steps":[{"count":1},{"count":2,"dependsOn":[0]}]})")
          .has_value());
  for (const char* bad :
       {"", "{}", R"({"steps":[]})", R"({"steps":[{"count":0}]})", R"({"steps":[{"count":-1}]})",
        R"({"steps":[{"count":"1"}]})", R"({"steps":[{"count":1,"dependsOn":[0]}]})",
        R"({"steps":[{"count":1,"cpu":-5}]})", R"({"spec":1,"steps":[{"count":1}]})",
        R"({"steps":[{"count":1}],"repeats":-1})"}) {
    EXPECT_FALSE(UsersPlatform::ParseJob(bad).has_value()) << bad;
  }
}

// Guards against keys, hosts and deadlines that are read wrongly.
TEST_F(AdapterTest, ParseCaller_OfARequest_GivesItsParts) {
  const net::HttpRequest request{"DELETE", "/q/0000000000000001?x=1",
                                 net::HttpHeaders()
                                     .With("Authorization", "Token abc")
                                     .With("X-Clementineloom-Deadline-Ms", "1500"),
                                 "", "h.example:80"};
  const entry::CallerCall call = UsersPlatform::ParseCaller(request);
  EXPECT_EQ(call.kind, entry::CallKind::kCancel);
  EXPECT_EQ(call.host, "h.example");
  EXPECT_EQ(call.path, "/q/0000000000000001");
  EXPECT_EQ(call.key, "abc");
  EXPECT_EQ(call.timeout_ms, 1'500);
}

// Guards against a configuration that is half read.
TEST_F(AdapterTest, ParseOperatorItem_OfAConfiguration_GivesQueuesAndTeams) {
  const auto item = UsersPlatform::ParseOperatorItem(
      {"config", R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s",
        "priority":2,"maxAttempts":4,"stretch":1.5,"targetLatencyMs":250,"public":true}],
        "tenants":[{"name":"t","apiKeys":["k"],"guaranteed":{"gpus":72}}]})"});
  const auto* config = std::get_if<workload::WorkloadConfig>(&item);
  ASSERT_NE(config, nullptr);
  EXPECT_EQ(config->Route("h", "/p/x")->max_attempts, 4U);
  EXPECT_EQ(config->Route("g", "/p/x"), nullptr);
  EXPECT_EQ(config->TeamOfKey("k")->guaranteed_accelerators, 72);
  EXPECT_EQ(config->TeamOfKey("z"), nullptr);
  EXPECT_EQ(UsersPlatform::EvacuatedDataCentre("evacuate/kolka"), "kolka");
  EXPECT_TRUE(
      std::holds_alternative<std::monostate>(UsersPlatform::ParseOperatorItem({"config", "{"})));
}

}  // namespace
}  // namespace clementineloom::adapter
