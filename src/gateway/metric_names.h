#pragma once

#include <string_view>

namespace clementineloom::gateway {

// Names of the gateway's metrics; docs/metrics.md describes them.

inline constexpr std::string_view kRequestSeconds = "loom_request_seconds";
inline constexpr std::string_view kRefusals = "loom_refusals_total";
inline constexpr std::string_view kRetries = "loom_retries_total";
inline constexpr std::string_view kRecordsSkipped = "loom_records_skipped_total";
inline constexpr std::string_view kReadFailures = "loom_log_read_failures_total";
inline constexpr std::string_view kListFailures = "loom_instance_list_failures_total";
inline constexpr std::string_view kClaimRecordsLost = "loom_claim_records_lost_total";
inline constexpr std::string_view kUpstreams = "loom_upstreams";
inline constexpr std::string_view kWaiting = "loom_waiting_requests";

}  // namespace clementineloom::gateway
