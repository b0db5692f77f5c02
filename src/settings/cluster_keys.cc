#include "settings/cluster_keys.h"

#include <limits>

#include "clementineloom/model/gang_shape.h"

namespace clementineloom::settings {
namespace {

constexpr std::uint64_t kMaxCount = std::numeric_limits<std::uint16_t>::max();

KeySpec Required(std::string_view key, ValueKind kind, std::string_view meaning) {
  return {.key = key, .kind = kind, .meaning = meaning};
}

KeySpec Optional(std::string_view key, ValueKind kind, std::string fallback,
                 std::string_view meaning) {
  return {.key = key,
          .kind = kind,
          .is_required = false,
          .fallback = std::move(fallback),
          .meaning = meaning};
}

KeySpec Count(std::string_view key, std::uint64_t max, std::string_view meaning) {
  return {.key = key, .kind = ValueKind::kNumber, .min = 1, .max = max, .meaning = meaning};
}

KeySpec Limit(std::string_view key, std::uint64_t min, std::uint64_t max, std::string fallback,
              std::string_view meaning) {
  return {.key = key,
          .kind = ValueKind::kNumber,
          .min = min,
          .max = max,
          .is_required = false,
          .fallback = std::move(fallback),
          .meaning = meaning};
}

KeySpec Percent(std::string_view key, std::string fallback, std::string_view meaning) {
  KeySpec spec = Limit(key, 0, 100, std::move(fallback), meaning);
  spec.unit = "percent";
  return spec;
}

}  // namespace

const std::vector<KeySpec>& ClusterKeys() {
  static const std::vector<KeySpec> keys{
      Required("region", ValueKind::kName, "region of all data centres of the document"),
      Required("data_centres", ValueKind::kObjectList, "at least one data centre"),
      Required("worker_shapes", ValueKind::kObjectList, "the workers of each data centre"),
      Required("teams", ValueKind::kObjectList, "at least one team"),
      Optional("objective", ValueKind::kObject, "{}", "weights of the placement decisions")};
  return keys;
}

const std::vector<KeySpec>& DataCentreKeys() {
  static const std::vector<KeySpec> keys{
      Required("name", ValueKind::kName, "unique name"),
      Required("region", ValueKind::kName, "has to be the region of the document"),
      Optional("in_service", ValueKind::kBool, "true", "whether tasks may start there")};
  return keys;
}

const std::vector<KeySpec>& WorkerShapeKeys() {
  static const std::vector<KeySpec> keys{
      Required("data_centre", ValueKind::kName, "name of a data centre of the document"),
      Count("racks", 10'000, "racks of this shape"),
      Count("workers_per_rack", 1'000, "workers in each rack"),
      Count("accelerators", GangShape::kMaxAcceleratorsPerWorker, "accelerators of each worker")};
  return keys;
}

const std::vector<KeySpec>& TeamKeys() {
  static const std::vector<KeySpec> keys{
      Required("name", ValueKind::kName, "unique name"),
      Required("guarantees", ValueKind::kObjectList, "at least one guaranteed shape"),
      Limit("max_concurrent_requests", 1, 65'536, "64", "requests in progress at one gateway"),
      Limit("retry_budget_per_hour", 0, 100'000, "60",
            "failed attempts that may be repeated in a sliding hour"),
      Optional("may_borrow", ValueKind::kBool, "true", "whether it may use idle capacity")};
  return keys;
}

const std::vector<KeySpec>& GuaranteeKeys() {
  static const std::vector<KeySpec> keys{
      Count("accelerators_per_worker", GangShape::kMaxAcceleratorsPerWorker,
            "accelerators on each worker"),
      Count("workers", GangShape::kMaxWorkers, "workers of the shape"),
      Required("adjacency", ValueKind::kAdjacency,
               "the part that has to hold all workers: `worker`, `rack` or `data_centre`"),
      Count("count", kMaxCount, "number of equal shapes")};
  return keys;
}

const std::vector<KeySpec>& ObjectiveKeys() {
  static const std::vector<KeySpec> keys{
      Percent("completion_time_percent", "50", "weight of the completion time"),
      Percent("fragmentation_percent", "25", "weight of the fragmentation"),
      Percent("work_during_change_percent", "25",
              "weight of the work done while a data centre leaves and returns")};
  return keys;
}

}  // namespace clementineloom::settings
