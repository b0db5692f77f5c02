#include "soak/shaped_job_bodies.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "soak/soak_fleet.h"

namespace clementineloom::soak {
namespace {

namespace json = boost::json;

constexpr unsigned kPercent = 100;
constexpr unsigned kFarOffPercent = 10;
constexpr std::uint64_t kFarOffFactor = 10;
constexpr unsigned kFailsOncePercent = 6;
// Wider steps require no rare label, because its workers could never run them.
constexpr std::uint64_t kMaxRareCount = 6;

std::uint64_t Between(std::mt19937_64& random, std::uint64_t first, std::uint64_t last) {
  return first + random() % (last - first + 1);
}

bool IsChosen(std::mt19937_64& random, unsigned percent) { return random() % kPercent < percent; }

std::uint64_t EstimateOf(std::uint64_t work_ms, std::mt19937_64& random) {
  if (IsChosen(random, kFarOffPercent)) {
    return work_ms * kFarOffFactor;
  }
  return work_ms * Between(random, kPercent / 2, kPercent + kPercent / 2) / kPercent;
}

}  // namespace

std::string ShapedJobBodies::operator()(std::mt19937_64& random) const {
  const std::uint64_t work_ms = Between(random, shapes_.min_work_ms, shapes_.max_work_ms);
  const std::int64_t accelerators = shapes_.accelerators[random() % shapes_.accelerators.size()];
  std::string payload = "work " + std::to_string(work_ms) + " cpu " +
                        std::to_string(shapes_.cpu_millicores) + " memory " +
                        std::to_string(shapes_.memory_mb) + " accelerators " +
                        std::to_string(accelerators);
  const bool is_gang = IsChosen(random, shapes_.gang_percent);
  const std::uint64_t size = is_gang ? GangSize(random) : Between(random, 1, shapes_.max_count);
  json::object first = Step(size, work_ms, accelerators, random);
  if (is_gang) {
    first["gang"] = true;
    if (IsChosen(random, shapes_.one_rack_percent)) {
      first["sameRack"] = true;
    }
    payload += " gang " + std::to_string(size);
  }
  if (IsChosen(random, kFailsOncePercent)) {
    payload += " fails 1";
  }
  json::array steps{std::move(first)};
  if (IsChosen(random, shapes_.two_steps_percent)) {
    const std::uint64_t count = Between(random, 1, shapes_.max_count);
    json::object second = Step(count, work_ms, accelerators, random);
    second["dependsOn"] = json::array{0};
    steps.push_back(std::move(second));
  }
  return json::serialize(json::object{{"spec", payload}, {"steps", std::move(steps)}});
}

std::uint64_t ShapedJobBodies::GangSize(std::mt19937_64& random) const {
  // Small gangs are more frequent, so that the fleet can hold them twice over.
  const std::uint64_t widest = Between(random, shapes_.min_gang, shapes_.max_gang);
  return Between(random, shapes_.min_gang, widest);
}

json::object ShapedJobBodies::Step(std::uint64_t count, std::uint64_t work_ms,
                                   std::int64_t accelerators, std::mt19937_64& random) const {
  json::object step{{"count", count},
                    {"cpu", shapes_.cpu_millicores},
                    {"memMb", shapes_.memory_mb},
                    {"gpus", accelerators},
                    {"estimateMs", EstimateOf(work_ms, random)}};
  if (IsChosen(random, shapes_.data_percent)) {
    step["affinity"] = SoakFleet::RackName(random() % SoakFleet::kDataRacks);
  }
  if (IsChosen(random, shapes_.label_percent)) {
    const bool is_rare = count <= kMaxRareCount && IsChosen(random, kPercent / 2);
    step["requirements"] = is_rare ? SoakFleet::kRareKind : SoakFleet::kUsualKind;
  }
  return step;
}

}  // namespace clementineloom::soak
