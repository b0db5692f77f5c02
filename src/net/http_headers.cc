#include "net/http_headers.h"

#include <boost/beast/core/string.hpp>
#include <string>

namespace clementineloom::net {

std::string_view HttpHeaders::Find(std::string_view name) const {
  for (const HttpHeader& it : fields_) {
    if (boost::beast::iequals(it.name, {name.data(), name.size()})) {
      return it.value;
    }
  }
  return {};
}

HttpHeaders HttpHeaders::With(std::string_view name, std::string_view value) const {
  std::vector<HttpHeader> fields = fields_;
  fields.push_back({std::string(name), std::string(value)});
  return HttpHeaders(std::move(fields));
}

}  // namespace clementineloom::net
