#pragma once

#include <boost/json/value.hpp>
#include <string>

#include "settings/checked.h"
#include "settings/key_lines.h"

namespace clementineloom::settings {

/// @brief A parsed file with the lines of its keys.
struct Document {
  std::string file;
  boost::json::value root;
  KeyLines lines;

  /// @brief Creates a problem at a key path of this file.
  [[nodiscard]] Problem ProblemAt(ResultCode code, std::string field, std::string message) const;
};

/// @brief Reads a file of JSON with comments and trailing commas, whose root is an object.
/// Problems: kFileUnreadable, kMalformedDocument, kDuplicateId (an object has a key twice).
[[nodiscard]] Checked<Document> ReadDocument(const std::string& file);

}  // namespace clementineloom::settings
