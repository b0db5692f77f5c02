#include "clementineloom/model/team.h"

#include <algorithm>
#include <utility>

#include "clementineloom/model/name.h"

namespace clementineloom {

Result<Team> Team::Create(Fields fields) {
  if (!IsValidName(fields.name)) {
    return Refuse(ResultCode::kInvalidValue, "name");
  }
  if (fields.guarantees.empty()) {
    return Refuse(ResultCode::kTeamWithoutShape, "guarantees");
  }
  const bool has_empty_guarantee =
      std::ranges::any_of(fields.guarantees, [](const Guarantee& it) { return it.count() == 0; });
  if (has_empty_guarantee) {
    return Refuse(ResultCode::kOutOfRange, "guarantees.count");
  }
  if (fields.max_concurrent_requests == 0) {
    return Refuse(ResultCode::kOutOfRange, "max_concurrent_requests");
  }
  return Team(std::move(fields));
}

}  // namespace clementineloom
