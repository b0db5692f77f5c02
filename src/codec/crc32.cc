#include "codec/crc32.h"

#include <boost/crc.hpp>

namespace clementineloom::codec {

std::uint32_t Crc32(std::string_view text) {
  boost::crc_32_type crc;
  crc.process_bytes(text.data(), text.size());
  return crc.checksum();
}

}  // namespace clementineloom::codec
