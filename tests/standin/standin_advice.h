#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/workload/steady_time.h"
#include "standin/sim_world.h"

namespace clementineloom::standin {

/// @brief A stand-in for the advice service: it answers one call at a time, in turn, with tickets
/// for the workers that may run a step. Thread safety: none.
class StandInAdvice {
 public:
  static constexpr const char* kAddress = "10.0.4.1:1";

  using Policy = std::function<bool(const std::string& step, const std::string& worker)>;
  using Fault = std::function<bool(const std::string& step)>;

  explicit StandInAdvice(SimWorld& world);
  StandInAdvice(const StandInAdvice&) = delete;
  StandInAdvice& operator=(const StandInAdvice&) = delete;
  ~StandInAdvice() { world_.StopServing(kAddress); }

  /// @brief Sets the time of an answer: decision, and more for each worker that the call names.
  void SetTimes(workload::Milliseconds decision, workload::Milliseconds per_worker) {
    decision_ = decision;
    per_worker_ = per_worker;
  }
  void SetValidity(workload::Milliseconds validity) { validity_ = validity; }
  /// @brief Sets which workers may run a step; at first all may.
  void SetPolicy(Policy policy) { is_approved_ = std::move(policy); }
  /// @brief Refuses the calls about some steps at once with 429.
  void RefuseWhere(Fault is_refused) { is_refused_ = std::move(is_refused); }
  /// @brief Works on the calls about some steps without answering them.
  void LoseAnswersWhere(Fault is_lost) { is_lost_ = std::move(is_lost); }

  /// @brief Whether a worker accepts a ticket now. A ticket is for one life of its worker.
  /// @param life start of the worker's life
  [[nodiscard]] bool Accepts(const std::string& ticket, const std::string& step,
                             const std::string& worker, std::int64_t life_began_at_ms) const;

  /// @brief Number of calls about a step, also of those that were refused.
  [[nodiscard]] int CallsAbout(const std::string& step) const;
  /// @brief The number of workers in each call about a step.
  [[nodiscard]] std::vector<std::size_t> SizesOfCallsAbout(const std::string& step) const;

 private:
  struct Ticket {
    std::string step;
    std::string worker;
    std::int64_t issued_at_ms = 0;
  };

  void Handle(const net::HttpRequest& request, SimWorld::Reply reply);
  [[nodiscard]] net::HttpResponse Answer(const std::string& step,
                                         const std::vector<std::string>& workers);

  SimWorld& world_;
  workload::Milliseconds decision_{50};
  workload::Milliseconds per_worker_{1};
  workload::Milliseconds validity_{3'000};
  Policy is_approved_ = [](const std::string&, const std::string&) { return true; };
  Fault is_refused_ = [](const std::string&) { return false; };
  Fault is_lost_ = [](const std::string&) { return false; };
  // When the service has answered all calls that it has taken.
  workload::SteadyTime free_at_;
  std::size_t waiting_ = 0;
  std::map<std::string, Ticket> tickets_;
  std::map<std::string, std::vector<std::size_t>> calls_;
};

}  // namespace clementineloom::standin
