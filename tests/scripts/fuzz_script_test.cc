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

// A copy of scripts/fuzz in a folder with a cmake that does nothing and with targets of the test.
class FuzzScriptTest : public testing::Test {
 protected:
  FuzzScriptTest() {
    fs::create_directories(root_ / "scripts");
    fs::create_directories(root_ / "bin");
    fs::create_directories(root_ / "build/fuzz/fuzz");
    fs::copy_file(fs::path(SOURCE_DIR) / "scripts/fuzz", root_ / "scripts/fuzz");
    WriteScript("bin/cmake", "exit 0");
  }
  ~FuzzScriptTest() override { fs::remove_all(root_); }
  FuzzScriptTest(const FuzzScriptTest&) = delete;
  FuzzScriptTest& operator=(const FuzzScriptTest&) = delete;

  void AddTarget(const std::string& subject, const std::string& command) {
    WriteScript("build/fuzz/fuzz/" + subject + "_fuzzer", command);
  }

  // Runs the script and keeps its output. Returns its wait status.
  int Run() {
    const std::string command = "PATH=" + (root_ / "bin").string() + ":$PATH " +
                                (root_ / "scripts/fuzz").string() + " 1 2>&1";
    std::FILE* pipe = popen(command.c_str(), "r");
    if (pipe == nullptr) {
      return -1;
    }
    std::array<char, 4096> buf{};
    while (std::fgets(buf.data(), buf.size(), pipe) != nullptr) {
      output_ += buf.data();
    }
    return pclose(pipe);
  }

  std::string output_;

 private:
  void WriteScript(const std::string& path, const std::string& command) {
    std::ofstream(root_ / path) << "#!/bin/sh\n" << command << "\n";
    fs::permissions(root_ / path, fs::perms::owner_all);
  }

  const fs::path root_ =
      fs::temp_directory_path() / ("loom-fuzz-script-" + std::to_string(getpid()));
};

// Guards against a crash found by a fuzzer that the script reports as success.
TEST_F(FuzzScriptTest, Run_WithFailingTarget_RunsTheOthersAndFails) {
  AddTarget("bad", "echo 'SUMMARY: AddressSanitizer: heap-use-after-free'; exit 77");
  AddTarget("good", "echo 'stat::number_of_executed_units: 5'");
  EXPECT_NE(Run(), 0) << output_;
  EXPECT_NE(output_.find("heap-use-after-free"), std::string::npos) << output_;
  EXPECT_NE(output_.find("number_of_executed_units: 5"), std::string::npos) << output_;
}

// Guards against a target that fails without a summary, for example one that cannot be started.
TEST_F(FuzzScriptTest, Run_WithTargetThatFailsSilently_Fails) {
  AddTarget("bad", "exit 1");
  EXPECT_NE(Run(), 0) << output_;
}

// Guards against a script that fails although all targets succeed, with or without a summary.
TEST_F(FuzzScriptTest, Run_WithSuccessfulTargets_Succeeds) {
  AddTarget("a", "echo 'stat::number_of_executed_units: 5'");
  AddTarget("b", "exit 0");
  EXPECT_EQ(Run(), 0) << output_;
}

}  // namespace
}  // namespace clementineloom
