#include "ctl/trace/parse_instance_log.h"

#include <algorithm>
#include <cstddef>
#include <filesystem>
#include <utility>

#include "ctl/trace/parse_log_line.h"

namespace clementineloom::ctl::trace {
namespace {

bool IsStart(const LogLine& line) {
  return line.event == "started" && !line.Field("instance").empty();
}

void NameInstances(InstanceLog& log) {
  const auto first_start = std::ranges::find_if(log.lines, IsStart);
  std::string instance = first_start == log.lines.end()
                             ? std::filesystem::path(log.file).stem().string()
                             : std::string(first_start->Field("instance"));
  for (LogLine& it : log.lines) {
    if (IsStart(it)) {
      instance = it.Field("instance");
    }
    if (it.instance.empty()) {
      it.instance = instance;
    }
  }
}

}  // namespace

InstanceLog ParseInstanceLog(const std::string& file, std::string_view text) {
  InstanceLog log;
  log.file = file;
  while (!text.empty()) {
    const std::size_t end = text.find('\n');
    if (end == std::string_view::npos) {
      ++log.skipped;
      break;
    }
    auto line = ParseLogLine(text.substr(0, end));
    text.remove_prefix(end + 1);
    if (line) {
      log.lines.push_back(std::move(*line));
    } else {
      ++log.skipped;
    }
  }
  NameInstances(log);
  return log;
}

}  // namespace clementineloom::ctl::trace
