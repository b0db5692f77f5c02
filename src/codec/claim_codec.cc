#include "codec/claim_codec.h"

#include <boost/algorithm/hex.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iterator>
#include <utility>

#include "clementineloom/errors/run_state_name.h"
#include "codec/detail/decode_record.h"
#include "codec/detail/json_reader.h"

namespace clementineloom::codec {
namespace {

namespace json = boost::json;
using detail::JsonReader;

// Idempotency keys, header values and bodies may hold any bytes, but JSON text has to be UTF-8.
std::string ToHex(const std::string& bytes) {
  std::string text;
  text.reserve(2 * bytes.size());
  boost::algorithm::hex_lower(bytes, std::back_inserter(text));
  return text;
}

Result<std::string> FromHex(const std::string& text) {
  std::string bytes;
  try {
    boost::algorithm::unhex(text, std::back_inserter(bytes));
  } catch (const boost::algorithm::hex_decode_error&) {
    return Refuse(ResultCode::kCorruptRecord, "hex");
  }
  return bytes;
}

json::object Encode(const RequestClaimed& body) {
  return {{"type", "request_claimed"},
          {"team", body.key.team},
          {"key", ToHex(body.key.key)},
          {"digest", body.digest},
          {"gateway", body.gateway}};
}

Result<ClaimRecord> DecodeClaimed(const JsonReader& reader) {
  BOOST_LEAF_AUTO(id, reader.String("id"));
  BOOST_LEAF_AUTO(team, reader.String("team"));
  BOOST_LEAF_AUTO(hex_key, reader.String("key"));
  BOOST_LEAF_AUTO(key, FromHex(hex_key));
  BOOST_LEAF_AUTO(digest, reader.String("digest"));
  BOOST_LEAF_AUTO(gateway, reader.String("gateway"));
  return ClaimRecord(RequestClaimed{
      std::move(id), {std::move(team), std::move(key)}, std::move(digest), std::move(gateway)});
}

json::object ToJson(const StoredAnswer& answer) {
  json::array headers;
  for (const AnswerHeader& it : answer.headers) {
    headers.push_back(json::object{{"name", it.name}, {"value", ToHex(it.value)}});
  }
  return {{"status", answer.status}, {"headers", std::move(headers)}, {"body", ToHex(answer.body)}};
}

Result<AnswerHeader> ReadHeader(const json::value& value) {
  BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
  BOOST_LEAF_AUTO(name, reader.String("name"));
  BOOST_LEAF_AUTO(hex_value, reader.String("value"));
  BOOST_LEAF_AUTO(bytes, FromHex(hex_value));
  return AnswerHeader{std::move(name), std::move(bytes)};
}

Result<StoredAnswer> ReadAnswer(const JsonReader& reader) {
  BOOST_LEAF_AUTO(status, reader.Number<std::uint16_t>("status"));
  BOOST_LEAF_AUTO(array, reader.Array("headers"));
  StoredAnswer answer;
  answer.status = status;
  for (const json::value& it : *array) {
    BOOST_LEAF_AUTO(header, ReadHeader(it));
    answer.headers.push_back(std::move(header));
  }
  BOOST_LEAF_AUTO(hex_body, reader.String("body"));
  BOOST_LEAF_ASSIGN(answer.body, FromHex(hex_body));
  return answer;
}

json::object Encode(const RequestCompleted& body) {
  json::object object{{"type", "request_completed"},
                      {"claim", body.claim},
                      {"run_state", RunStateName(body.run_state)}};
  if (body.answer) {
    object.emplace("answer", ToJson(*body.answer));
  }
  return object;
}

Result<ClaimRecord> DecodeCompleted(const JsonReader& reader) {
  BOOST_LEAF_AUTO(claim, reader.String("claim"));
  BOOST_LEAF_AUTO(run_state, reader.String("run_state"));
  RequestCompleted body{std::move(claim), RunState::kMayHaveRun, std::nullopt};
  if (run_state == RunStateName(RunState::kRan)) {
    body.run_state = RunState::kRan;
  }
  if (reader.Has("answer")) {
    BOOST_LEAF_AUTO(object, reader.Object("answer"));
    BOOST_LEAF_AUTO(answer, ReadAnswer(object));
    body.answer = std::move(answer);
  }
  return ClaimRecord(std::move(body));
}

json::object Encode(const RequestReleased& body) {
  return {{"type", "request_released"}, {"claim", body.claim}};
}

Result<ClaimRecord> DecodeReleased(const JsonReader& reader) {
  BOOST_LEAF_AUTO(claim, reader.String("claim"));
  return ClaimRecord(RequestReleased{std::move(claim)});
}

Result<ClaimRecord> Decode(const JsonReader& reader) {
  BOOST_LEAF_AUTO(version, reader.Number<std::uint32_t>("v"));
  if (version > kClaimSchemaVersion) {
    return Refuse(ResultCode::kNewerSchema, "v" + std::to_string(version));
  }
  BOOST_LEAF_AUTO(type, reader.String("type"));
  if (type == "request_claimed") {
    return DecodeClaimed(reader);
  }
  if (type == "request_completed") {
    return DecodeCompleted(reader);
  }
  if (type == "request_released") {
    return DecodeReleased(reader);
  }
  return Refuse(ResultCode::kCorruptRecord, "type " + type);
}

}  // namespace

std::string EncodeClaimRecord(const std::string& id, const ClaimRecord& record) {
  json::object object{{"v", kClaimSchemaVersion}, {"id", id}};
  const json::object body = std::visit([](const auto& it) { return Encode(it); }, record);
  for (const auto& it : body) {
    object.insert(it);
  }
  return json::serialize(object);
}

Result<ClaimRecord> DecodeClaimRecord(std::string_view text) {
  return detail::DecodeRecordText(text, Decode);
}

}  // namespace clementineloom::codec
