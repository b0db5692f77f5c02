#include <gtest/gtest.h>

#include <algorithm>
#include <cctype>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <regex>
#include <set>
#include <string>

namespace clementineloom::entry {
namespace {

/// Compares the table of events in docs/logging.md with the log calls of the entry daemon.
class LoggingDocTest : public testing::Test {
 protected:
  struct Event {
    std::string level;
    std::set<std::string> fields;
  };
  using Events = std::map<std::string, Event>;

  static std::string Read(const std::filesystem::path& path) {
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), {}};
  }

  // The text from a position after an opening parenthesis to the closing one.
  static std::string CallAt(const std::string& source, std::size_t begin) {
    std::size_t end = begin;
    for (int depth = 1; depth > 0 && end < source.size(); ++end) {
      depth += source[end] == '(' ? 1 : 0;
      depth -= source[end] == ')' ? 1 : 0;
    }
    return source.substr(begin, end - begin);
  }

  static std::set<std::string> Matches(const std::string& text, const std::string& pattern) {
    const std::regex regex(pattern);
    std::set<std::string> found;
    for (std::sregex_iterator it(text.begin(), text.end(), regex), end; it != end; ++it) {
      found.insert((*it)[1]);
    }
    return found;
  }

  // Names and fields of a helper's events: the helper is called with the event's name, and
  // possibly with the name of a field after it.
  static void AddHelperEvents(const std::string& source, const Event& common, Events& events) {
    const std::regex call("\"([a-z]+_[a-z_]+)\", (?:\"([a-z]+)\")?");
    for (std::sregex_iterator it(source.begin(), source.end(), call), end; it != end; ++it) {
      const std::string before = source.substr(0, static_cast<std::size_t>(it->position()));
      const bool is_direct = before.ends_with("Info, ") || before.ends_with("Warning, ") ||
                             before.ends_with("{") || before.ends_with("Error, ");
      if (is_direct) {
        continue;
      }
      Event event = common;
      if ((*it)[2].matched) {
        event.fields.insert((*it)[2]);
      }
      events[(*it)[1]] = event;
    }
  }

  static void AddEvents(const std::string& source, Events& events) {
    const std::string call_begin = "LogEvent(";
    for (std::size_t n = source.find(call_begin); n != std::string::npos;
         n = source.find(call_begin, n + 1)) {
      const std::string call = CallAt(source, n + call_begin.size());
      const std::string head = call.substr(0, call.find('{'));
      Event event{*Matches(head, "LogLevel::k([A-Za-z]+)").begin(),
                  Matches(call, "\\{\"([a-z_]+)\",")};
      event.level[0] = static_cast<char>(std::tolower(event.level[0]));
      const auto names = Matches(head, "\"([a-z_]+)\"");
      for (const std::string& it : names) {
        events[it] = event;
      }
      if (names.empty()) {
        AddHelperEvents(source, event, events);
      }
    }
  }

  static Events EventsOfTheCode() {
    const std::filesystem::path root(SOURCE_DIR);
    Events events;
    for (const char* folder : {"src/entry", "platform"}) {
      for (const auto& it : std::filesystem::recursive_directory_iterator(root / folder)) {
        if (it.path().extension() == ".h" || it.path().extension() == ".cc") {
          AddEvents(Read(it.path()), events);
        }
      }
    }
    return events;
  }

  // Rows "| `EVENT` | LEVEL | `FIELD` UNIT, ... | WHEN |".
  static Events EventsOfThePage() {
    const std::string page = Read(std::filesystem::path(SOURCE_DIR) / "docs/logging.md");
    const std::regex row("\n\\| `([a-z_]+)` \\| ([a-z]+) \\| ([^|]*) \\| [^|]+ \\|");
    Events events;
    for (std::sregex_iterator it(page.begin(), page.end(), row), end; it != end; ++it) {
      events[(*it)[1]] = {(*it)[2], Matches((*it)[3], "`([a-z_]+)`")};
    }
    return events;
  }

  static std::string ToText(const Events& events) {
    std::string text;
    for (const auto& [name, event] : events) {
      text += name + " " + event.level;
      for (const std::string& it : event.fields) {
        text += " " + it;
      }
      text += "\n";
    }
    return text;
  }
};

// Guards against an event that the page lacks, describes with other fields or another level, or
// describes although the daemon no longer logs it.
TEST_F(LoggingDocTest, Page_Table_HasTheEventsOfTheCode) {
  const Events code = EventsOfTheCode();
  EXPECT_GE(code.size(), 50U);
  EXPECT_EQ(ToText(EventsOfThePage()), ToText(code));
}

}  // namespace
}  // namespace clementineloom::entry
