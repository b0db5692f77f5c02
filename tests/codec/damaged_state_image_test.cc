#include <optional>
#include <regex>
#include <string>

#include "clementineloom/state/cluster_state.h"
#include "codec/state_image_codec.h"
#include "decision/cluster_fixture.h"

namespace clementineloom::codec {
namespace {

// An image of one team with one placed job, in which one number is replaced.
class DamagedStateImageTest : public testing_support::ClusterFixture {
 protected:
  DamagedStateImageTest() {
    AddDataCentre("a", 1, 1);
    AddTeam("t", {Guarantee(Shape(2), 1)});
    const JobId job = Submit("t", Shape(2));
    (void)Apply(Placement({.job = job, .allocations = {Allocation(WorkerId(0), 2)}}));
    text_ = EncodeStateImage(state_.ToImage());
  }

  // The refusal of the image with the first match of the pattern replaced.
  [[nodiscard]] std::optional<Refusal> RefusalWith(const char* pattern,
                                                   const std::string& replacement) const {
    const std::string damaged = std::regex_replace(text_, std::regex(pattern), replacement,
                                                   std::regex_constants::format_first_only);
    EXPECT_NE(damaged, text_) << pattern;
    return RefusalOf([&] { return DecodeStateImage(damaged); });
  }

  std::string text_;
};

// Guards against a replica that starts with wrong cells of a guarantee from a damaged snapshot.
TEST_F(DamagedStateImageTest, Decode_WithUnreadableCell_IsRefused) {
  for (const char* number : {"-1", "0.5", "4294967296", "null", "\"1\""}) {
    EXPECT_TRUE(RefusalWith(R"("cells":\[\[\[\d+,)", R"("cells":[[[)" + std::string(number) + ","))
        << number;
    EXPECT_TRUE(
        RefusalWith(R"("cells":\[\[\[(\d+),\d+)", R"("cells":[[[$1,)" + std::string(number)))
        << number;
  }
}

// Guards against a job that holds accelerators of a wrong worker, or none, after a damaged
// snapshot.
TEST_F(DamagedStateImageTest, Decode_WithUnreadableAllocation_IsRefused) {
  for (const char* number : {"-1", "0.5", "4294967296", "null", "\"1\""}) {
    EXPECT_TRUE(
        RefusalWith(R"("allocations":\[\[\d+,)", R"("allocations":[[)" + std::string(number) + ","))
        << number;
    EXPECT_TRUE(RefusalWith(R"("allocations":\[\[(\d+),\d+)",
                            R"("allocations":[[$1,)" + std::string(number)))
        << number;
  }
  EXPECT_TRUE(RefusalWith(R"("allocations":\[\[(\d+),\d+)", R"("allocations":[[$1,65536)"));
}

}  // namespace
}  // namespace clementineloom::codec
