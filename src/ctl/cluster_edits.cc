#include "ctl/cluster_edits.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include "codec/detail/json_reader.h"
#include "codec/detail/model_json.h"

namespace clementineloom::ctl {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;

const json::value* FindByName(const json::array& array, std::string_view name) {
  const auto it = std::ranges::find_if(array, [name](const json::value& value) {
    const json::value* found = value.is_object() ? value.get_object().if_contains("name") : nullptr;
    return found != nullptr && found->is_string() && found->get_string() == name;
  });
  return it == array.end() ? nullptr : &*it;
}

void AddDataCentres(const settings::ClusterDocument& document, const json::array& current,
                    json::array& edits) {
  for (const DataCentre& it : document.data_centres) {
    if (FindByName(current, it.name()) == nullptr) {
      edits.push_back(json::object{{"set_data_centre", codec::detail::ToJson(it)}});
    }
  }
}

void AddTeams(const settings::ClusterDocument& document, const json::array& current,
              json::array& edits) {
  for (const Team& it : document.teams) {
    const json::object wanted = codec::detail::ToJson(it);
    const json::value* found = FindByName(current, it.name());
    if (found == nullptr || *found != json::value(wanted)) {
      edits.push_back(json::object{{"set_team", wanted}});
    }
  }
}

Result<void> AddDeletions(const settings::ClusterDocument& document, const json::array& current,
                          json::array& edits) {
  for (const json::value& it : current) {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(it));
    BOOST_LEAF_AUTO(name, reader.String("name"));
    if (std::ranges::find(document.teams, name, &Team::name) == document.teams.end()) {
      edits.push_back(json::object{{"delete_team", name}});
    }
  }
  return {};
}

}  // namespace

Result<json::array> ClusterEdits(const settings::ClusterDocument& document,
                                 const json::object& config) {
  const JsonReader reader(config);
  BOOST_LEAF_AUTO(data_centres, reader.Array("data_centres"));
  BOOST_LEAF_AUTO(teams, reader.Array("teams"));
  json::array edits;
  AddDataCentres(document, *data_centres, edits);
  // Deletions come first: capacity is checked after each edit, so that a deleted team has to free
  // its capacity before another team grows.
  BOOST_LEAF_CHECK(AddDeletions(document, *teams, edits));
  AddTeams(document, *teams, edits);
  return edits;
}

}  // namespace clementineloom::ctl
