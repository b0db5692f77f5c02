#pragma once

#include <string>
#include <vector>

namespace clementineloom::testing_support {

/// @brief A worker entry that the parser must reject, with a description for test output.
struct InvalidWorkerEntry {
  std::string what;
  std::string value;
};

/// @brief A worker's entry with one member replaced.
/// @param member JSON key; added if the entry does not have it
/// @param text JSON of the new value
[[nodiscard]] inline std::string WorkerEntryWith(const std::string& member,
                                                 const std::string& text) {
  const std::vector<std::pair<std::string, std::string>> members{
      {"service", R"("inspect")"},
      {"address", R"("10.0.1.0:1")"},
      {"zone", R"("kolka")"},
      {"state", R"("ready")"},
      {"capacity", R"({"cpu":8000,"memMb":1000,"gpus":8})"},
      {"labels", R"(["a","r1"])"},
      {"born", "1"}};
  std::string entry = "{";
  bool is_replaced = false;
  for (const auto& [name, value] : members) {
    const bool is_same = name == member;
    is_replaced = is_replaced || is_same;
    entry += "\"" + name + "\":" + (is_same ? text : value) + ",";
  }
  if (!is_replaced) {
    entry += "\"" + member + "\":" + text + ",";
  }
  entry.back() = '}';
  return entry;
}

/// @brief JSON text nested deeply enough to overflow the stack of a recursive parser.
[[nodiscard]] inline std::string DeeplyNested() {
  constexpr std::size_t kDepth = 100'000;
  return std::string(kDepth, '[') + std::string(kDepth, ']');
}

/// @brief One entry for each kind of invalid value.
[[nodiscard]] inline std::vector<InvalidWorkerEntry> InvalidWorkerEntries() {
  const auto capacity = [](const std::string& cpu, const std::string& accelerators) {
    return WorkerEntryWith("capacity",
                           R"({"cpu":)" + cpu + R"(,"memMb":1000,"gpus":)" + accelerators + "}");
  };
  constexpr std::size_t kManyLabels = 5'000;
  std::string labels = "[\"a\"";
  for (std::size_t n = 0; n < kManyLabels; ++n) {
    labels += ",\"r" + std::to_string(n) + "\"";
  }
  labels += "]";
  return {
      {"deeply nested", DeeplyNested()},
      {"deeply nested member", WorkerEntryWith("version", DeeplyNested())},
      {"deeply nested labels", WorkerEntryWith("labels", DeeplyNested())},
      {"not JSON", std::string("\xff\xfe\0\x01", 4)},
      {"address without a port", WorkerEntryWith("address", R"("10.0.1.9")")},
      {"address with an empty port", WorkerEntryWith("address", R"("10.0.1.9:")")},
      {"address with port 0", WorkerEntryWith("address", R"("10.0.1.9:0")")},
      {"address with port 65536", WorkerEntryWith("address", R"("10.0.1.9:65536")")},
      {"address with a huge port", WorkerEntryWith("address", R"("10.0.1.9:99999999999")")},
      {"address with a negative port", WorkerEntryWith("address", R"("10.0.1.9:-1")")},
      {"address without a host", WorkerEntryWith("address", R"(":80")")},
      {"address with a name", WorkerEntryWith("address", R"("worker.example:80")")},
      {"unspecified address", WorkerEntryWith("address", R"("0.0.0.0:80")")},
      {"multicast address", WorkerEntryWith("address", R"("224.0.0.1:80")")},
      {"address with a zero byte", WorkerEntryWith("address", R"("10.0.1.9\u0000x:80")")},
      {"address with a long scope",
       WorkerEntryWith("address", "\"::1%" + std::string(70'000, 'a') + ":80\"")},
      {"empty address", WorkerEntryWith("address", R"("")")},
      {"negative capacity", capacity("-8000", "8")},
      {"least capacity", capacity("-9223372036854775808", "8")},
      {"greatest capacity", capacity("9223372036854775807", "8")},
      {"greatest accelerators", capacity("8000", "9223372036854775807")},
      {"capacity beyond signed numbers", capacity("18446744073709551615", "8")},
      {"capacity of 1e308", capacity("1e308", "8")},
      {"capacity of 1e400", capacity("1e400", "8")},
      {"capacity with a fraction", capacity("8000.5", "8")},
      {"accelerators of another type", capacity("8000", R"("8")")},
      {"greatest start", WorkerEntryWith("born", "9223372036854775807")},
      {"negative start", WorkerEntryWith("born", "-5")},
      {"start with a fraction", WorkerEntryWith("born", "1.5")},
      {"start of another type", WorkerEntryWith("born", "[]")},
      {"greatest remaining time", WorkerEntryWith("remainingMs", "9223372036854775807")},
      {"remaining time of 1e300", WorkerEntryWith("remainingMs", "1e300")},
      {"remaining time of another type", WorkerEntryWith("remainingMs", R"("soon")")},
      {"greatest cold remaining time", WorkerEntryWith("coldRemainingMs", "18446744073709551615")},
      {"sequence of another type", WorkerEntryWith("sequence", R"("one")")},
      {"version of another type", WorkerEntryWith("version", "1")},
      {"slots of another type", WorkerEntryWith("slots", "{}")},
      {"empty service", WorkerEntryWith("service", R"("")")},
      {"long service", WorkerEntryWith("service", "\"" + std::string(70'000, 'a') + "\"")},
      {"long data centre", WorkerEntryWith("zone", "\"" + std::string(70'000, 'a') + "\"")},
      {"many labels", WorkerEntryWith("labels", labels)},
      {"long label", WorkerEntryWith("labels", "[\"" + std::string(70'000, 'a') + "\"]")},
      {"state of another type", WorkerEntryWith("state", "7")},
      {"unknown state", WorkerEntryWith("state", R"("asleep")")},
  };
}

}  // namespace clementineloom::testing_support
