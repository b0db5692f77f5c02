#include <gtest/gtest.h>
#include <unistd.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "ctl/loomctl.h"

namespace clementineloom::ctl {
namespace {

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kAccepted =
    "time=2026-12-05T13:00:00.100Z level=INFO event=job_accepted job=00000000000000a1 "
    "answers=caller\n";
constexpr const char* kEnded =
    "time=2026-12-05T13:00:01.100Z level=INFO event=job_ended job=00000000000000a1 state=2\n";
constexpr const char* kLeftOut =
    "time=2026-12-05T13:00:00.500Z level=INFO event=request_refused path=/q/00000000000000b7 "
    "code=5001 left_out=34\n";

constexpr const char* kDropped =
    "time=2026-12-05T13:00:00.700Z level=INFO event=log_lines_dropped lines=17 warnings=0 errors=0 "
    "detail=\"Discarded 17 lines because the buffer was full\" "
    "most_severe=\"event=job_accepted job=00000000000000b7 answers=caller\"\n";

class TraceVerbTest : public testing::Test {
 protected:
  TraceVerbTest() { std::filesystem::create_directory(folder_); }
  ~TraceVerbTest() override { std::filesystem::remove_all(folder_); }

  std::string File(const std::string& name, const std::string& text) {
    std::string path = folder_ / name;
    std::ofstream(path, std::ios::binary) << text;
    return path;
  }
  ExitCode Run(std::vector<std::string> words) {
    words.insert(words.begin(), "trace");
    out_.str("");
    err_.str("");
    return RunLoomctl(std::move(words), out_, err_);
  }

  const std::filesystem::path folder_ =
      std::filesystem::temp_directory_path() / ("loom-trace-verb-" + std::to_string(getpid()));
  std::ostringstream out_;
  std::ostringstream err_;
};

// Guards against a timeline in the order of the files, and damaged lines that are not told.
TEST_F(TraceVerbTest, Trace_OfSeveralFiles_JoinsThemByTime) {
  const std::string late = File("e1.log", std::string(kEnded) + "time=2026-12-05T13:0");
  const std::string early = File("e0.log", std::string("\xff\xfe\n") + kAccepted);
  ASSERT_EQ(Run({kJob, "--logs", late, early, "--json"}), ExitCode::kOk) << err_.str();
  const auto report = boost::json::parse(out_.str()).as_object();
  EXPECT_EQ(report.at("outcome"), "completed");
  EXPECT_EQ(report.at("instance"), "e1");
  EXPECT_EQ(report.at("lines").at(0).at("event"), "job_accepted");
  EXPECT_EQ(report.at("lines").at(0).at("instance"), "e0");
  EXPECT_EQ(report.at("lines").at(1).at("event"), "job_ended");
  EXPECT_EQ(report.at("files").at(0).at("skipped"), 1);
  EXPECT_EQ(report.at("files").at(1).at("skipped"), 1);
}

// Guards against a summary that does not name instance, time and line.
TEST_F(TraceVerbTest, Trace_WithoutJson_ShowsTheSummary) {
  const std::string file = File("e0.log", std::string(kAccepted) + kEnded);
  ASSERT_EQ(Run({kJob, "--logs", file}), ExitCode::kOk) << err_.str();
  EXPECT_NE(out_.str().find("\n>  2026-12-05T13:00:01.100Z  e0"), std::string::npos) << out_.str();
  EXPECT_NE(out_.str().find("job 00000000000000a1: completed, decided on e0 at "
                            "2026-12-05T13:00:01.100Z (job_ended)"),
            std::string::npos)
      << out_.str();
}

// Guards against a table that shows a value with quotes or control bytes otherwise than the log.
TEST_F(TraceVerbTest, Trace_OfAValueWithQuotes_ShowsItAsTheLog) {
  const std::string detail = R"(detail="a \"b\" = \\ \x0a" reason="")";
  const std::string file = File("e0.log",
                                "time=2026-12-05T13:00:00.100Z level=INFO event=request_refused "
                                "path=/q/00000000000000a1 code=5001 " +
                                    detail + "\n");
  ASSERT_EQ(Run({kJob, "--logs", file}), ExitCode::kOk) << err_.str();
  EXPECT_NE(out_.str().find(detail), std::string::npos) << out_.str();
}

// Guards against ids that instances accept and the tool does not.
TEST_F(TraceVerbTest, Trace_OfAnIdInUpperCase_FindsItsLines) {
  const std::string file = File("e0.log",
                                "time=2026-12-05T13:00:01.100Z level=INFO event=job_ended "
                                "job=00000000000000A1 state=2\n");
  EXPECT_EQ(Run({"00000000000000A1", "--logs", file}), ExitCode::kOk) << err_.str();
}

// Guards against a refused request, whose line was left out under load, that is taken for one that
// never arrived.
TEST_F(TraceVerbTest, Trace_OfAJobWithoutLines_TellsTheRefusalsLeftOut) {
  EXPECT_EQ(Run({kJob, "--logs", File("e0.log", kLeftOut)}), ExitCode::kRefused);
  EXPECT_NE(err_.str().find("3002 unknown_job"), std::string::npos) << err_.str();
  EXPECT_NE(err_.str().find("left out 34 lines"), std::string::npos) << err_.str();
}

// Guards against a gap in the logs of which the reader of a trace is not told.
TEST_F(TraceVerbTest, Trace_OfLogsWithDroppedLines_TellsTheirNumber) {
  const std::string file = File("e0.log", std::string(kAccepted) + kDropped + kDropped);
  ASSERT_EQ(Run({kJob, "--logs", file}), ExitCode::kOk) << err_.str();
  EXPECT_NE(out_.str().find(", 34 dropped by the instances"), std::string::npos) << out_.str();
  EXPECT_EQ(Run({"00000000000000b7", "--logs", file}), ExitCode::kRefused);
  EXPECT_NE(err_.str().find("lines of refusals and dropped 34 lines"), std::string::npos)
      << err_.str();
}

// Guards against a missing log that is taken for an empty one.
TEST_F(TraceVerbTest, Trace_OfAMissingFile_IsInvalidInput) {
  EXPECT_EQ(Run({kJob, "--logs", "/nonexistent.log"}), ExitCode::kInvalidInput);
}

// Guards against a shortened id, which would match nothing, or logs that were forgotten.
TEST_F(TraceVerbTest, Trace_WithoutIdOrLogs_IsWrongUsage) {
  EXPECT_EQ(Run({"a1", "--logs", File("e0.log", kAccepted)}), ExitCode::kUsage);
  EXPECT_EQ(Run({kJob}), ExitCode::kUsage);
}

}  // namespace
}  // namespace clementineloom::ctl
