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
