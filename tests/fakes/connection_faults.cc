#include "fakes/connection_faults.h"

namespace clementineloom::fakes {

Result<ConnectionFaults> WithChanges(ConnectionFaults faults,
                                     const codec::detail::JsonReader& json) {
  if (json.Has("refuse")) {
    BOOST_LEAF_ASSIGN(faults.refuse, json.Bool("refuse"));
  }
  if (json.Has("freeze")) {
    BOOST_LEAF_ASSIGN(faults.freeze, json.Bool("freeze"));
  }
  if (json.Has("delay_ms")) {
    BOOST_LEAF_ASSIGN(faults.delay_ms, json.Number<std::uint32_t>("delay_ms"));
  }
  if (json.Has("lose_answer")) {
    BOOST_LEAF_ASSIGN(faults.lose_answer, json.Number<std::uint32_t>("lose_answer"));
  }
  return faults;
}

}  // namespace clementineloom::fakes
