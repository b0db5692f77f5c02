#include "clementineloom/workload/advice_cache.h"

#include <gtest/gtest.h>

namespace clementineloom::workload {
namespace {

class AdviceCacheTest : public testing::Test {
 protected:
  const StepId step_{"job", 0, 0};
  AdviceCache cache_;
};

// Guards against advice that stays in memory: the answer to a question that was asked before the
// job ended arrived afterwards and was stored for good.
TEST_F(AdviceCacheTest, Add_AfterTheJobWasDropped_StoresNothing) {
  cache_.NoteAsked(step_, {"w"});
  cache_.DropJob(step_.job);
  cache_.Add(step_, {{"w", "ticket", SteadyTime::max()}});
  EXPECT_EQ(cache_.Ticket(step_, "w", SteadyTime()), "");
}

// Guards against dropping an answer to a question that is still of use.
TEST_F(AdviceCacheTest, Add_AfterNoteAsked_StoresTheTicket) {
  cache_.NoteAsked(step_, {"w"});
  cache_.Add(step_, {{"w", "ticket", SteadyTime::max()}});
  EXPECT_EQ(cache_.Ticket(step_, "w", SteadyTime()), "ticket");
}

// Guards against tickets of an earlier life of a worker, and against a worker that counts as not
// approved for good although another kind may have come back.
TEST_F(AdviceCacheTest, DropWorker_AfterItsAnswer_ForgetsThatWorkerOnly) {
  cache_.NoteAsked(step_, {"v", "w", "x"});
  cache_.Add(step_, {{"v", "v-ticket", SteadyTime::max()}, {"w", "w-ticket", SteadyTime::max()}});
  cache_.DropWorker("w");
  EXPECT_EQ(cache_.Ticket(step_, "w", SteadyTime()), "");
  EXPECT_FALSE(cache_.WasAsked(step_, "w"));
  EXPECT_EQ(cache_.Ticket(step_, "v", SteadyTime()), "v-ticket");
  EXPECT_TRUE(cache_.WasAsked(step_, "x"));
}

// Guards against a question about workers whose late answer has arrived.
TEST_F(AdviceCacheTest, Add_AfterNoteUnanswered_CountsTheWorkersAsAsked) {
  cache_.NoteAsked(step_, {"w"});
  cache_.NoteUnanswered(step_, {"w"}, SteadyTime());
  EXPECT_FALSE(cache_.WasAsked(step_, "w"));
  cache_.Add(step_, {{"w", "ticket", SteadyTime::max()}});
  EXPECT_TRUE(cache_.WasAsked(step_, "w"));
}

}  // namespace
}  // namespace clementineloom::workload
