#pragma once

#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "logging/log_route.h"
#include "standin/sim_world.h"

namespace clementineloom::standin {

/// @brief Writes the log of each instance of a SimWorld to a file of its own, in the daemon's
/// format and with the times of the world, while it exists.
///
/// Thread safety: none; only the thread of the world may log.
class InstanceLogs {
 public:
  /// @param world has to outlive this object
  /// @param name unique in the test program
  InstanceLogs(const SimWorld& world, const std::string& name);
  /// Removes the files.
  ~InstanceLogs();
  InstanceLogs(const InstanceLogs&) = delete;
  InstanceLogs& operator=(const InstanceLogs&) = delete;

  /// @brief Paths of the logs, "INSTANCE.log", of all instances that have logged something.
  [[nodiscard]] std::vector<std::string> Files() const;

 private:
  void Write(const logging::LogLine& line) const;

  const SimWorld& world_;
  const std::filesystem::path folder_;
  const std::shared_ptr<const logging::LogRoute> former_route_;
};

}  // namespace clementineloom::standin
