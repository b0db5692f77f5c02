#pragma once

#include <compare>
#include <cstddef>

#include "scheduler/member_action.h"

namespace clementineloom::scheduler {

/// @brief A command to send to one gang member of an attempt. An immutable value.
struct MemberCommand {
  std::size_t member = 0;
  MemberAction action = MemberAction::kNone;

  friend auto operator<=>(const MemberCommand&, const MemberCommand&) = default;
};

}  // namespace clementineloom::scheduler
