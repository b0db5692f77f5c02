#pragma once

#include <boost/json/object.hpp>
#include <string>

namespace clementineloom::rpc {

/// @brief A call of a method with named parameters.
struct RpcCall {
  std::string method;
  boost::json::object params;
};

}  // namespace clementineloom::rpc
