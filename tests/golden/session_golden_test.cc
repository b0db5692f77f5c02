#include <gtest/gtest.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "golden/session_runner.h"

namespace clementineloom::golden {
namespace {

std::vector<std::string> SessionNames() {
  std::vector<std::string> names;
  for (const auto& it :
       std::filesystem::directory_iterator(std::string(SOURCE_DIR) + "/tests/golden/sessions")) {
    names.push_back(it.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}

// Session files: lines that begin with "> " are commands and lines that begin with "#" are
// comments; all others are the output of the preceding command.
class SessionGoldenTest : public testing::TestWithParam<std::string> {
 protected:
  static std::string PathOf(const std::string& name) {
    return std::string(SOURCE_DIR) + "/tests/golden/sessions/" + name + ".session";
  }

  static std::vector<std::string> ReadLines(const std::string& path) {
    std::ifstream file(path);
    std::vector<std::string> lines;
    for (std::string it; std::getline(file, it);) {
      lines.push_back(it);
    }
    return lines;
  }

  static std::vector<std::string> Rerun(const std::vector<std::string>& session) {
    SessionRunner runner;
    std::vector<std::string> lines;
    for (const std::string& line : session) {
      const bool is_command = line.starts_with("> ");
      if (is_command || line.starts_with("#")) {
        lines.push_back(line);
      }
      if (is_command) {
        std::istringstream output(runner.Run(line.substr(2)));
        for (std::string it; std::getline(output, it);) {
          lines.push_back(it);
        }
      }
    }
    return lines;
  }

  static void Write(const std::string& path, const std::vector<std::string>& lines) {
    std::ofstream file(path);
    for (const std::string& it : lines) {
      file << it << "\n";
    }
  }

  // The first difference with its context.
  static std::string Difference(const std::vector<std::string>& expected,
                                const std::vector<std::string>& actual) {
    std::size_t n = 0;
    while (n < expected.size() && n < actual.size() && expected[n] == actual[n]) {
      ++n;
    }
    std::ostringstream out;
    out << "line " << n + 1 << "\n";
    for (std::size_t k = n < 3 ? 0 : n - 3; k < n; ++k) {
      out << "  " << expected[k] << "\n";
    }
    for (std::size_t k = n; k < std::min(n + 5, expected.size()); ++k) {
      out << "- " << expected[k] << "\n";
    }
    for (std::size_t k = n; k < std::min(n + 5, actual.size()); ++k) {
      out << "+ " << actual[k] << "\n";
    }
    return out.str();
  }
};

// Guards against unintended changes to the output of complete sessions of callers and operators,
// including recovery by replay. scripts/update_golden rewrites the files.
TEST_P(SessionGoldenTest, Rerun_OfSession_GivesSameText) {
  const std::string path = PathOf(GetParam());
  const std::vector<std::string> expected = ReadLines(path);
  const std::vector<std::string> actual = Rerun(expected);
  if (std::getenv("CLEMENTINELOOM_UPDATE_GOLDEN") != nullptr) {
    Write(path, actual);
    return;
  }
  EXPECT_TRUE(expected == actual) << Difference(expected, actual);
}

INSTANTIATE_TEST_SUITE_P(Sessions, SessionGoldenTest, testing::ValuesIn(SessionNames()),
                         [](const auto& it) {
                           std::string name = it.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

}  // namespace
}  // namespace clementineloom::golden
