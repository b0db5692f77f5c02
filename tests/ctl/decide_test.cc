#include "ctl/trace/decide.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "ctl/trace/parse_instance_log.h"
#include "ctl/trace/select_lines.h"

namespace clementineloom::ctl::trace {
namespace {

constexpr const char* kJob = "00000000000000a1";

/// Decides about kJob from lines that are given as "INSTANCE event=...", a second apart.
class DecideTest : public testing::Test {
 protected:
  void Log(const std::string& instance, const std::string& event) {
    ++seconds_;
    text_ += std::to_string(seconds_) + ".0 " + instance + " level=INFO event=" + event + "\n";
  }
  void LogOwn(const std::string& event, const std::string& fields = {}) {
    Log("e0", event + " job=" + kJob + (fields.empty() ? "" : " " + fields));
  }
  void LogRun(const std::string& event, const std::string& fields) {
    Log("e0", event + " task=" + kJob + ".0.0.0 " + fields);
  }
  void Skip(int seconds) { seconds_ += seconds; }

  void Decide() {
    timeline_ = SelectLines(kJob, {ParseInstanceLog("all.log", text_)});
    ASSERT_FALSE(timeline_.empty());
    verdict_ = trace::Decide(timeline_);
  }
  [[nodiscard]] const LogLine& DecidingLine() const {
    return timeline_.at(verdict_.deciding_line).line;
  }
  [[nodiscard]] bool HasLine(const std::string& event) const {
    for (const TimelineLine& it : timeline_) {
      if (it.line.event == event) {
        return true;
      }
    }
    return false;
  }

  int seconds_ = 0;
  std::string text_;
  std::vector<TimelineLine> timeline_;
  Verdict verdict_;
};

// Guards against the lines of another job, or of a worker that the job has left, in a timeline.
TEST_F(DecideTest, Timeline_OfAJob_LeavesOutOtherJobsAndLeftWorkers) {
  LogOwn("job_accepted", "answers=caller");
  Log("e0", "job_accepted job=00000000000000a2");
  LogOwn("job_started", "worker=w1 waited_ms=10");
  Log("e1", "worker_silent worker=w1 runs=1");
  LogRun("run_ended", "run=1 worker=w1 reason=3");
  LogRun("task_run_again", "run=2 worker=w2");
  Log("e0", "ends_listed worker=w1 life=7");
  Log("e0", "runs_lost worker=w9 runs=1 reason=x");
  LogOwn("job_ended", "state=2");
  Decide();
  EXPECT_EQ(timeline_.size(), 6U);
  EXPECT_TRUE(HasLine("worker_silent"));
  EXPECT_FALSE(HasLine("ends_listed"));
}

// Guards against an outage that is missed because it began long before the request.
TEST_F(DecideTest, Timeline_DuringALongOutage_HasItsBegin) {
  Log("e0", "topic_lost topic=t");
  Log("e0", "topic_regained topic=t");
  Log("e0", "topic_lost topic=t");
  Log("e1", "topic_lost topic=t");
  Skip(100);
  LogOwn("job_outcome_unknown");
  Decide();
  ASSERT_EQ(timeline_.size(), 2U);
  EXPECT_EQ(timeline_[0].line.time, std::chrono::seconds(3));
}

// Guards against a failed job whose last failed run, which used up its attempts, is not named.
TEST_F(DecideTest, Job_Failed_IsDecidedByItsLastFailedRun) {
  LogOwn("job_accepted", "answers=caller");
  LogRun("run_ended", "run=1 worker=w1 reason=1");
  LogRun("run_ended", "run=2 worker=w2 reason=1");
  LogOwn("job_ended", "state=3");
  LogRun("run_ended", "run=1 worker=w3 reason=2");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kFailed);
  EXPECT_EQ(verdict_.cause, "run 2 of task 00000000000000a1.0.0.0 failed on worker w2");
}

// Guards against a stop that is blamed on the worker in place of the task it was stopped for.
TEST_F(DecideTest, Job_Preempted_IsDecidedByThePreemption) {
  LogOwn("job_accepted", "answers=caller");
  LogRun("run_preempted", "run=1 worker=w1 for=00000000000000b1.0.0.0");
  LogRun("run_ended", "run=1 worker=w1 reason=2");
  LogRun("task_run_again", "run=2 worker=w2");
  LogOwn("job_ended", "state=2");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kDelayed);
  EXPECT_EQ(DecidingLine().event, "run_preempted");
}

// Guards against a gang that is blamed on a member which only followed the one that broke it.
TEST_F(DecideTest, Gang_BrokenByALostMember_IsDecidedByTheLoss) {
  LogOwn("job_started", "worker=w1 waited_ms=10");
  Log("e0", "worker_silent worker=w1 runs=1");
  Log("e0", "runs_lost worker=w1 runs=1 reason=\"the lease has ended\"");
  LogRun("run_ended", "run=1 worker=w1 reason=3");
  LogRun("run_ended", "run=1 worker=w2 reason=4");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kDelayed);
  EXPECT_EQ(DecidingLine().event, "runs_lost");
  EXPECT_NE(verdict_.cause.find("worker_silent on e0"), std::string::npos) << verdict_.cause;
}

// Guards against a late start that is not traced to the time without an owner.
TEST_F(DecideTest, Job_StartedByANewOwner_IsDecidedByTheTakeover) {
  LogOwn("job_accepted", "answers=caller");
  Log("e2", "ownership_taken epoch=8");
  LogOwn("job_started", "worker=w1 waited_ms=2000 epoch=8");
  LogOwn("job_ended", "state=2");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kDelayed);
  EXPECT_EQ(DecidingLine().event, "ownership_taken");
}

// Guards against a refusal that is reported although a repetition of the request was accepted.
TEST_F(DecideTest, Job_RefusedAndThenAccepted_IsNotRefused) {
  Log("e1", std::string("request_refused path=/q/") + kJob + " code=5001 run_state=did_not_run");
  LogOwn("job_accepted", "answers=caller");
  LogOwn("job_ended", "state=2");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kCompleted);
}

// Guards against an unknown outcome that is taken for settled because the record was appended
// after the caller had gone.
TEST_F(DecideTest, Job_RecordedAfterTheCallerWasAnswered_HasAnUnknownOutcome) {
  LogOwn("job_outcome_unknown", "awaits=store view_age_ms=1500 config_version=3");
  Log("e0", std::string("request_refused path=/q/") + kJob + " code=5002 run_state=may_have_run");
  LogOwn("job_accepted", "answers=nobody");
  LogOwn("job_ended", "state=2");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kOutcomeUnknown);
  EXPECT_EQ(DecidingLine().event, "job_outcome_unknown");
  EXPECT_EQ(verdict_.cause,
            "the store gave no answer before the caller's timeout (view 1500 ms old, "
            "configuration version 3)");
}

// Guards against an unknown outcome that is reported although a repetition was answered.
TEST_F(DecideTest, Job_RepeatedAfterAnUnknownOutcome_IsSettled) {
  LogOwn("job_outcome_unknown", "awaits=store");
  Log("e1", std::string("request_already_recorded method=POST answers=caller job=") + kJob);
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kOpen);
}

// Guards against a job that stands still for a reason that its logs name and the trace does not.
TEST_F(DecideTest, Job_OfWhichAStepWaits_IsOpenForTheReasonOfTheWait) {
  LogOwn("job_accepted", "answers=caller");
  LogOwn("job_started", "worker=w1 waited_ms=10");
  LogRun("run_ended", "run=1 worker=w1 reason=3");
  LogOwn("step_waits",
         std::string("step=1 waited_ms=3000 open=2 held=1 held_task=") + kJob +
             ".0.1.0 held_run=4 held_by=w2 held_stage=stopping without_label=0 leaving=1 "
             "unattached=0 backing_off=0 evacuated=0 full=3 unapproved=0 usable=0 claims=0");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kOpen);
  EXPECT_EQ(DecidingLine().event, "step_waits");
  EXPECT_EQ(verdict_.cause,
            std::string("no task of step 1 was at work for 3000 ms: 2 not done, 1 of them held, ") +
                "the first by run 4 of task " + kJob +
                ".0.1.0 (stopping) on worker w2; workers: 1 unlisted or draining, 3 full, 0 tasks "
                "with room kept for them");
}

// Guards against a wait that is given as the reason after the step has begun.
TEST_F(DecideTest, Job_OfWhichAStepBeganAfterAWait_IsNotDecidedByTheWait) {
  LogOwn("job_started", "worker=w1 waited_ms=10");
  LogOwn("step_waits", "step=0 waited_ms=3000");
  LogRun("run_ended", "run=1 worker=w1 reason=3");
  LogRun("task_run_again", "run=2 worker=w2");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kDelayed);
  EXPECT_EQ(DecidingLine().event, "run_ended");
}

// Guards against a caller without a key who cannot be told why the job does not exist.
TEST_F(DecideTest, Request_WithoutKey_IsRefused) {
  Log("e1", std::string("request_unauthorized path=/q/") + kJob + " config_version=4");
  Decide();
  EXPECT_EQ(verdict_.outcome, TraceOutcome::kRefused);
  EXPECT_NE(verdict_.cause.find("configuration version 4"), std::string::npos) << verdict_.cause;
}

}  // namespace
}  // namespace clementineloom::ctl::trace
