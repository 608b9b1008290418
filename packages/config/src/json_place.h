/// \file
/// Parses JSON documents, with the place of a syntax fault.
#pragma once

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

#include <string>
#include <string_view>

namespace crocuswood::config {

/// \returns the document, or every key that stands twice in one object, or the
/// first syntax fault with its line and column.
checked<nlohmann::json> parseDocument(std::string_view Text,
                                      const std::string &Source);

} // namespace crocuswood::config
