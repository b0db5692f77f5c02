#include "soak/request_log.h"

#include <utility>

namespace clementineloom::soak {
namespace {

bool IsSuccess(const RequestRecord& record) { return record.status / 100 == 2; }

// A 504 says that the outcome is unknown, as no answer does.
bool IsRejection(const RequestRecord& record) {
  return record.end == RequestEnd::kConnectRefused || record.status == 503 ||
         record.status / 100 == 4;
}

void AddSubmission(const RequestRecord& record, JobHistory& job) {
  job.path = record.path;
  job.body = record.sent_body;
  ++job.submissions;
  if (IsRejection(record)) {
    ++job.rejected;
  }
  if (IsSuccess(record) && !job.accepted) {
    job.accepted = record.ended;
  }
}

void AddCancellation(const RequestRecord& record, JobHistory& job) {
  if (record.first_byte && !job.cancel_sent) {
    job.cancel_sent = record.first_byte;
  }
  if (IsSuccess(record) && !job.cancelled) {
    job.cancelled = record.ended;
  }
}

}  // namespace

std::uint64_t RequestLog::NextConnection() {
  const std::scoped_lock lock(mutex_);
  return ++last_connection_;
}

void RequestLog::Add(const RequestRecord& record) {
  const std::scoped_lock lock(mutex_);
  records_.push_back(record);
  if (record.method == RequestMethod::kPost) {
    AddSubmission(record, jobs_[record.job]);
  } else if (record.method == RequestMethod::kDelete) {
    AddCancellation(record, jobs_[record.job]);
  }
}

std::vector<RequestRecord> RequestLog::Records() const {
  const std::scoped_lock lock(mutex_);
  return records_;
}

std::map<std::string, JobHistory> RequestLog::Jobs() const {
  const std::scoped_lock lock(mutex_);
  return jobs_;
}

template <class Predicate>
std::set<std::string> RequestLog::JobsWith(Predicate predicate) const {
  const std::scoped_lock lock(mutex_);
  std::set<std::string> names;
  for (const auto& [name, job] : jobs_) {
    if (predicate(job)) {
      names.insert(name);
    }
  }
  return names;
}

std::set<std::string> RequestLog::Accepted() const {
  return JobsWith([](const JobHistory& it) { return it.accepted.has_value(); });
}

std::set<std::string> RequestLog::Cancelled() const {
  return JobsWith([](const JobHistory& it) { return it.cancelled.has_value(); });
}

std::set<std::string> RequestLog::Refused() const {
  return JobsWith([](const JobHistory& it) { return it.is_refused(); });
}

}  // namespace clementineloom::soak
