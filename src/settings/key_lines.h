#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace clementineloom::settings {

/// @brief Maps every key path and list element of a JSON text with comments to its line.
///
/// Boost.JSON keeps no positions. The scanner tracks only keys, nesting and lines.
/// Precondition: Boost.JSON has parsed the text without an error.
class KeyLines {
 public:
  [[nodiscard]] static KeyLines Of(std::string_view text);

  /// @brief The line of a path such as "teams[1].name", or of its nearest parent that has one.
  [[nodiscard]] std::size_t LineOf(std::string path) const;

  /// @brief Paths of keys that an object has twice; the parser keeps only the last.
  [[nodiscard]] const std::vector<std::string>& duplicates() const { return duplicates_; }

 private:
  friend class KeyScanner;

  std::map<std::string, std::size_t> lines_;
  std::vector<std::string> duplicates_;
};

}  // namespace clementineloom::settings
