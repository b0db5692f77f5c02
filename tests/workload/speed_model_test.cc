#include "clementineloom/workload/speed_model.h"

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace clementineloom::workload {
namespace {

/// Fixture with a fleet whose workers have true speeds, and steps that run on some of them.
class SpeedModelTest : public testing::Test {
 protected:
  static constexpr std::uint32_t kSeed = 11;
  static constexpr int kWorkers = 60;

  static std::string Name(int worker) { return "w" + std::to_string(100 + worker); }

  void SetSpeeds(const std::vector<double>& speeds) {
    for (int n = 0; n < kWorkers; ++n) {
      speeds_[Name(n)] = speeds[static_cast<std::size_t>(n) % speeds.size()];
    }
  }
  // Runs a step on workers drawn at random, each of which reports 20 percent of its task.
  void RunStep(int tasks, bool is_gang, double unevenness) {
    std::normal_distribution<double> size(0, unevenness);
    const StepId step{"job" + std::to_string(++steps_), 0, 0};
    const double work_ms = 1'000 + 500.0 * (steps_ % 20);
    for (int n = 0; n < tasks; ++n) {
      const std::string worker = Name(static_cast<int>(random_() % kWorkers));
      const double span = work_ms * std::exp(size(random_)) / speeds_.at(worker);
      Report(worker, step, is_gang, span);
    }
    now_ += Milliseconds(100);
  }
  void Report(const std::string& worker, const StepId& step, bool is_gang, double span_ms) {
    model_.Add({worker, step, "", {}, is_gang, 20, Milliseconds(std::llround(span_ms))}, now_);
  }
  // Workers that count as slow or fast although they are not, or the other way round.
  int WrongWorkers() const {
    int wrong = 0;
    for (const auto& [worker, speed] : speeds_) {
      const auto it = model_.speeds().find(worker);
      const double known = it == model_.speeds().end() ? 1 : it->second;
      wrong += (known < 1) != (speed < 1) || (known > 1) != (speed > 1) ? 1 : 0;
    }
    return wrong;
  }

  std::mt19937 random_{kSeed};
  std::map<std::string, double> speeds_;
  SpeedModel model_;
  SteadyTime now_ = SteadyTime() + Milliseconds(1'000'000);
  int steps_ = 0;
};

// Guards against unlike workers that are not told apart within some tasks each.
TEST_F(SpeedModelTest, Workers_OfThreeSpeeds_AreToldApartByGangs) {
  SetSpeeds({0.6, 1.0, 1.6});
  for (int n = 0; n < 80; ++n) {
    RunStep(5, true, 0.05);
  }
  EXPECT_LE(WrongWorkers(), kWorkers / 20);
}

// Guards against the same where tasks of a step differ in size.
TEST_F(SpeedModelTest, Workers_OfThreeSpeeds_AreToldApartByUnevenTasks) {
  SetSpeeds({0.6, 1.0, 1.6});
  for (int n = 0; n < 60; ++n) {
    RunStep(30, false, 0.3);
  }
  EXPECT_LE(WrongWorkers(), kWorkers / 10);
}

// Guards against preferences where there is no difference.
TEST_F(SpeedModelTest, Workers_OfEqualSpeed_AreNotToldApart) {
  SetSpeeds({1.0});
  for (int n = 0; n < 60; ++n) {
    RunStep(5, true, 0.05);
    RunStep(20, false, 0.3);
  }
  EXPECT_LE(WrongWorkers(), kWorkers / 20);
}

// Guards against a worker that counts as slow because of one task of several times the usual size.
TEST_F(SpeedModelTest, Worker_WithOneVeryLongTask_DoesNotCountAsSlow) {
  SetSpeeds({1.0});
  const StepId step{"job", 0, 0};
  for (int n = 0; n < 10; ++n) {
    Report(Name(n), step, false, 1'000);
  }
  Report("w999", step, false, 7'000);
  EXPECT_FALSE(model_.speeds().contains("w999"));
}

// Guards against a speed that is kept although the worker turned slow, or has recovered.
TEST_F(SpeedModelTest, Worker_ThatTurnsSlowAndBack_IsFollowed) {
  SetSpeeds({1.0});
  for (int n = 0; n < 40; ++n) {
    RunStep(10, true, 0.05);
  }
  speeds_[Name(7)] = 0.2;
  for (int n = 0; n < 60; ++n) {
    RunStep(10, true, 0.05);
  }
  ASSERT_TRUE(model_.speeds().contains(Name(7)));
  EXPECT_LT(model_.speeds().at(Name(7)), 0.6);
  speeds_[Name(7)] = 1.0;
  for (int n = 0; n < 100; ++n) {
    RunStep(10, true, 0.05);
  }
  EXPECT_FALSE(model_.speeds().contains(Name(7)));
}

// Guards against a speed that is kept after the worker has restarted.
TEST_F(SpeedModelTest, Worker_ThatIsForgotten_IsLikeOthers) {
  SetSpeeds({0.6, 1.0, 1.6});
  for (int n = 0; n < 80; ++n) {
    RunStep(5, true, 0.05);
  }
  ASSERT_TRUE(model_.speeds().contains(Name(0)));
  model_.Forget(Name(0));
  EXPECT_FALSE(model_.speeds().contains(Name(0)));
  EXPECT_EQ(model_.EstimateOf(Name(0)), SpeedEstimate::OfWorker());
}

}  // namespace
}  // namespace clementineloom::workload
