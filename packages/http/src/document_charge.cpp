#include <crocuswood/memory_budget.h>

#include <algorithm>

namespace crocuswood::http {

namespace {

// Texts up to this length are not looked at: their estimate is small anyhow.
constexpr std::size_t ShortBytes = 16'384;
constexpr std::uint64_t ShortFactor = 16;
// What a member or an element takes at most for each of its brackets, commas
// and colons, and a text for each of its quotes, with the spare room of a list
// that grows.
constexpr std::uint64_t StructureBytes = 64;
constexpr std::uint64_t QuoteBytes = 24;

} // namespace

// Counts characters within texts too, so that no text is underestimated.
std::uint64_t estimateDocument(std::string_view Text) {
  if (Text.size() <= ShortBytes) {
    return Text.size() * ShortFactor;
  }
  std::uint64_t Structure = 0;
  std::uint64_t Quotes = 0;
  for (const char Each : Text) {
    Structure += static_cast<std::uint64_t>(Each == ',' || Each == ':' ||
                                            Each == '[' || Each == '{');
    Quotes += static_cast<std::uint64_t>(Each == '"');
  }
  return Text.size() + Structure * StructureBytes + Quotes * QuoteBytes;
}

document_charge::document_charge(memory_account *Memory, std::string_view Text)
    : Memory(Memory) {
  if (Memory == nullptr) {
    return;
  }
  Bytes = estimateDocument(Text);
  Admitted = Memory->addDocument(Bytes, Text.size());
}

document_charge::~document_charge() {
  if (Memory != nullptr && Admitted) {
    Memory->removeDocument(Bytes);
  }
}

} // namespace crocuswood::http
