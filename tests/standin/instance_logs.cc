#include "standin/instance_logs.h"

#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <utility>

#include "logging/format_line.h"

namespace clementineloom::standin {

InstanceLogs::InstanceLogs(const SimWorld& world, const std::string& name)
    : world_(world),
      folder_(std::filesystem::temp_directory_path() /
              ("loom-" + name + "-" + std::to_string(getpid()))),
      former_route_(logging::ExchangeRoute(std::make_shared<logging::LogRoute>(logging::LogRoute{
          logging::LogLevel::kInfo, [this](const logging::LogLine& line) { Write(line); }}))) {
  std::filesystem::create_directories(folder_);
}

InstanceLogs::~InstanceLogs() {
  logging::ExchangeRoute(former_route_);
  std::filesystem::remove_all(folder_);
}

std::vector<std::string> InstanceLogs::Files() const {
  std::vector<std::string> files;
  for (const auto& it : std::filesystem::directory_iterator(folder_)) {
    files.push_back(it.path());
  }
  std::ranges::sort(files);
  return files;
}

void InstanceLogs::Write(const logging::LogLine& line) const {
  const logging::LogLine::Time now{std::chrono::milliseconds(world_.unix_now_ms())};
  std::ofstream file(folder_ / (world_.running_instance() + ".log"), std::ios::app);
  file << logging::FormatLine({line.level(), now, line.event()}) << "\n";
}

}  // namespace clementineloom::standin
