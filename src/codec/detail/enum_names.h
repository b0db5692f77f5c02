#pragma once

#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/adjacency.h"
#include "clementineloom/model/capacity_kind.h"
#include "clementineloom/model/job_outcome.h"
#include "clementineloom/model/job_phase.h"
#include "clementineloom/model/job_priority.h"
#include "clementineloom/model/worker_condition.h"
#include "clementineloom/state/stop_reason.h"

namespace clementineloom::codec::detail {

/// @brief Names of the enumerators of E in JSON, in the order of their values.
template <class E>
struct EnumNames;

template <>
struct EnumNames<Adjacency> {
  static constexpr std::array<std::string_view, 3> kNames{"worker", "rack", "data_centre"};
};

template <>
struct EnumNames<CapacityKind> {
  static constexpr std::array<std::string_view, 2> kNames{"guaranteed", "borrowed"};
};

template <>
struct EnumNames<JobPriority> {
  static constexpr std::array<std::string_view, 3> kNames{"low", "normal", "urgent"};
};

template <>
struct EnumNames<JobOutcome> {
  static constexpr std::array<std::string_view, 5> kNames{"none", "succeeded", "failed",
                                                          "cancelled", "refused"};
};

template <>
struct EnumNames<JobPhase> {
  static constexpr std::array<std::string_view, 5> kNames{"waiting", "placed", "running",
                                                          "stopping", "ended"};
};

template <>
struct EnumNames<WorkerCondition> {
  static constexpr std::array<std::string_view, 4> kNames{"live", "quarantined", "leaving", "lost"};
};

template <>
struct EnumNames<StopReason> {
  static constexpr std::array<std::string_view, 8> kNames{
      "none",           "reclaim",        "data_centre_out", "worker_lost",
      "worker_leaving", "attempt_failed", "start_deadline",  "cancelled"};
};

/// @brief The JSON name of an enumerator.
template <class E>
[[nodiscard]] std::string_view NameOf(E value) {
  return EnumNames<E>::kNames.at(static_cast<std::size_t>(value));
}

/// @brief The enumerator of a JSON name. Errors: kInvalidValue.
template <class E>
[[nodiscard]] Result<E> ParseEnum(std::string_view name) {
  const auto& names = EnumNames<E>::kNames;
  for (std::size_t n = 0; n < names.size(); ++n) {
    if (names[n] == name) {
      return static_cast<E>(n);
    }
  }
  return Refuse(ResultCode::kInvalidValue, std::string(name));
}

}  // namespace clementineloom::codec::detail
