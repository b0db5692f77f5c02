#include "soak/job_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <utility>

#include "soak/soak_clock.h"
#include "soak/soak_platform.h"

namespace clementineloom::soak {
namespace {

constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr int kTimedOut = 504;
constexpr std::chrono::milliseconds kTimeout{3'000};

std::string StateIn(const std::string& body) {
  boost::system::error_code ec;
  const auto value = boost::json::parse(body, ec);
  const auto* object = ec ? nullptr : value.if_object();
  const auto* state = object == nullptr ? nullptr : object->if_contains("state");
  return state == nullptr || !state->is_string() ? std::string() : std::string(state->get_string());
}

bool IsAnswer(const JobReading& reading) {
  return reading.status != 0 && reading.status != kUnavailable && reading.status != kTimedOut;
}

}  // namespace

JobReader::JobReader(std::vector<std::string> fronts)
    : fronts_(std::move(fronts)), client_("job-reader") {}

JobReading JobReader::Read(const std::string& path, std::size_t instance) {
  constexpr int kTries = 3;
  JobReading reading = ReadOnce(path, instance);
  for (int n = 1; n < kTries && !IsAnswer(reading); ++n) {
    reading = ReadOnce(path, instance);
  }
  return reading;
}

JobReading JobReader::ReadOnce(const std::string& path, std::size_t instance) {
  const auto headers = net::HttpHeaders()
                           .With("Authorization", std::string("Token ") + SoakPlatform::kKey)
                           .With("X-Clementineloom-Deadline-Ms", std::to_string(kTimeout.count()));
  const net::HttpRequest request{"GET", path, headers, "", SoakPlatform::kHost};
  const std::int64_t asked_ms = NowMs();
  const auto response = CatchRefusal(
      [&]() -> Result<net::HttpResponse> {
        return client_.Call(fronts_.at(instance), request, kTimeout);
      },
      [](const Refusal&) {
        return net::HttpResponse{0, {}, ""};
      });
  return {path.substr(path.rfind('/') + 1),
          instance,
          asked_ms,
          NowMs(),
          response.status,
          response.status == kOk ? StateIn(response.body) : ""};
}

JobReading JobReader::FromRecord(const RequestRecord& record) {
  return {record.job,           record.instance, record.first_byte ? TimeMs(*record.first_byte) : 0,
          TimeMs(record.ended), record.status,   record.status == kOk ? StateIn(record.body) : ""};
}

}  // namespace clementineloom::soak
