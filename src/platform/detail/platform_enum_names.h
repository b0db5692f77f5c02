#pragma once

#include <array>
#include <string_view>

#include "codec/detail/enum_names.h"
#include "platform/instance_role.h"
#include "platform/instance_state.h"
#include "platform/task_state.h"

namespace clementineloom::codec::detail {

template <>
struct EnumNames<platform::TaskState> {
  static constexpr std::array<std::string_view, 7> kNames{
      "reserved", "running", "succeeded", "failed", "stopped", "lapsed", "lease_expired"};
};

template <>
struct EnumNames<platform::InstanceRole> {
  static constexpr std::array<std::string_view, 2> kNames{"worker", "entry"};
};

template <>
struct EnumNames<platform::InstanceState> {
  static constexpr std::array<std::string_view, 2> kNames{"live", "leaving"};
};

}  // namespace clementineloom::codec::detail
