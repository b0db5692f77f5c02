#include "standin/standin_advice.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

namespace clementineloom::standin {
namespace {

namespace json = boost::json;

using workload::Milliseconds;

constexpr std::size_t kMaxWorkersInCall = 100;
constexpr std::size_t kMaxWaiting = 32;

net::HttpResponse Json(int status, const json::object& body) {
  return {status, {}, json::serialize(body)};
}

}  // namespace

StandInAdvice::StandInAdvice(SimWorld& world) : world_(world) {
  world_.Serve(kAddress, [this](const net::HttpRequest& request, SimWorld::Reply reply) {
    Handle(request, std::move(reply));
  });
}

void StandInAdvice::Handle(const net::HttpRequest& request, SimWorld::Reply reply) {
  const json::object body = json::parse(request.body).as_object();
  const std::string step(body.at("step").as_string());
  std::vector<std::string> workers;
  for (const json::value& it : body.at("workers").as_array()) {
    workers.emplace_back(it.as_string());
  }
  calls_[step].push_back(workers.size());
  if (workers.size() > kMaxWorkersInCall) {
    reply(Json(400, {}));
    return;
  }
  if (waiting_ >= kMaxWaiting || is_refused_(step)) {
    reply(Json(429, {}));
    return;
  }
  ++waiting_;
  const auto time = decision_ + per_worker_ * static_cast<std::int64_t>(workers.size());
  free_at_ = std::max(free_at_, world_.now()) + time;
  world_.After(std::chrono::ceil<Milliseconds>(free_at_ - world_.now()),
               [this, step, workers = std::move(workers), reply = std::move(reply)] {
                 --waiting_;
                 if (!is_lost_(step)) {
                   reply(Answer(step, workers));
                 }
               });
}

net::HttpResponse StandInAdvice::Answer(const std::string& step,
                                        const std::vector<std::string>& workers) {
  json::array approved;
  for (const std::string& it : workers) {
    if (is_approved_(step, it)) {
      const std::string ticket = "t" + std::to_string(tickets_.size());
      tickets_[ticket] = {step, it, world_.ElapsedMs()};
      approved.push_back(json::array{it, ticket});
    }
  }
  return Json(200, {{"approved", std::move(approved)}, {"validMs", validity_.count()}});
}

bool StandInAdvice::Accepts(const std::string& ticket, const std::string& step,
                            const std::string& worker, std::int64_t life_began_at_ms) const {
  const auto it = tickets_.find(ticket);
  if (it == tickets_.end() || it->second.step != step || it->second.worker != worker) {
    return false;
  }
  const std::int64_t issued_at_ms = it->second.issued_at_ms;
  return issued_at_ms >= life_began_at_ms && world_.ElapsedMs() < issued_at_ms + validity_.count();
}

int StandInAdvice::CallsAbout(const std::string& step) const {
  return static_cast<int>(SizesOfCallsAbout(step).size());
}

std::vector<std::size_t> StandInAdvice::SizesOfCallsAbout(const std::string& step) const {
  const auto it = calls_.find(step);
  return it == calls_.end() ? std::vector<std::size_t>() : it->second;
}

}  // namespace clementineloom::standin
