#include "gateway/request_digest.h"

#include <boost/uuid/name_generator_sha1.hpp>
#include <boost/uuid/uuid.hpp>
#include <boost/uuid/uuid_io.hpp>

namespace clementineloom::gateway {

std::string RequestDigest(const net::HttpRequest& request) {
  const boost::uuids::name_generator_sha1 digest(boost::uuids::ns::oid());
  // Neither a method nor a target contains a line feed.
  return boost::uuids::to_string(
      digest(request.method + "\n" + request.target + "\n" + request.body));
}

}  // namespace clementineloom::gateway
