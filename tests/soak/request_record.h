#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "soak/planned_request.h"
#include "soak/request_end.h"
#include "soak/request_method.h"

namespace clementineloom::soak {

/// @brief One request of a caller and its outcome.
struct RequestRecord {
  using Time = std::chrono::steady_clock::time_point;

  /// Unique among the callers of a RequestLog; 0 if no connection was made.
  std::uint64_t connection = 0;
  std::uint16_t local_port = 0;
  RequestMethod method = RequestMethod::kGet;
  std::string job;
  /// Path and body of the request.
  std::string path;
  std::string sent_body;
  /// Index into CallerOptions::fronts.
  std::size_t instance = 0;
  /// When the first and the last byte were written; nothing if they were not.
  std::optional<Time> first_byte;
  std::optional<Time> last_byte;
  RequestEnd end = RequestEnd::kConnectRefused;
  /// Status and body of the response; 0 and empty unless `end` is kAnswered.
  int status = 0;
  std::string body;
  Time ended;
  /// Whether earlier requests of the connection were unanswered when the first byte was written.
  bool is_pipelined = false;
  /// Whether a response with `Connection: close` had been read when the first byte was written.
  bool is_after_close = false;

  /// @brief The record of a request that has not been sent yet.
  /// @param instance that it goes to
  [[nodiscard]] static RequestRecord Of(const PlannedRequest& request,
                                        const std::string& path_prefix, std::size_t instance) {
    RequestRecord record;
    record.method = request.method;
    record.job = request.job;
    record.path = path_prefix + request.job;
    record.sent_body = request.body;
    record.instance = instance;
    return record;
  }

  /// @brief Whether the whole request was written and no complete response came.
  [[nodiscard]] bool is_unanswered() const {
    return last_byte.has_value() && end != RequestEnd::kAnswered;
  }

  friend auto operator<=>(const RequestRecord&, const RequestRecord&) = default;
};

}  // namespace clementineloom::soak
