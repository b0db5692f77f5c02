#pragma once

#include <concepts>

#include "clementineloom/errors/result.h"
#include "platform/instance_list.h"

namespace clementineloom::gateway {

/// @brief Source of the platform's current instance list. Fetch blocks the calling duty.
template <class T>
concept InstanceListSource = requires(T source) {
  { source.Fetch() } -> std::same_as<Result<platform::InstanceList>>;
};

}  // namespace clementineloom::gateway
