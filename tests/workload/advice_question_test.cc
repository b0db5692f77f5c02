#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class AdviceQuestionTest : public PlannerTest {
 protected:
  // An answer about 6 workers takes 1 s.
  static constexpr AdviceTimes kSlow{700, 50};
  static constexpr std::int64_t kNowMs = 100'000;

  void AddFleet(int racks, int workers_per_rack) {
    for (int rack = 0; rack < racks; ++rack) {
      for (int n = 0; n < workers_per_rack; ++n) {
        const std::string name = "r" + std::to_string(rack);
        AddWorker(name + "-w" + std::to_string(n), name);
      }
    }
  }
  void SubmitAdvised(const std::string& id, StepSpec step, std::int64_t accepted_at_ms = kNowMs,
                     std::uint32_t priority = 1, const AdviceTimes& times = kSlow) {
    JobSubmission submission;
    submission.id = id;
    submission.queue.service = "inspect";
    submission.queue.priority = priority;
    submission.queue.needs_advice = true;
    submission.queue.advice_times = times;
    submission.accepted_at_ms = accepted_at_ms;
    submission.steps = {std::move(step)};
    jobs_.Apply(SubmissionSet{id, submission});
  }
  // The question of a plan; fails the test if it asks none.
  AdviceQuestion Question() {
    const StartPlan plan = Plan(kNowMs);
    EXPECT_TRUE(plan.question.has_value());
    return plan.question.value_or(AdviceQuestion{});
  }
  void NoteUnanswered(const AdviceQuestion& question) {
    advice_.NoteAsked(question.step, question.workers);
    advice_.NoteUnanswered(question.step, question.workers, now_);
  }
  void NoteAnswered(const AdviceQuestion& question) {
    advice_.NoteAsked(question.step, question.workers);
    advice_.NoteAnswered(question.step, now_);
  }
};

// Guards against questions that take the service so long that a job stands still meanwhile.
TEST_F(AdviceQuestionTest, Question_OfAQueueWithSlowAnswers_IsAnsweredWithin1s) {
  AddFleet(1, 40);
  SubmitAdvised("job", Step(20, 8));
  const AdviceQuestion question = Question();
  EXPECT_EQ(question.workers.size(), 6U);
  EXPECT_EQ(question.answer_time, Milliseconds(1'000));
}

// Guards against more questions than are needed where the service answers fast.
TEST_F(AdviceQuestionTest, Question_OfAQueueWithFastAnswers_NamesAllThatItMay) {
  AddFleet(1, 40);
  SubmitAdvised("job", Step(1, 1), kNowMs, 1, {10, 2});
  EXPECT_EQ(Question().workers.size(), 30U);
}

// Guards against gangs that never have valid tickets for all members.
TEST_F(AdviceQuestionTest, Question_OfAGang_NamesEnoughForAllMembers) {
  AddFleet(10, 12);
  StepSpec gang = Step(40, 8);
  gang.is_gang = true;
  SubmitAdvised("job", gang);
  EXPECT_EQ(Question().workers.size(), 40U);
}

// Guards against a second question of a gang for each worker that is not approved.
TEST_F(AdviceQuestionTest, Question_OfASmallGang_NamesOthersBesideAsFarAsTimeAllows) {
  AddFleet(10, 12);
  StepSpec gang = Step(10, 8);
  gang.is_gang = true;
  SubmitAdvised("job", gang);
  EXPECT_EQ(Question().workers.size(), 20U);
}

// Guards against questions that the service does not take.
TEST_F(AdviceQuestionTest, Question_OfAWideGang_NamesAtMost100) {
  AddFleet(20, 12);
  StepSpec gang = Step(150, 8);
  gang.is_gang = true;
  SubmitAdvised("job", gang);
  EXPECT_EQ(Question().workers.size(), 100U);
}

// Guards against a step that waits for its data's rack, about whose workers it has not asked.
TEST_F(AdviceQuestionTest, Question_OfAStepWithData_NamesTheWorkersBesideTheDataFirst) {
  AddFleet(10, 4);
  StepSpec step = Step(1, 1);
  step.data_rack = "r7";
  SubmitAdvised("job", step);
  for (const std::string& it : Question().workers) {
    EXPECT_TRUE(it.starts_with("r7-")) << it;
  }
}

// Guards against a gang that asks about some workers of each rack, and about none that has enough.
TEST_F(AdviceQuestionTest, Question_OfAGangForOneRack_NamesARackWithRoomForAllFirst) {
  AddFleet(4, 2);
  for (int n = 0; n < 6; ++n) {
    AddWorker("r9-w" + std::to_string(n), "r9");
  }
  StepSpec gang = Step(6, 8);
  gang.is_gang = true;
  gang.prefers_one_rack = true;
  SubmitAdvised("job", gang);
  const AdviceQuestion question = Question();
  ASSERT_GE(question.workers.size(), 6U);
  for (std::size_t n = 0; n < 6; ++n) {
    EXPECT_TRUE(question.workers[n].starts_with("r9-")) << question.workers[n];
  }
}

// Guards against a question without answer that is asked again before those of other steps.
TEST_F(AdviceQuestionTest, Question_AfterOneWithoutAnswer_IsOfAnotherStep) {
  AddFleet(1, 4);
  SubmitAdvised("older", Step(1, 1), kNowMs - 500);
  SubmitAdvised("newer", Step(1, 1), kNowMs - 400);
  const AdviceQuestion first = Question();
  EXPECT_EQ(first.step.job, "older");
  NoteUnanswered(first);
  EXPECT_EQ(Question().step.job, "newer");
}

// Guards against a service that is called all the time by a step to which it does not answer.
TEST_F(AdviceQuestionTest, Question_AfterOneWithoutAnswer_IsRepeatedAfterAGrowingPause) {
  AddFleet(1, 4);
  SubmitAdvised("job", Step(1, 1));
  Milliseconds pause{250};
  for (int n = 0; n < 4; ++n) {
    NoteUnanswered(Question());
    now_ += pause - Milliseconds(1);
    EXPECT_FALSE(Plan(kNowMs).question.has_value());
    now_ += Milliseconds(1);
    EXPECT_TRUE(Plan(kNowMs).question.has_value());
    pause *= 2;
  }
  NoteAnswered(Question());
  EXPECT_TRUE(advice_.MayAsk({"job", 0, 0}, now_));
}

// Guards against many questions of one step, each answered, that hold up another step.
TEST_F(AdviceQuestionTest, Question_AfterOneThatApprovedNobody_IsOfTheStepThatWaitsLonger) {
  AddFleet(1, 40);
  SubmitAdvised("older", Step(1, 1), kNowMs - 500);
  SubmitAdvised("newer", Step(1, 1), kNowMs - 400);
  NoteAnswered(Question());
  EXPECT_EQ(Question().step.job, "newer");
}

// Guards against urgent steps that wait for the questions of all others.
TEST_F(AdviceQuestionTest, Question_WithAnUrgentStepWaiting_IsOfThatStep) {
  AddFleet(1, 4);
  SubmitAdvised("bulk", Step(1, 1), kNowMs - 900);
  SubmitAdvised("urgent", Step(1, 1), kNowMs - 100, kPreemptingPriority);
  EXPECT_EQ(Question().step.job, "urgent");
}

// Guards against other steps that never ask beside urgent ones without answers.
TEST_F(AdviceQuestionTest, Question_OfAStepThatHasWaitedLong_GoesBeforeANewUrgentOne) {
  AddFleet(1, 4);
  SubmitAdvised("bulk", Step(1, 1), kNowMs - 3'000);
  SubmitAdvised("urgent", Step(1, 1), kNowMs - 100, kPreemptingPriority);
  EXPECT_EQ(Question().step.job, "bulk");
}

// Guards against an urgent step for which no room is ever made, because it asks only about workers
// that have room.
TEST_F(AdviceQuestionTest, Question_OfAnUrgentStepInAFullFleet_NamesWorkersWhoseRunsMayBeStopped) {
  AddFleet(1, 4);
  Submit("bulk", Step(4, 8), 2);
  ApplyStarts(Plan(kNowMs));
  SubmitAdvised("urgent", Step(1, 8), kNowMs - 100, kPreemptingPriority);
  const AdviceQuestion question = Question();
  ASSERT_EQ(question.workers.size(), 4U);
  advice_.NoteAsked(question.step, question.workers);
  advice_.Add(question.step, {{question.workers.front(), "ticket", SteadyTime::max()}});
  const StartPlan plan = Plan(kNowMs);
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].worker, question.workers.front());
}

// Guards against questions of other steps about workers that have no room for them.
TEST_F(AdviceQuestionTest, Question_OfAStepInAFullFleet_IsNotAsked) {
  AddFleet(1, 4);
  Submit("bulk", Step(4, 8), 1);
  ApplyStarts(Plan(kNowMs));
  SubmitAdvised("later", Step(1, 8));
  EXPECT_FALSE(Plan(kNowMs).question.has_value());
}

}  // namespace
}  // namespace clementineloom::workload
