#pragma once

#include <concepts>

#include "clementineloom/errors/result.h"
#include "platform/instance_list.h"

namespace clementineloom::scheduler {

/// @brief Access to the platform's instance list; a call blocks the calling duty.
template <class T>
concept InstanceListSource = requires(T source) {
  { source.Fetch() } -> std::same_as<Result<platform::InstanceList>>;
};

}  // namespace clementineloom::scheduler
