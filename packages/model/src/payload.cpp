#include <crocuswood/model.h>

#include <xxhash.h>

namespace crocuswood {

std::uint64_t digest(std::string_view Bytes, std::uint64_t Seed) {
  return XXH3_64bits_withSeed(Bytes.data(), Bytes.size(), Seed);
}

} // namespace crocuswood
