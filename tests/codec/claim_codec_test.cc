#include "codec/claim_codec.h"

#include <gtest/gtest.h>

#include <string>

#include "support/value_or_die.h"

namespace clementineloom {
namespace {

class ClaimCodecTest : public testing::Test {
 protected:
  static void ExpectRoundTrip(const ClaimRecord& record) {
    const std::string text = codec::EncodeClaimRecord("id-1", record);
    EXPECT_EQ(testing_support::ValueOrDie([&] { return codec::DecodeClaimRecord(text); }), record);
  }

  static ResultCode CodeOf(std::string_view text) {
    const auto refusal = RefusalOf([&] { return codec::DecodeClaimRecord(text); });
    return refusal ? refusal->code : ResultCode::kOk;
  }
};

// Guards against records that lose a field or that break on bytes that are not UTF-8.
TEST_F(ClaimCodecTest, Decode_OfEncodedRecord_ReturnsIt) {
  const std::string bytes("\xff\x00\"\n", 4);
  ExpectRoundTrip(RequestClaimed{"id-1", {"team", bytes}, "digest", "gw-1"});
  ExpectRoundTrip(RequestCompleted{"id-1", RunState::kRan,
                                   StoredAnswer{201, {{"Content-Type", "text/plain"}}, bytes}});
  ExpectRoundTrip(RequestCompleted{"id-1", RunState::kMayHaveRun, std::nullopt});
  ExpectRoundTrip(RequestReleased{"id-1"});
}

// Guards against a malformed record that terminates the reading thread or gets a wrong error code.
TEST_F(ClaimCodecTest, Decode_OfMalformedRecord_IsRefusedWithItsCode) {
  EXPECT_EQ(CodeOf("{"), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf(R"({"v":1,"id":"a","type":"other"})"), ResultCode::kCorruptRecord);
  EXPECT_EQ(CodeOf(R"({"v":2,"id":"a","type":"other"})"), ResultCode::kNewerSchema);
  EXPECT_EQ(CodeOf(R"({"v":1,"id":"a","type":"request_claimed","team":"t","key":"0",)"
                   R"("digest":"d","gateway":"g"})"),
            ResultCode::kCorruptRecord);
}

}  // namespace
}  // namespace clementineloom
