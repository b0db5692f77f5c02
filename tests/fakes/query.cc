#include "fakes/query.h"

#include <charconv>

namespace clementineloom::fakes {

std::string_view PathOf(std::string_view target) { return target.substr(0, target.find('?')); }

std::optional<std::string_view> QueryText(std::string_view target, std::string_view key) {
  std::string_view rest = target.substr(PathOf(target).size());
  while (!rest.empty()) {
    rest.remove_prefix(1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    rest.remove_prefix(pair.size());
    const std::size_t n = pair.find('=');
    if (n != std::string_view::npos && pair.substr(0, n) == key) {
      return pair.substr(n + 1);
    }
  }
  return std::nullopt;
}

std::uint64_t QueryNumber(std::string_view target, std::string_view key, std::uint64_t fallback) {
  std::uint64_t number = fallback;
  if (const auto digits = QueryText(target, key)) {
    std::from_chars(digits->data(), digits->data() + digits->size(), number);
  }
  return number;
}

}  // namespace clementineloom::fakes
