#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace clementineloom::scheduler {

/// @brief Generates the ids of the records that one duty of this process proposes.
///
/// Thread safety: none; each duty has its own.
class RecordIdSource {
 public:
  /// @param process unique for every start of a process, so that no id is ever used twice
  /// @param duty short name, unique within the process
  RecordIdSource(const std::string& process, const std::string& duty)
      : prefix_(process + "-" + duty + "-") {}

  [[nodiscard]] std::string Next() { return prefix_ + std::to_string(++last_); }

 private:
  std::string prefix_;
  std::uint64_t last_ = 0;
};

/// @brief Makes a name that no other start of any process has.
/// @param instance name of the instance
[[nodiscard]] std::string MakeProcessName(const std::string& instance);

}  // namespace clementineloom::scheduler
