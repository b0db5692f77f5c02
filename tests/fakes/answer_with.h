#pragma once

#include <boost/json/parse.hpp>
#include <string>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"
#include "net/http_response.h"
#include "net/refusal_response.h"

namespace clementineloom::fakes {

/// @brief The response of an operation on the JSON object of a request body.
/// @param operation callable with const JsonReader& that returns Result<HttpResponse>; a refusal
/// becomes the response of its code
template <class Operation>
[[nodiscard]] net::HttpResponse AnswerWith(const std::string& body, Operation operation) {
  return CatchRefusal(
      [&]() -> Result<net::HttpResponse> {
        boost::system::error_code ec;
        const boost::json::value value = boost::json::parse(body, ec);
        if (ec) {
          return Refuse(ResultCode::kMalformedDocument, ec.message());
        }
        BOOST_LEAF_AUTO(reader, codec::detail::JsonReader::Of(value));
        return operation(reader);
      },
      [](const Refusal& refusal) { return net::RefusalResponse(refusal); });
}

}  // namespace clementineloom::fakes
