#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace clementineloom::standin {

/// @brief The path and the parameters of a request's target, which has no escapes.
struct Query {
  std::string path;
  std::map<std::string, std::string> parameters;

  [[nodiscard]] static Query Of(std::string_view target) {
    Query query;
    const std::size_t mark = target.find('?');
    query.path = target.substr(0, mark);
    std::string_view rest = mark == std::string_view::npos ? "" : target.substr(mark + 1);
    while (!rest.empty()) {
      const std::string_view pair = rest.substr(0, rest.find('&'));
      const std::size_t equals = pair.find('=');
      query.parameters[std::string(pair.substr(0, equals))] = pair.substr(equals + 1);
      rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return query;
  }

  [[nodiscard]] std::string Text(const std::string& name) const {
    const auto it = parameters.find(name);
    return it == parameters.end() ? std::string() : it->second;
  }
  [[nodiscard]] std::uint64_t Number(const std::string& name) const {
    const std::string text = Text(name);
    return text.empty() ? 0 : std::stoull(text);
  }
};

}  // namespace clementineloom::standin
