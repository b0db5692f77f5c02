#include "scheduler/admin_duty.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <chrono>
#include <string_view>

namespace clementineloom::scheduler {
namespace {

constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

net::HttpHeaders ContentType(std::string_view type) {
  return net::HttpHeaders().With("Content-Type", type);
}

std::string_view StatusOf(const HealthView& health, std::chrono::milliseconds max_view_age) {
  const auto now = std::chrono::steady_clock::now();
  if (health.is_draining) {
    return "draining";
  }
  if (!health.freshness.is_serving()) {
    return "starting";
  }
  if (health.freshness.is_outdated) {
    return "outdated";
  }
  return health.freshness.IsWithin(max_view_age, now) ? "ok" : "stale";
}

}  // namespace

void AdminDuty::Run(BoundedRing<AdminEvent>& events) {
  while (auto event = events.Pop()) {
    std::visit([this](const auto& it) { Take(it); }, *event);
  }
}

void AdminDuty::Take(const net::ServerRequest& request) {
  if (request.request.target == "/health") {
    server_.Answer(request.id, Health());
  } else if (request.request.target == "/metrics") {
    server_.Answer(request.id, Metrics());
  } else {
    server_.Answer(request.id, {kNotFound, ContentType("text/plain"), "unknown path\n"});
  }
}

net::HttpResponse AdminDuty::Health() const {
  // Health is published once a second, so the age seen here may be up to a second too high; the
  // limit allows for that.
  const std::string_view status = StatusOf(health_, max_view_age_ + std::chrono::seconds(1));
  const boost::json::object body{{"status", status},
                                 {"applied_offset", health_.freshness.read_to.value()},
                                 {"tail", health_.freshness.tail.value()},
                                 {"config_revision", health_.config_revision.value()}};
  return {status == "ok" ? kOk : kUnavailable, ContentType("application/json"),
          boost::json::serialize(body) + "\n"};
}

net::HttpResponse AdminDuty::Metrics() const {
  metrics_.Set("loom_applied_offset", static_cast<double>(health_.freshness.read_to.value()));
  metrics_.Set("loom_config_revision", static_cast<double>(health_.config_revision.value()));
  return {kOk, ContentType("text/plain; version=0.0.4"), metrics_.Expose()};
}

}  // namespace clementineloom::scheduler
