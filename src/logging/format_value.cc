#include "logging/format_value.h"

#include <algorithm>

namespace clementineloom::logging {
namespace {

bool NeedsQuotes(std::string_view value) {
  return value.empty() || std::ranges::any_of(value, [](unsigned char c) {
           return c <= ' ' || c == '"' || c == '=' || c == '\\' || c == 0x7f;
         });
}

void AppendEscaped(std::string& line, unsigned char c) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  if (c == '"' || c == '\\') {
    line += '\\';
    line += static_cast<char>(c);
  } else if (c < ' ' || c == 0x7f) {
    line += "\\x";
    line += kHexDigits[c >> 4U];
    line += kHexDigits[c & 0xfU];
  } else {
    line += static_cast<char>(c);
  }
}

}  // namespace

void AppendValue(std::string& line, std::string_view value) {
  if (!NeedsQuotes(value)) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    AppendEscaped(line, static_cast<unsigned char>(c));
  }
  line += '"';
}

}  // namespace clementineloom::logging
