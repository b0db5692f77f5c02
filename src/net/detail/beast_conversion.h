#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include "net/http_request.h"
#include "net/http_response.h"

namespace clementineloom::net::detail {

using BeastRequest = boost::beast::http::request<boost::beast::http::string_body>;
using BeastResponse = boost::beast::http::response<boost::beast::http::string_body>;

[[nodiscard]] HttpRequest FromBeast(BeastRequest message);
[[nodiscard]] HttpResponse FromBeast(BeastResponse message);
/// @brief As above, for the answer to a HEAD request, which has a length but no body.
[[nodiscard]] HttpResponse HeadFromBeast(BeastResponse message);
[[nodiscard]] BeastRequest ToBeast(const HttpRequest& request, const std::string& host);
[[nodiscard]] BeastResponse ToBeast(const HttpResponse& response, bool keep_alive);
/// @brief As above, for the answer to a HEAD request.
[[nodiscard]] BeastResponse HeadToBeast(const HttpResponse& response, bool keep_alive);

}  // namespace clementineloom::net::detail
