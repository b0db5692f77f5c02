#include "scheduler/proposal_subject.h"

#include <variant>

namespace clementineloom::scheduler {
namespace {

std::string Number(std::uint64_t number) { return std::to_string(number); }

std::string Name(const WorkerRegistered& body) { return body.worker.name(); }
std::string Name(const WorkerConditionChanged& body) { return body.worker; }
std::string Name(const ConfigChanged& body) { return Number(body.base_revision.value()); }
std::string Name(const JobSubmitted& body) { return body.key; }
std::string Name(const JobRefused& body) { return Number(body.job.value()); }

std::string Name(const JobsCancelled& body) {
  return body.jobs.empty() ? std::string() : Number(body.jobs.front().value());
}

// Placements of one record are decided together; the first one identifies all of them.
std::string Name(const JobsPlaced& body) {
  return body.placements.empty() ? std::string() : Number(body.placements.front().job().value());
}

template <class Body>
std::string Name(const Body& body) {
  return Number(body.job.value()) + "/" + Number(body.attempt);
}

}  // namespace

std::string SubjectOf(const RecordBody& body) {
  return Number(body.index()) + ":" + std::visit([](const auto& it) { return Name(it); }, body);
}

}  // namespace clementineloom::scheduler
