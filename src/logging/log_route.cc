#include "logging/log_route.h"

#include <mutex>
#include <utility>

namespace clementineloom::logging {
namespace {

struct RouteInForce {
  std::mutex mutex;
  std::shared_ptr<const LogRoute> route;
};

// Never destroyed, because threads may log while the process exits.
RouteInForce& InForce() {
  static auto& in_force = *new RouteInForce();
  return in_force;
}

}  // namespace

std::shared_ptr<const LogRoute> CurrentRoute() {
  const std::scoped_lock lock(InForce().mutex);
  return InForce().route;
}

std::shared_ptr<const LogRoute> ExchangeRoute(std::shared_ptr<const LogRoute> route) {
  const std::scoped_lock lock(InForce().mutex);
  return std::exchange(InForce().route, std::move(route));
}

}  // namespace clementineloom::logging
