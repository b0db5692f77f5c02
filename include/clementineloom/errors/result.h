#pragma once

#include <boost/leaf.hpp>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/errors/refusal.h"

namespace clementineloom {

/// @brief A value, or an error that carries a Refusal.
///
/// LEAF keeps a Refusal only while a handler scope is active: use CatchRefusal or RefusalOf where
/// the error is handled. To replace an error while propagating it, leave the scope first and then
/// call Refuse, because an error created inside a handler loses its Refusal.
template <class T>
using Result = boost::leaf::result<T>;

/// @brief Creates the error for a Result.
/// @param code stable number of the error; precondition: not kOk
/// @param detail names the field or object concerned
/// @param run_state whether the refused operation may have run
[[nodiscard]] inline boost::leaf::error_id Refuse(ResultCode code, std::string detail,
                                                  RunState run_state = RunState::kDidNotRun) {
  return boost::leaf::new_error(Refusal{code, run_state, std::move(detail)});
}

/// @brief Runs an operation that returns a Result and passes its refusal, if any, to a handler.
///
/// @param operation callable without parameters that returns Result<T>
/// @param on_refusal callable with const Refusal& that returns T
/// Thread safety: that of the two callables.
/// @code
/// int port = CatchRefusal([&] { return ParsePort(text); },
///                         [](const Refusal&) { return 0; });
/// @endcode
template <class Operation, class Handler>
[[nodiscard]] auto CatchRefusal(Operation&& operation, Handler&& on_refusal) {
  return boost::leaf::try_handle_all(
      std::forward<Operation>(operation),
      [&](const Refusal& refusal) { return on_refusal(refusal); },
      [&] {
        return on_refusal(
            Refusal{ResultCode::kInvalidValue, RunState::kMayHaveRun, "unknown error"});
      });
}

/// @brief Runs an operation and returns its refusal, or nullopt if it succeeded.
template <class Operation>
[[nodiscard]] std::optional<Refusal> RefusalOf(Operation&& operation) {
  return CatchRefusal(
      [&]() -> Result<std::optional<Refusal>> {
        BOOST_LEAF_CHECK(operation());
        return std::optional<Refusal>{};
      },
      [](const Refusal& refusal) { return std::optional<Refusal>{refusal}; });
}

}  // namespace clementineloom
