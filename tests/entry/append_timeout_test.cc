#include "entry/store/append_timeout.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "entry/store/appender.h"
#include "platform/platform_adapter.h"
#include "standin/sim_port.h"
#include "standin/sim_world.h"
#include "standin/standin_store.h"

namespace clementineloom::entry {
namespace {

using workload::Milliseconds;

// Appenders that share a topic which takes one append at a time.
class AppendTimeoutTest : public testing::Test {
 protected:
  using StandInAppender = Appender<adapter::PlatformAdapter, standin::SimPort>;

  static constexpr Milliseconds kSlowAppend{208};

  std::unique_ptr<StandInAppender> AppenderOf(const std::string& producer) {
    AppenderOptions options;
    options.producer = producer;
    options.epoch = 1;
    return std::make_unique<StandInAppender>(
        port_, StoreEndpoint{standin::StandInStore::kAddress, "keyed.loom"}, options);
  }
  void Append(StandInAppender& appender) {
    appender.Append({{"k", "v"}}, [this](AppendStatus status) { outcomes_.push_back(status); });
  }

  standin::SimWorld world_;
  standin::StandInStore store_{world_};
  standin::SimPort port_{world_};
  std::vector<AppendStatus> outcomes_;
};

// Guards against an append that is sent again while it waits at the store: it waits there twice.
TEST_F(AppendTimeoutTest, Append_ThatWaitsAtASlowStore_IsSentOnce) {
  constexpr int kOthers = 7;
  store_.QueueAppends(kSlowAppend);
  const auto appender = AppenderOf("a");
  Append(*appender);
  world_.RunFor(Milliseconds(500));
  std::vector<std::unique_ptr<StandInAppender>> others;
  for (int n = 0; n < kOthers; ++n) {
    others.push_back(AppenderOf("other" + std::to_string(n)));
    Append(*others.back());
  }
  world_.RunFor(Milliseconds(10));
  Append(*appender);
  world_.RunFor(Milliseconds(4'000));
  EXPECT_EQ(store_.AppendsOf("a"), 2);
  EXPECT_EQ(outcomes_, std::vector(kOthers + 2, AppendStatus::kAppended));
}

// Guards against waiting long for an answer that a fast store has lost.
TEST_F(AppendTimeoutTest, Append_WithoutAnswerAtAFastStore_IsSentAgainAfterASecond) {
  const auto appender = AppenderOf("a");
  Append(*appender);
  world_.RunFor(Milliseconds(100));
  store_.LoseAppendAnswers(1);
  Append(*appender);
  world_.RunFor(Milliseconds(1'200));
  EXPECT_EQ(outcomes_, std::vector(2, AppendStatus::kAppended));
}

TEST_F(AppendTimeoutTest, Length_AfterASlowAnswer_FallsBackToTheShortest) {
  AppendTimeout timeout = AppendTimeout().WithAnswer(kSlowAppend);
  EXPECT_GT(timeout.length(), AppendTimeout::kMin);
  for (int n = 0; n < 20; ++n) {
    timeout = timeout.WithAnswer(Milliseconds(4));
  }
  EXPECT_EQ(timeout.length(), AppendTimeout::kMin);
}

}  // namespace
}  // namespace clementineloom::entry
