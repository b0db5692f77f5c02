#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <string>

namespace clementineloom {
namespace {

namespace fs = std::filesystem;

// A copy of scripts/check_lint in a repository of three sources and two headers. Its clang-tidy
// prints the source and fails where the source contains "finding".
class LintScriptTest : public testing::Test {
 protected:
  LintScriptTest() {
    fs::create_directories(root_ / "bin");
    WriteFile("bin/clang-tidy-14",
              "#!/bin/sh\n"
              "status=0\n"
              "for argument; do\n"
              "  case $argument in *.cc) echo \"read $argument\"; grep -q finding $argument && "
              "status=1;; esac\n"
              "done\n"
              "exit $status\n");
    fs::permissions(root_ / "bin/clang-tidy-14", fs::perms::owner_all);
    fs::create_directories(root_ / "scripts");
    fs::copy_file(fs::path(SOURCE_DIR) / "scripts/check_lint", root_ / "scripts/check_lint");
    WriteFile("src/net/inner.h", "#pragma once\n");
    WriteFile("src/net/outer.h", "#pragma once\n#include \"net/inner.h\"\n");
    WriteFile("src/net/direct.cc", "#include \"net/inner.h\"\n");
    WriteFile("tests/net/indirect_test.cc", "#include \"net/outer.h\"\n");
    WriteFile("platform/other.cc", "\n");
    Shell("git init -q && git add . && git -c user.name=t -c user.email=t@example commit -q -m t");
  }
  ~LintScriptTest() override { fs::remove_all(root_); }
  LintScriptTest(const LintScriptTest&) = delete;
  LintScriptTest& operator=(const LintScriptTest&) = delete;

  void WriteFile(const std::string& path, const std::string& text) {
    fs::create_directories((root_ / path).parent_path());
    std::ofstream(root_ / path) << text;
  }

  // Runs the script with arguments and keeps its output. Returns its wait status.
  int Run(const std::string& arguments) { return Shell("scripts/check_lint " + arguments); }

  // Runs the script with a cache of verdicts and a compile command for one source.
  int RunWithCache() {
    const std::string source = (root_ / "src/net/direct.cc").string();
    WriteFile("build/check/compile_commands.json",
              "[\n{\n  \"directory\": \".\",\n  \"command\": \"c++ -I" + (root_ / "src").string() +
                  " -o direct.o -c " + source + "\",\n  \"file\": \"" + source + "\"\n}\n]\n");
    return Shell("CLEMENTINELOOM_LINT_CACHE=$PWD/cache scripts/check_lint");
  }

  [[nodiscard]] bool HasRead(const std::string& source) const {
    return output_.find("read " + source + "\n") != std::string::npos;
  }

  std::string output_;

 private:
  int Shell(const std::string& command) {
    output_.clear();
    const std::string line = "cd " + root_.string() + " && PATH=" + (root_ / "bin").string() +
                             ":$PATH && (" + command + ") 2>&1";
    std::FILE* pipe = popen(line.c_str(), "r");
    if (pipe == nullptr) {
      return -1;
    }
    std::array<char, 4096> buf{};
    while (std::fgets(buf.data(), buf.size(), pipe) != nullptr) {
      output_ += buf.data();
    }
    return pclose(pipe);
  }

  const fs::path root_ =
      fs::temp_directory_path() / ("loom-lint-script-" + std::to_string(getpid()));
};

// Guards against a source that CI does not read.
TEST_F(LintScriptTest, Run_WithoutBase_ReadsEverySource) {
  EXPECT_EQ(Run(""), 0) << output_;
  EXPECT_TRUE(HasRead("src/net/direct.cc")) << output_;
  EXPECT_TRUE(HasRead("tests/net/indirect_test.cc")) << output_;
  EXPECT_TRUE(HasRead("platform/other.cc")) << output_;
}

// Guards against a finding that the script reports as success because other sources are clean.
TEST_F(LintScriptTest, Run_WithFindingInOneSource_ReadsTheOthersAndFails) {
  WriteFile("src/net/direct.cc", "finding\n");
  EXPECT_NE(Run(""), 0) << output_;
  EXPECT_EQ(output_.find("lint: clean"), std::string::npos) << output_;
  EXPECT_TRUE(HasRead("tests/net/indirect_test.cc")) << output_;
  EXPECT_TRUE(HasRead("platform/other.cc")) << output_;
}

// Guards against a changed header whose findings are seen only in sources that include it
// indirectly.
TEST_F(LintScriptTest, Run_WithChangedHeader_ReadsAllThatIncludeIt) {
  WriteFile("src/net/inner.h", "#pragma once\n// Changed.\n");
  EXPECT_EQ(Run("--changed HEAD"), 0) << output_;
  EXPECT_TRUE(HasRead("src/net/direct.cc")) << output_;
  EXPECT_TRUE(HasRead("tests/net/indirect_test.cc")) << output_;
  EXPECT_FALSE(HasRead("platform/other.cc")) << output_;
}

// Guards against a new source that is not read before it is committed.
TEST_F(LintScriptTest, Run_WithNewSource_ReadsOnlyIt) {
  WriteFile("src/net/fresh.cc", "\n");
  EXPECT_EQ(Run("--changed HEAD"), 0) << output_;
  EXPECT_TRUE(HasRead("src/net/fresh.cc")) << output_;
  EXPECT_FALSE(HasRead("src/net/direct.cc")) << output_;
}

// Guards against new rules that are applied to changed sources only.
TEST_F(LintScriptTest, Run_WithChangedRules_ReadsEverySource) {
  WriteFile(".clang-tidy", "Checks: '*'\n");
  EXPECT_EQ(Run("--changed HEAD"), 0) << output_;
  EXPECT_TRUE(HasRead("platform/other.cc")) << output_;
}

// Guards against a run that reads again what has not changed.
TEST_F(LintScriptTest, Run_WithAVerdictForTheSameContent_DoesNotReadTheSource) {
  EXPECT_EQ(RunWithCache(), 0) << output_;
  EXPECT_TRUE(HasRead("src/net/direct.cc")) << output_;
  EXPECT_EQ(RunWithCache(), 0) << output_;
  EXPECT_FALSE(HasRead("src/net/direct.cc")) << output_;
  EXPECT_TRUE(HasRead("platform/other.cc")) << output_;
}

// Guards against a verdict that outlives a change of a header, of a comment that silences a
// finding, or of the rules.
TEST_F(LintScriptTest, Run_AfterAChangeOfWhatIsRead_ReadsTheSourceAgain) {
  EXPECT_EQ(RunWithCache(), 0) << output_;
  WriteFile("src/net/inner.h", "#pragma once\n#define CHANGED 1\n");
  EXPECT_EQ(RunWithCache(), 0) << output_;
  EXPECT_TRUE(HasRead("src/net/direct.cc")) << output_;
  WriteFile("src/net/direct.cc", "#include \"net/inner.h\"\n// Changed.\n");
  EXPECT_EQ(RunWithCache(), 0) << output_;
  EXPECT_TRUE(HasRead("src/net/direct.cc")) << output_;
  WriteFile(".clang-tidy", "Checks: '*'\n");
  EXPECT_EQ(RunWithCache(), 0) << output_;
  EXPECT_TRUE(HasRead("src/net/direct.cc")) << output_;
}

// Guards against a finding that is reported once only.
TEST_F(LintScriptTest, Run_WithFindingTwice_FailsTwice) {
  WriteFile("src/net/direct.cc", "// finding\n");
  EXPECT_NE(RunWithCache(), 0) << output_;
  EXPECT_NE(RunWithCache(), 0) << output_;
}

// Guards against a mistyped commit that passes because no source differs from it.
TEST_F(LintScriptTest, Run_WithUnknownBase_Fails) {
  EXPECT_NE(Run("--changed no-such-commit"), 0) << output_;
  EXPECT_FALSE(HasRead("src/net/direct.cc")) << output_;
}

}  // namespace
}  // namespace clementineloom
