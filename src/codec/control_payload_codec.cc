#include "codec/control_payload_codec.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <optional>
#include <utility>

#include "codec/crc32.h"
#include "codec/detail/json_reader.h"
#include "codec/record_codec.h"

namespace clementineloom::codec {
namespace {

namespace json = boost::json;
using detail::JsonReader;

// Member that identifies a chunk. Quotes inside a JSON string are escaped, so that no other record
// contains this text.
constexpr std::string_view kChunkTypeMember = R"("type":"snapshot_chunk")";

Result<SnapshotChunk> ReadChunk(const JsonReader& json) {
  BOOST_LEAF_AUTO(version, json.Number<std::uint32_t>("v"));
  if (version > kRecordSchemaVersion) {
    return Refuse(ResultCode::kNewerSchema, "v" + std::to_string(version));
  }
  BOOST_LEAF_AUTO(snapshot, json.String("snapshot"));
  BOOST_LEAF_AUTO(covers, json.Number<std::uint64_t>("covers"));
  BOOST_LEAF_AUTO(index, json.Number<std::uint32_t>("index"));
  BOOST_LEAF_AUTO(count, json.Number<std::uint32_t>("count"));
  BOOST_LEAF_AUTO(checksum, json.Number<std::uint32_t>("checksum"));
  BOOST_LEAF_AUTO(image_checksum, json.Number<std::uint32_t>("image_checksum"));
  BOOST_LEAF_AUTO(data, json.String("data"));
  if (index >= count || Crc32(data) != checksum) {
    return Refuse(ResultCode::kSnapshotTorn, snapshot + " chunk " + std::to_string(index));
  }
  return SnapshotChunk{std::move(snapshot), LogOffset(covers), index, count, checksum,
                       image_checksum,      std::move(data)};
}

Result<ControlPayload> DecodeChunk(std::string_view text) {
  boost::system::error_code ec;
  const json::value value = json::parse(text, ec);
  if (ec) {
    return Refuse(ResultCode::kCorruptRecord, ec.message());
  }
  std::optional<SnapshotChunk> chunk;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
    BOOST_LEAF_AUTO(decoded, ReadChunk(reader));
    chunk.emplace(std::move(decoded));
    return {};
  });
  if (!refusal) {
    return ControlPayload(std::move(*chunk));
  }
  const bool is_known =
      refusal->code == ResultCode::kNewerSchema || refusal->code == ResultCode::kSnapshotTorn;
  return Refuse(is_known ? refusal->code : ResultCode::kCorruptRecord, refusal->detail);
}

}  // namespace

std::string EncodeSnapshotChunk(const std::string& id, const SnapshotChunk& chunk) {
  return json::serialize(json::object{{"v", kRecordSchemaVersion},
                                      {"id", id},
                                      {"type", "snapshot_chunk"},
                                      {"snapshot", chunk.snapshot},
                                      {"covers", chunk.covers.value()},
                                      {"index", chunk.index},
                                      {"count", chunk.count},
                                      {"checksum", chunk.checksum},
                                      {"image_checksum", chunk.image_checksum},
                                      {"data", chunk.data}});
}

Result<ControlPayload> DecodeControlPayload(std::string_view text) {
  if (text.find(kChunkTypeMember) != std::string_view::npos) {
    return DecodeChunk(text);
  }
  BOOST_LEAF_AUTO(record, DecodeRecord(text));
  return ControlPayload(std::move(record));
}

}  // namespace clementineloom::codec
