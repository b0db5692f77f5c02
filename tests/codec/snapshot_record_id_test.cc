#include <cstdint>
#include <map>
#include <string>

#include "clementineloom/state/cluster_state.h"
#include "codec/state_image_codec.h"
#include "decision/cluster_fixture.h"

namespace clementineloom::codec {
namespace {

class SnapshotRecordIdTest : public testing_support::ClusterFixture {
 protected:
  // A record that is refused by every state, but whose id counts as seen.
  static Record RecordOf(const std::string& id) { return Record{id, JobStarted{JobId(1), 1}}; }

  // A state that has seen a record with the given hash of its id, from a snapshot.
  static ClusterState StateWith(std::uint64_t hash) {
    const std::string text =
        R"({"applied_offset":1,"config_revision":0,"guarantee_epoch":0,"teams":[],)"
        R"("data_centres":[],"racks":[],"workers":[],"jobs":[],"ended_jobs":[],"record_ids":[)" +
        std::to_string(hash) + "]}";
    const StateImage image = testing_support::ValueOrDie([&] { return DecodeStateImage(text); });
    return testing_support::ValueOrDie([&] { return ClusterState::Restore(image); });
  }

  // MurmurHash64A with the seed 0xc70f6907, computed apart from this code.
  const std::map<std::string, std::uint64_t> hashes_{{"", 0x553e93901e462a6e},
                                                     {"a", 0x454ddee488c1ed6b},
                                                     {"1234567", 0x6d7a4e79e8a2cbf6},
                                                     {"12345678", 0x8c5b90a33a04dca5},
                                                     {"entry-1/5f0c/d42", 0xe073f90f5275e803},
                                                     {"\xff\x80zz0123456", 0xc64a5590d94969c9}};
};

// Guards against ids whose hashes depend on the standard library or the machine: a replica on
// another one would apply a record again that a snapshot contains.
TEST_F(SnapshotRecordIdTest, Image_AfterRecord_HoldsDefinedHashOfItsId) {
  std::uint64_t offset = 0;
  for (const auto& [id, hash] : hashes_) {
    (void)state_.Apply(LogOffset(++offset), RecordOf(id));
    EXPECT_EQ(state_.ToImage().fields().record_ids.back(), hash) << id;
  }
}

// Guards against snapshots of earlier versions whose ids are no longer recognised.
TEST_F(SnapshotRecordIdTest, Apply_OfRecordInSnapshot_IsRefusedAsDuplicate) {
  for (const auto& [id, hash] : hashes_) {
    ClusterState state = StateWith(hash);
    EXPECT_EQ(state.Apply(LogOffset(2), RecordOf(id)).code(), ResultCode::kDuplicateRecord) << id;
  }
}

}  // namespace
}  // namespace clementineloom::codec
