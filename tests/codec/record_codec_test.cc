#include "codec/record_codec.h"

#include <gtest/gtest.h>

#include <optional>
#include <string>

#include "support/value_or_die.h"

namespace clementineloom::codec {
namespace {

using testing_support::ValueOrDie;

class RecordCodecTest : public testing::Test {
 protected:
  static Record PlacedRecord() {
    const Placement placement({.job = JobId(7),
                               .attempt = 2,
                               .kind = CapacityKind::kGuaranteed,
                               .guarantee_index = 1,
                               .guarantee_instance = 3,
                               .allocations = {Allocation(WorkerId(4), 8)}});
    return Record{"r1", JobsPlaced{LogOffset(6), {placement}}};
  }

  static std::optional<Refusal> DecodeRefusal(const std::string& text) {
    return RefusalOf([&] { return DecodeRecord(text); });
  }
};

// Guards against a field that is written under one name and read under another.
TEST_F(RecordCodecTest, Decode_OfEncoded_ReturnsEqualRecord) {
  const Record record = PlacedRecord();
  EXPECT_EQ(ValueOrDie([&] { return DecodeRecord(EncodeRecord(record)); }), record);
}

// Guards against applying a record whose meaning this build does not know.
TEST_F(RecordCodecTest, Decode_OfNewerSchema_IsRefusedAsNewer) {
  const auto refusal = DecodeRefusal(R"({"v":2,"id":"a","type":"job_started"})");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kNewerSchema);
}

// Guards against a corrupt record that is partly applied or terminates the process.
TEST_F(RecordCodecTest, Decode_OfMalformedText_IsRefusedAsCorrupt) {
  for (const char* text : {"", "[]", "{", R"({"v":1,"id":"a","type":"nonsense"})",
                           R"({"v":1,"id":"a","type":"job_started","job":-1,"attempt":1})"}) {
    const auto refusal = DecodeRefusal(text);
    ASSERT_TRUE(refusal) << text;
    EXPECT_EQ(refusal->code, ResultCode::kCorruptRecord) << text;
  }
}

}  // namespace
}  // namespace clementineloom::codec
