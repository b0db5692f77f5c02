#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

#include "clementineloom/errors/result_code_table.h"

namespace clementineloom {
namespace {

class ResultCodesDocTest : public testing::Test {
 protected:
  static std::string ReadPage() {
    std::ifstream file(std::string(SOURCE_DIR) + "/docs/result-codes.md");
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
  }
};

// Guards against a result code that is not documented.
TEST_F(ResultCodesDocTest, Page_ForEveryCode_HasItsRow) {
  const std::string page = ReadPage();
  for (const ResultCodeEntry& it : ResultCodeTable()) {
    const std::string row = "| " + std::to_string(static_cast<int>(it.code)) + " | `" +
                            std::string(it.name) + "` | " + std::string(it.meaning) + " |";
    EXPECT_NE(page.find(row), std::string::npos) << row;
  }
}

// Guards against a number that is used twice.
TEST_F(ResultCodesDocTest, Table_ByNumber_IsStrictlyAscending) {
  int last = -1;
  for (const ResultCodeEntry& it : ResultCodeTable()) {
    EXPECT_GT(static_cast<int>(it.code), last);
    last = static_cast<int>(it.code);
  }
}

}  // namespace
}  // namespace clementineloom
