#pragma once

#include <compare>
#include <string_view>
#include <utility>
#include <vector>

#include "net/http_header.h"

namespace clementineloom::net {

/// @brief The header fields of a message in their order. An immutable value.
class HttpHeaders {
 public:
  HttpHeaders() = default;
  explicit HttpHeaders(std::vector<HttpHeader> fields) : fields_(std::move(fields)) {}

  /// @brief The first value under a name, or an empty view. Complexity: linear in the fields.
  [[nodiscard]] std::string_view Find(std::string_view name) const;

  /// @brief A copy with one more field.
  [[nodiscard]] HttpHeaders With(std::string_view name, std::string_view value) const;

  [[nodiscard]] const std::vector<HttpHeader>& fields() const { return fields_; }

  friend auto operator<=>(const HttpHeaders&, const HttpHeaders&) = default;

 private:
  std::vector<HttpHeader> fields_;
};

}  // namespace clementineloom::net
