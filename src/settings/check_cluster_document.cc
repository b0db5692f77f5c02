#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "codec/detail/enum_names.h"
#include "settings/capacity_model.h"
#include "settings/cluster_keys.h"
#include "settings/load_settings.h"
#include "settings/object_check.h"

namespace clementineloom::settings {
namespace {

namespace json = boost::json;

constexpr std::uint32_t kAllPercent = 100;

// A guarantee with its path in the document.
struct LocatedGuarantee {
  std::string path;
  Guarantee guarantee;
};

std::string TextOr(const json::object& object, std::string_view key) {
  const json::value* value = object.if_contains(key);
  return value != nullptr && value->is_string() ? std::string(value->get_string()) : "";
}

std::uint32_t NumberOr(const json::object& object, std::string_view key, std::uint32_t fallback) {
  const json::value* value = object.if_contains(key);
  return value != nullptr ? value->to_number<std::uint32_t>() : fallback;
}

bool BoolOr(const json::object& object, std::string_view key, bool fallback) {
  const json::value* value = object.if_contains(key);
  return value != nullptr ? value->get_bool() : fallback;
}

class ClusterReader {
 public:
  explicit ClusterReader(Checked<Document> document)
      : document_(std::move(document.value)), root_(document_.root.get_object()) {
    checked_.problems = std::move(document.problems);
  }

  Checked<ClusterDocument> Read() {
    if (!checked_.problems.empty() && root_.empty()) {
      return std::move(checked_);
    }
    ObjectCheck(document_, "", root_, checked_.problems).Run(ClusterKeys());
    checked_.value.region = TextOr(root_, "region");
    ReadList("data_centres", &ClusterReader::ReadDataCentre);
    ReadList("worker_shapes", &ClusterReader::ReadWorkerShape);
    ReadList("teams", &ClusterReader::ReadTeam);
    ReadObjective();
    CheckDataCentresHaveWorkers();
    // The capacity check is meaningless while a count or a name is wrong.
    if (checked_.problems.empty()) {
      CheckCapacity();
    }
    return std::move(checked_);
  }

 private:
  using ReadElement = void (ClusterReader::*)(const std::string& path, const json::object& object);

  void Add(ResultCode code, std::string field, std::string message) {
    checked_.problems.push_back(document_.ProblemAt(code, std::move(field), std::move(message)));
  }

  // Reads the elements that are objects; reports an empty list and all other elements.
  void ReadList(const std::string& key, ReadElement read) {
    const json::value* value = root_.if_contains(key);
    if (value == nullptr || !value->is_array()) {
      return;
    }
    if (value->get_array().empty()) {
      Add(ResultCode::kOutOfRange, key, "the list is empty");
    }
    ReadElements(key, value->get_array(), read);
  }

  void ReadElements(const std::string& path, const json::array& array, ReadElement read) {
    std::size_t n = 0;
    for (const json::value& it : array) {
      const std::string element = path + "[" + std::to_string(n++) + "]";
      if (it.is_object()) {
        (this->*read)(element, it.get_object());
      } else {
        Add(ResultCode::kWrongType, element, "object expected");
      }
    }
  }

  // Checks the object against the rules of its keys; returns whether its values can be read.
  bool CheckObject(const std::string& path, const json::object& object,
                   const std::vector<KeySpec>& keys) {
    const std::size_t before = checked_.problems.size();
    ObjectCheck(document_, path, object, checked_.problems).Run(keys);
    return checked_.problems.size() == before;
  }

  void CheckUnique(std::set<std::string>& names, const std::string& path, const std::string& name) {
    if (!name.empty() && !names.insert(name).second) {
      Add(ResultCode::kDuplicateId, path + ".name", name + " stands twice");
    }
  }

  void ReadDataCentre(const std::string& path, const json::object& object) {
    const bool is_valid = CheckObject(path, object, DataCentreKeys());
    const std::string name = TextOr(object, "name");
    const std::string region = TextOr(object, "region");
    CheckUnique(data_centres_, path, name);
    if (!region.empty() && region != checked_.value.region) {
      Add(ResultCode::kInvalidValue, path + ".region",
          region + " is not the document's region " + checked_.value.region);
    }
    if (is_valid) {
      AppendOrReport(path, checked_.value.data_centres, [&] {
        return DataCentre::Create({name, region, BoolOr(object, "in_service", true)});
      });
    }
  }

  void ReadWorkerShape(const std::string& path, const json::object& object) {
    const bool is_valid = CheckObject(path, object, WorkerShapeKeys());
    const std::string data_centre = TextOr(object, "data_centre");
    data_centres_with_workers_.insert(data_centre);
    if (!data_centre.empty() && !data_centres_.contains(data_centre)) {
      Add(ResultCode::kUnknownReference, path + ".data_centre",
          data_centre + " is no data centre of the document");
    }
    if (is_valid) {
      checked_.value.worker_shapes.push_back({data_centre, NumberOr(object, "racks", 1),
                                              NumberOr(object, "workers_per_rack", 1),
                                              NumberOr(object, "accelerators", 1)});
    }
  }

  void ReadTeam(const std::string& path, const json::object& object) {
    const bool is_valid = CheckObject(path, object, TeamKeys());
    CheckUnique(teams_, path, TextOr(object, "name"));
    const json::value* guarantees = object.if_contains("guarantees");
    if (guarantees == nullptr || !guarantees->is_array()) {
      return;
    }
    const std::string list = path + ".guarantees";
    if (guarantees->get_array().empty()) {
      Add(ResultCode::kTeamWithoutShape, list, "the team has no guaranteed shape");
      return;
    }
    const std::size_t first = guarantees_.size();
    const std::size_t before = checked_.problems.size();
    ReadElements(list, guarantees->get_array(), &ClusterReader::ReadGuarantee);
    if (is_valid && checked_.problems.size() == before) {
      AppendOrReport(path, checked_.value.teams,
                     [&] { return Team::Create(TeamFields(object, first)); });
    }
  }

  Team::Fields TeamFields(const json::object& object, std::size_t first_guarantee) const {
    Team::Fields fields;
    fields.name = TextOr(object, "name");
    for (std::size_t n = first_guarantee; n < guarantees_.size(); ++n) {
      fields.guarantees.push_back(guarantees_[n].guarantee);
    }
    fields.max_concurrent_requests =
        NumberOr(object, "max_concurrent_requests", fields.max_concurrent_requests);
    fields.retry_budget_per_hour =
        NumberOr(object, "retry_budget_per_hour", fields.retry_budget_per_hour);
    fields.may_borrow = BoolOr(object, "may_borrow", fields.may_borrow);
    return fields;
  }

  void ReadGuarantee(const std::string& path, const json::object& object) {
    if (!CheckObject(path, object, GuaranteeKeys())) {
      return;
    }
    std::vector<GangShape> shapes;
    AppendOrReport(path, shapes, [&]() -> Result<GangShape> {
      BOOST_LEAF_AUTO(adjacency, codec::detail::ParseEnum<Adjacency>(TextOr(object, "adjacency")));
      return GangShape::Create(
          {static_cast<std::uint16_t>(NumberOr(object, "accelerators_per_worker", 1)),
           static_cast<std::uint16_t>(NumberOr(object, "workers", 1)), adjacency});
    });
    if (!shapes.empty()) {
      const auto count = static_cast<std::uint16_t>(NumberOr(object, "count", 1));
      guarantees_.push_back({path, Guarantee(shapes.front(), count)});
    }
  }

  void ReadObjective() {
    const json::value* value = root_.if_contains("objective");
    if (value == nullptr || !value->is_object() ||
        !CheckObject("objective", value->get_object(), ObjectiveKeys())) {
      return;
    }
    const json::object& object = value->get_object();
    ObjectiveWeights& weights = checked_.value.objective;
    weights.completion_time_percent =
        NumberOr(object, "completion_time_percent", weights.completion_time_percent);
    weights.fragmentation_percent =
        NumberOr(object, "fragmentation_percent", weights.fragmentation_percent);
    weights.work_during_change_percent =
        NumberOr(object, "work_during_change_percent", weights.work_during_change_percent);
    const std::uint32_t sum = weights.completion_time_percent + weights.fragmentation_percent +
                              weights.work_during_change_percent;
    if (sum != kAllPercent) {
      Add(ResultCode::kInvalidValue, "objective",
          "the weights add up to " + std::to_string(sum) + " in place of 100");
    }
  }

  void CheckDataCentresHaveWorkers() {
    for (std::size_t n = 0; n < checked_.value.data_centres.size(); ++n) {
      const std::string& name = checked_.value.data_centres[n].name();
      if (!data_centres_with_workers_.contains(name)) {
        Add(ResultCode::kInvalidValue, "data_centres[" + std::to_string(n) + "].name",
            name + " has no entry in worker_shapes");
      }
    }
  }

  // Shapes that need adjacent workers come first, and larger ones before smaller ones, because
  // small shapes fit into the capacity that is left.
  void CheckCapacity() {
    std::ranges::stable_sort(guarantees_, std::greater<>(), [](const LocatedGuarantee& it) {
      const GangShape& shape = it.guarantee.shape();
      return std::pair(shape.adjacency() != Adjacency::kWorker, shape.total_accelerators());
    });
    CapacityModel capacity(checked_.value.worker_shapes);
    for (const LocatedGuarantee& it : guarantees_) {
      for (std::uint16_t n = 0; n < it.guarantee.count(); ++n) {
        if (!capacity.Place(it.guarantee.shape())) {
          Add(ResultCode::kGuaranteesDoNotFit, it.path,
              "only " + std::to_string(n) + " of " + std::to_string(it.guarantee.count()) +
                  " shapes fit beside the other guarantees");
          break;
        }
      }
    }
  }

  // Appends the value of a factory, or reports its refusal as a problem at the field that it names.
  template <class T, class Create>
  void AppendOrReport(const std::string& path, std::vector<T>& values, Create create) {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(value, create());
      values.push_back(std::move(value));
      return {};
    });
    if (refusal) {
      Add(refusal->code, path + "." + refusal->detail, "the value breaks a rule of its type");
    }
  }

  const Document document_;
  const json::object& root_;
  Checked<ClusterDocument> checked_;
  std::set<std::string> data_centres_;
  std::set<std::string> data_centres_with_workers_;
  std::set<std::string> teams_;
  std::vector<LocatedGuarantee> guarantees_;
};

}  // namespace

Checked<ClusterDocument> CheckClusterDocument(const std::string& file) {
  return ClusterReader(ReadDocument(file)).Read();
}

}  // namespace clementineloom::settings
