#pragma once

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <optional>
#include <string_view>
#include <utility>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"

namespace clementineloom::codec::detail {

/// @brief Parses the text of a record of any stream and reads it with the given function.
///
/// An error in any field makes the whole record corrupt, unless its schema version is newer.
/// Errors: kCorruptRecord, kNewerSchema. Thread safety: that of the function.
template <class T>
[[nodiscard]] Result<T> DecodeRecordText(std::string_view text,
                                         Result<T> (*read)(const JsonReader&)) {
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(text, ec);
  if (ec) {
    return Refuse(ResultCode::kCorruptRecord, ec.message());
  }
  std::optional<T> record;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
    BOOST_LEAF_AUTO(decoded, read(reader));
    record.emplace(std::move(decoded));
    return {};
  });
  if (!refusal) {
    return std::move(*record);
  }
  const bool is_newer = refusal->code == ResultCode::kNewerSchema;
  return Refuse(is_newer ? ResultCode::kNewerSchema : ResultCode::kCorruptRecord, refusal->detail);
}

}  // namespace clementineloom::codec::detail
