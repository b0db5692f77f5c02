#include "soak/job_bodies.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <sstream>

#include "soak/task_name.h"

namespace clementineloom::soak {
namespace {

namespace json = boost::json;

constexpr std::uint64_t kPercent = 100;
constexpr std::uint64_t kGangPercent = 25;
constexpr std::uint64_t kTwoStepsPercent = 30;
constexpr std::uint64_t kFailsOncePercent = 6;
constexpr std::uint64_t kFailsAlwaysPercent = 3;
constexpr std::uint64_t kAlways = 1'000'000;
constexpr std::size_t kGangSize = 3;

json::object Step(std::uint64_t count, std::uint64_t estimate_ms) {
  return {{"count", count}, {"cpu", 500}, {"memMb", 64}, {"gpus", 1}, {"estimateMs", estimate_ms}};
}

}  // namespace

std::string JobBodies::operator()(std::mt19937_64& random) const {
  const auto is_chosen = [&random](std::uint64_t percent) { return random() % kPercent < percent; };
  const std::uint64_t work_ms = 200 + random() % 1'800;
  std::string payload = "work " + std::to_string(work_ms);
  const bool is_gang = is_chosen(kGangPercent);
  json::object first = Step(is_gang ? kGangSize : 1 + random() % 3, work_ms);
  if (is_gang) {
    first["gang"] = true;
    payload += " gang " + std::to_string(kGangSize);
  }
  if (is_chosen(kFailsAlwaysPercent)) {
    payload += " fails " + std::to_string(kAlways);
  } else if (is_chosen(kFailsOncePercent)) {
    payload += " fails 1";
  }
  json::array steps{std::move(first)};
  if (is_chosen(kTwoStepsPercent)) {
    const std::uint64_t then_ms = 100 + random() % 900;
    json::object second = Step(1 + random() % 2, then_ms);
    second["dependsOn"] = json::array{0};
    steps.push_back(std::move(second));
    payload += " then " + std::to_string(then_ms);
  }
  return json::serialize(json::object{{"spec", payload}, {"steps", std::move(steps)}});
}

standin::RunProfile JobBodies::ProfileOf(const std::string& task, const std::string& payload) {
  const bool is_later = StepOfTask(task) > 0;
  standin::RunProfile profile;
  profile.resources.accelerators = 1;
  std::istringstream in(payload);
  std::uint64_t value = 0;
  for (std::string word; in >> word >> value;) {
    if (word == "work" || (word == "then" && is_later)) {
      profile.run_time = workload::Milliseconds(value);
    } else if (word == "gang" && !is_later) {
      profile.gang_size = value;
    } else if (word == "fails" && !is_later) {
      profile.failing_runs = value;
    } else if (word == "cpu") {
      profile.resources.cpu_millicores = static_cast<std::int64_t>(value);
    } else if (word == "memory") {
      profile.resources.memory_mb = static_cast<std::int64_t>(value);
    } else if (word == "accelerators") {
      profile.resources.accelerators = static_cast<std::int64_t>(value);
    }
  }
  return profile;
}

}  // namespace clementineloom::soak
