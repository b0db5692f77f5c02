#pragma once

#include <chrono>
#include <concepts>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/log_offset.h"
#include "platform/read_batch.h"

namespace clementineloom::platform {

/// @brief Access to the platform's log service; calls block the duty that makes them.
///
/// Append adds payloads atomically and returns the offset of the first. Errors: kLogUnavailable
/// (did not run), kAppendUnknown (may have run). Read returns records from an offset on and waits
/// up to the given time for the first record. Errors: kLogUnavailable, kRecordsExpired (from is
/// below oldest).
template <class T>
concept LogClient = requires(T client, std::string_view stream,
                             const std::vector<std::string>& payloads, LogOffset from,
                             std::size_t limit, std::chrono::milliseconds wait) {
  { client.Append(stream, payloads) } -> std::same_as<Result<LogOffset>>;
  { client.Read(stream, from, limit, wait) } -> std::same_as<Result<ReadBatch>>;
};

}  // namespace clementineloom::platform
