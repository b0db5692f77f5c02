#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/routing/answer_header.h"

namespace clementineloom {

/// @brief The first answer to a claimed request, returned to duplicates. An immutable value.
struct StoredAnswer {
  int status = 200;
  std::vector<AnswerHeader> headers;
  std::string body;

  friend auto operator<=>(const StoredAnswer&, const StoredAnswer&) = default;
};

}  // namespace clementineloom
