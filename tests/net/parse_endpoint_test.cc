#include "net/parse_endpoint.h"

#include <gtest/gtest.h>

#include <string>

namespace clementineloom::net {
namespace {

class ParseEndpointTest : public testing::Test {
 protected:
  static bool IsAccepted(const std::string& text) {
    return !RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_CHECK(ParseEndpoint(text));
      return {};
    });
  }
};

// Guards against untrusted addresses that crash the reader, or are parsed as another host than
// their text shows.
TEST_F(ParseEndpointTest, ParseEndpoint_OfMalformedAddresses_IsRefused) {
  for (const std::string& text :
       {std::string(), std::string("a"), std::string(":"), std::string(":80"),
        std::string("10.0.0.1"), std::string("10.0.0.1:"), std::string("10.0.0.1:65536"),
        std::string("10.0.0.1:99999999999"), std::string("10.0.0.1:-1"), std::string("10.0.0.1:+1"),
        std::string("10.0.0.1: 1"), std::string("10.0.0.1:1 "), std::string("10.0.0.1:1e3"),
        std::string("10.0.0.256:80"), std::string("host:80"), std::string("[::1:80"),
        std::string("[]:80"), std::string("10.0.0.1\0x:80", 13),
        "::1%" + std::string(70'000, 'a') + ":80"}) {
    EXPECT_FALSE(IsAccepted(text)) << testing::PrintToString(text.substr(0, 40));
  }
}

// Guards against a refusal of valid addresses.
TEST_F(ParseEndpointTest, ParseEndpoint_OfNumericAddresses_IsAccepted) {
  for (const char* text :
       {"10.0.0.1:80", "127.0.0.1:0", "10.0.0.1:65535", "[::1]:80", "[fe80::1%1]:80",
        "[ffff:ffff:ffff:ffff:ffff:ffff:255.255.255.255]:65535"}) {
    EXPECT_TRUE(IsAccepted(text)) << text;
  }
}

}  // namespace
}  // namespace clementineloom::net
