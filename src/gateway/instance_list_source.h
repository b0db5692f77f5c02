#pragma once

#include <concepts>

#include "clementineloom/errors/result.h"
#include "platform/instance_list.h"

namespace clementineloom::gateway {

/// @brief Gives the platform's instance list as it is now; blocks the duty that calls it.
template <class T>
concept InstanceListSource = requires(T source) {
  { source.Fetch() } -> std::same_as<Result<platform::InstanceList>>;
};

}  // namespace clementineloom::gateway
