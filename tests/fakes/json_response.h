#pragma once

#include <boost/json/object.hpp>

#include "net/http_response.h"

namespace clementineloom::fakes {

/// @brief A response with status 200 and a JSON body.
[[nodiscard]] net::HttpResponse JsonResponse(const boost::json::object& body);

}  // namespace clementineloom::fakes
