#include "codec/detail/config_edit_json.h"

#include <utility>

#include "codec/detail/json_reader.h"
#include "codec/detail/model_json.h"

namespace clementineloom::codec::detail {
namespace {

namespace json = boost::json;

json::object EditToJson(const SetTeam& edit) { return {{"set_team", ToJson(edit.team)}}; }

json::object EditToJson(const DeleteTeam& edit) { return {{"delete_team", edit.team}}; }

json::object EditToJson(const SetDataCentre& edit) {
  return {{"set_data_centre", ToJson(edit.data_centre)}};
}

}  // namespace

json::object ToJson(const ConfigEdit& edit) {
  return std::visit([](const auto& it) { return EditToJson(it); }, edit);
}

Result<ConfigEdit> ReadConfigEdit(const json::value& value) {
  BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
  if (reader.Has("set_team")) {
    BOOST_LEAF_AUTO(body, reader.Object("set_team"));
    BOOST_LEAF_AUTO(team, ReadTeam(body));
    return ConfigEdit(SetTeam{std::move(team)});
  }
  if (reader.Has("delete_team")) {
    BOOST_LEAF_AUTO(team, reader.String("delete_team"));
    return ConfigEdit(DeleteTeam{std::move(team)});
  }
  BOOST_LEAF_AUTO(body, reader.Object("set_data_centre"));
  BOOST_LEAF_AUTO(data_centre, ReadDataCentre(body));
  return ConfigEdit(SetDataCentre{std::move(data_centre)});
}

}  // namespace clementineloom::codec::detail
