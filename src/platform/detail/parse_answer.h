#pragma once

#include <boost/json/parse.hpp>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"

namespace clementineloom::platform::detail {

/// @brief Parses and decodes a JSON object; empty if the text or a field is malformed.
template <class T>
[[nodiscard]] std::optional<T> ParseAnswer(const std::string& body,
                                           Result<T> (*read)(const codec::detail::JsonReader&)) {
  boost::system::error_code ec;
  const boost::json::value value = boost::json::parse(body, ec);
  if (ec) {
    return std::nullopt;
  }
  return CatchRefusal(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(reader, codec::detail::JsonReader::Of(value));
        BOOST_LEAF_AUTO(parsed, read(reader));
        return std::optional<T>(std::move(parsed));
      },
      [](const Refusal&) { return std::optional<T>(); });
}

}  // namespace clementineloom::platform::detail
