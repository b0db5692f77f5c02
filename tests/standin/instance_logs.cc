#include "standin/instance_logs.h"

#include <log4cxx/logger.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <fstream>

namespace clementineloom::standin {
namespace {

std::string UtcText(std::int64_t unix_ms) {
  constexpr std::int64_t kMsPerSecond = 1'000;
  const std::time_t seconds = unix_ms / kMsPerSecond;
  std::tm utc{};
  gmtime_r(&seconds, &utc);
  std::array<char, 32> text{};
  const std::size_t size = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &utc);
  std::string ms = std::to_string(unix_ms % kMsPerSecond);
  ms.insert(0, 3 - ms.size(), '0');
  return std::string(text.data(), size) + ms + "Z";
}

}  // namespace

InstanceLogs::InstanceLogs(const SimWorld& world, const std::string& name)
    : world_(world),
      folder_(std::filesystem::temp_directory_path() /
              ("loom-" + name + "-" + std::to_string(getpid()))),
      former_level_(log4cxx::Logger::getRootLogger()->getLevel()),
      sink_(std::make_shared<LogSink>(
          [this](const std::string& level, const std::string& event) { Write(level, event); })) {
  std::filesystem::create_directories(folder_);
  log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
  log4cxx::Logger::getRootLogger()->addAppender(sink_);
}

InstanceLogs::~InstanceLogs() {
  log4cxx::Logger::getRootLogger()->removeAppender(sink_);
  log4cxx::Logger::getRootLogger()->setLevel(former_level_);
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

void InstanceLogs::Write(const std::string& level, const std::string& event) const {
  std::ofstream file(folder_ / (world_.running_instance() + ".log"), std::ios::app);
  file << "time=" << UtcText(world_.unix_now_ms()) << " level=" << level << " " << event << "\n";
}

}  // namespace clementineloom::standin
