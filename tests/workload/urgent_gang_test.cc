#include <gtest/gtest.h>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class UrgentGangTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kAcceptedAtMs = 90'000;
  // After the time for which an urgent gang waits for a rack.
  static constexpr std::int64_t kLateMs = kAcceptedAtMs + 1'000;

  // Three workers on two racks, full of less urgent work.
  void FillWithBulk() {
    AddWorker("w1", "r1");
    AddWorker("w2", "r2");
    AddWorker("w3", "r2");
    Submit("bulk", Step(3, 8), 2);
    Carry(Plan());
  }
  void SubmitGang(std::uint32_t tasks, bool prefers_one_rack) {
    StepSpec gang = Step(tasks, 8);
    gang.is_gang = true;
    gang.prefers_one_rack = prefers_one_rack;
    Submit("gang", gang, 0, kAcceptedAtMs);
  }
};

// Guards against work that is thrown away for a part of a gang, which can't start.
TEST_F(UrgentGangTest, Gang_ThatCannotBeWhole_StopsNothing) {
  FillWithBulk();
  SubmitGang(4, false);
  EXPECT_TRUE(Plan(kLateMs).preemptions.empty());
}

}  // namespace
}  // namespace clementineloom::workload
