#include "fakes/json_response.h"

#include <boost/json/serialize.hpp>

namespace clementineloom::fakes {

net::HttpResponse JsonResponse(const boost::json::object& body) {
  const auto headers = net::HttpHeaders().With("Content-Type", "application/json");
  return {200, headers, boost::json::serialize(body) + "\n"};
}

}  // namespace clementineloom::fakes
