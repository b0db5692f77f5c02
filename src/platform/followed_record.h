#pragma once

#include <memory>

#include "clementineloom/errors/result_code.h"
#include "clementineloom/model/log_offset.h"
#include "clementineloom/state/record.h"

namespace clementineloom::platform {

/// @brief A decoded record of the control stream. An immutable value.
struct FollowedRecord {
  LogOffset offset;
  /// kOk, kCorruptRecord or kNewerSchema.
  ResultCode code = ResultCode::kOk;
  /// Not set for a record that could not be decoded and for a chunk of a snapshot.
  std::shared_ptr<const Record> record;
  /// For the last chunk of a snapshot: the offset that the snapshot covers.
  LogOffset snapshot_covers;
};

}  // namespace clementineloom::platform
