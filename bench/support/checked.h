#pragma once

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <type_traits>
#include <utility>

#include "clementineloom/errors/result.h"

namespace clementineloom::bench {

/// @brief Returns the value of a Result that must not fail for benchmark constants; otherwise
/// exits.
template <class Operation>
[[nodiscard]] auto Checked(Operation&& operation) {
  using Value = std::remove_cvref_t<decltype(operation().value())>;
  std::optional<Value> value;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(created, operation());
    value.emplace(std::move(created));
    return {};
  });
  if (refusal) {
    std::fprintf(stderr, "benchmark input refused: %s\n", refusal->detail.c_str());
    std::exit(EXIT_FAILURE);
  }
  return std::move(*value);
}

}  // namespace clementineloom::bench
