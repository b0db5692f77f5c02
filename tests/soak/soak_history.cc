#include "soak/soak_history.h"

#include <array>
#include <fstream>
#include <optional>

#include "soak/request_names.h"
#include "soak/soak_clock.h"

namespace clementineloom::soak {
namespace {

std::int64_t MsOrZero(const std::optional<RequestRecord::Time>& time) {
  return time ? TimeMs(*time) : 0;
}

void WriteRequests(const RequestLog& requests, const std::string& path) {
  std::ofstream out(path);
  for (const RequestRecord& it : requests.Records()) {
    out << "first_byte=" << MsOrZero(it.first_byte) << " last_byte=" << MsOrZero(it.last_byte)
        << " ended=" << TimeMs(it.ended) << " instance=e" << it.instance
        << " connection=" << it.connection << " port=" << it.local_port << " " << NameOf(it.method)
        << " " << it.job << " " << NameOf(it.end) << " status=" << it.status
        << (it.is_pipelined ? " pipelined" : "") << (it.is_after_close ? " after_close" : "") << " "
        << it.path << " " << it.sent_body << " " << it.body << "\n";
  }
}

void WriteRuns(const std::vector<standin::RunEvent>& runs, const std::string& path) {
  constexpr std::array kNames{"started", "ended", "acknowledged", "forgotten"};
  std::ofstream out(path);
  for (const standin::RunEvent& it : runs) {
    out << "at=" << it.at_ms << " " << it.worker << " " << it.task << " run=" << it.run << " "
        << kNames.at(static_cast<std::size_t>(it.kind)) << " " << it.how
        << (it.is_late ? " late" : "") << (it.has_lapsed ? " lapsed" : "") << "\n";
  }
}

void WriteReadings(const std::vector<JobReading>& readings, const std::string& path) {
  std::ofstream out(path);
  for (const JobReading& it : readings) {
    out << "asked=" << it.asked_ms << " answered=" << it.answered_ms << " instance=e" << it.instance
        << " " << it.job << " status=" << it.status << " " << it.state << "\n";
  }
}

}  // namespace

void WriteHistory(const SoakResult& result, const std::string& folder) {
  WriteRequests(result.requests, folder + "/requests.log");
  WriteRuns(result.runs, folder + "/runs.log");
  WriteReadings(result.final_readings, folder + "/readings.log");
}

}  // namespace clementineloom::soak
