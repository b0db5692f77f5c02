#include <string>
#include <string_view>

#include "clementineloom/errors/result.h"
#include "codec/record_codec.h"
#include "fuzz_target.h"

// Checks that each decoded record encodes to text that decodes to an equal record.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using clementineloom::Result;
  namespace codec = clementineloom::codec;
  const std::string_view text(reinterpret_cast<const char*>(data), size);
  (void)clementineloom::RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(record, codec::DecodeRecord(text));
    BOOST_LEAF_AUTO(again, codec::DecodeRecord(codec::EncodeRecord(record)));
    if (again != record) {
      __builtin_trap();
    }
    return {};
  });
  return 0;
}
