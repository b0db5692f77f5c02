#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "net/blocking_http_client.h"
#include "soak/job_reading.h"
#include "soak/request_record.h"

namespace clementineloom::soak {

/// @brief Asks instances for the states of jobs, one call at a time. Thread safety: none.
class JobReader {
 public:
  /// @param fronts addresses of the instances
  explicit JobReader(std::vector<std::string> fronts);

  /// @brief Asks an instance for the job of a path, up to three times while there is no answer, or
  /// one of 503 or 504.
  [[nodiscard]] JobReading Read(const std::string& path, std::size_t instance);

  /// @brief What a caller's request says of its job.
  [[nodiscard]] static JobReading FromRecord(const RequestRecord& record);

 private:
  [[nodiscard]] JobReading ReadOnce(const std::string& path, std::size_t instance);

  const std::vector<std::string> fronts_;
  net::BlockingHttpClient client_;
};

}  // namespace clementineloom::soak
