#include "platform/log_follower.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "clementineloom/state/cluster_state.h"
#include "codec/record_codec.h"
#include "codec/state_image_codec.h"
#include "support/cluster_records.h"
#include "support/manual_clock.h"
#include "support/memory_log.h"

namespace clementineloom::platform {
namespace {

using testing_support::ManualClock;
using testing_support::MemoryLog;

class LogFollowerTest : public testing::Test {
 protected:
  // Appends a record to the stream and applies it to the state that snapshots are taken of.
  void Add(const RecordBody& body) {
    const LogOffset offset(log_.payloads().size() + 1);
    const Record record{"r" + std::to_string(offset.value()), body};
    log_.Add(codec::EncodeRecord(record));
    (void)state_.Apply(offset, record);
  }

  void AddCluster() {
    for (const RecordBody& it : testing_support::MakeCluster(2)) {
      Add(it);
    }
  }

  std::vector<std::string> SnapshotPayloads(const std::string& id) const {
    std::vector<std::string> payloads;
    for (const SnapshotChunk& it : codec::SplitStateImage(id, state_.ToImage())) {
      payloads.push_back(codec::EncodeSnapshotChunk(id + std::to_string(it.index), it));
    }
    return payloads;
  }

  void AddSnapshot(const std::string& id) {
    for (const std::string& it : SnapshotPayloads(id)) {
      log_.Add(it);
    }
  }

  bool Poll() { return follower_.Poll(ManualClock::now()); }

  MemoryLog log_;
  ClusterState state_;
  std::vector<FollowedBatch> batches_;
  LogFollower<MemoryLog> follower_{log_, {}, [this](FollowedBatch it) {
                                     batches_.push_back(std::move(it));
                                     return true;
                                   }};
};

// Guards against a corrupt record that stops the stream, or shifts the offsets of those after it.
TEST_F(LogFollowerTest, Poll_WithCorruptRecord_DeliversItsErrorCode) {
  log_.Add("{");
  Add(JobStarted{JobId(1), 1});
  ASSERT_TRUE(Poll());
  ASSERT_EQ(batches_.size(), 1U);
  const FollowedBatch& batch = batches_.front();
  ASSERT_EQ(batch.records.size(), 2U);
  EXPECT_EQ(batch.records[0].code, ResultCode::kCorruptRecord);
  EXPECT_EQ(batch.records[1].offset, LogOffset(2));
  EXPECT_NE(batch.records[1].record, nullptr);
  EXPECT_TRUE(batch.is_at_tail());
  EXPECT_EQ(batch.read_at, ManualClock::now());
}

// Guards against a view that counts as fresh while the log does not answer.
TEST_F(LogFollowerTest, Poll_WhenLogIsDown_DeliversNothing) {
  log_.SetReadFault(true);
  EXPECT_FALSE(Poll());
  EXPECT_TRUE(batches_.empty());
}

// Guards against a follower that retries the same read for ever although the answer exceeds the
// client's size limit, as 277 chunks of 64 KB in one read did.
TEST_F(LogFollowerTest, Poll_WhenAnswersAreTooLarge_ReadsFewerRecordsAtATime) {
  for (int n = 0; n < 10; ++n) {
    Add(JobStarted{JobId(1), 1});
  }
  log_.SetMaxRead(3);
  for (int n = 0; n < 100 && (batches_.empty() || !batches_.back().is_at_tail()); ++n) {
    (void)Poll();
  }
  ASSERT_FALSE(batches_.empty());
  EXPECT_EQ(batches_.back().read_to, LogOffset(10));
}

// Guards against a new instance that cannot start once the first records have expired.
TEST_F(LogFollowerTest, Poll_WhenRecordsExpired_RestoresSnapshotAndContinuesAfterIt) {
  AddCluster();
  const LogOffset covered = state_.applied_offset();
  const std::vector<std::string> snapshot = SnapshotPayloads("s1");
  Add(testing_support::Submit("key", 1));
  for (const std::string& it : snapshot) {
    log_.Add(it);
  }
  log_.ExpireBelow(covered.value() + 1);
  while (batches_.size() < 2) {
    ASSERT_TRUE(Poll());
  }
  ASSERT_NE(batches_[0].restored, nullptr);
  EXPECT_EQ(batches_[0].restored->applied_offset(), covered);
  ASSERT_FALSE(batches_[1].records.empty());
  EXPECT_EQ(batches_[1].records[0].offset, LogOffset(covered.value() + 1));
  EXPECT_TRUE(batches_[1].is_at_tail());
}

// Guards against restoring a snapshot that its writer did not finish or that is damaged.
TEST_F(LogFollowerTest, Poll_WithTornSnapshot_WaitsForAWholeOne) {
  AddCluster();
  std::string damaged = SnapshotPayloads("s1").back();
  damaged.replace(damaged.find("10.0.0"), 1, "7");
  log_.Add(damaged);
  log_.ExpireBelow(state_.applied_offset().value() + 1);
  ASSERT_TRUE(Poll());
  ASSERT_TRUE(Poll());
  EXPECT_TRUE(follower_.is_searching());
  EXPECT_TRUE(batches_.empty());
  AddSnapshot("s2");
  ASSERT_TRUE(Poll());
  ASSERT_EQ(batches_.size(), 1U);
  EXPECT_NE(batches_[0].restored, nullptr);
}

// Guards against a gap between a snapshot and the oldest retained record.
TEST_F(LogFollowerTest, Poll_WithSnapshotBelowExpiredRecords_DoesNotUseIt) {
  AddCluster();
  const std::vector<std::string> snapshot = SnapshotPayloads("s1");
  Add(testing_support::Submit("a", 1));
  Add(testing_support::Submit("b", 1));
  const LogOffset expired = state_.applied_offset();
  for (const std::string& it : snapshot) {
    log_.Add(it);
  }
  log_.ExpireBelow(expired.value());
  ASSERT_TRUE(Poll());
  ASSERT_TRUE(Poll());
  EXPECT_TRUE(batches_.empty());
}

}  // namespace
}  // namespace clementineloom::platform
