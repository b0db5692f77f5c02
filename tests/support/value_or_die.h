#pragma once

#include <cstdio>
#include <cstdlib>
#include <optional>
#include <string>
#include <type_traits>
#include <utility>

#include "clementineloom/errors/result.h"
#include "clementineloom/errors/result_code_table.h"

namespace clementineloom::testing_support {

/// @brief Returns the value of a Result that must not fail in a test; otherwise prints the refusal
/// and aborts.
template <class Operation>
[[nodiscard]] auto ValueOrDie(Operation&& operation) {
  using Value = std::remove_cvref_t<decltype(operation().value())>;
  std::optional<Value> value;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(created, operation());
    value.emplace(std::move(created));
    return {};
  });
  if (refusal) {
    std::fprintf(stderr, "unexpected refusal %s: %s\n",
                 std::string(ResultCodeName(refusal->code)).c_str(), refusal->detail.c_str());
    std::abort();
  }
  return std::move(*value);
}

}  // namespace clementineloom::testing_support
