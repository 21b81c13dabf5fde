#include "base/http_fields.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

bool IsAlphanumeric(char c) {
  return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
         (c >= 'A' && c <= 'Z');
}

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
}

bool IsBlank(char c) {
  return c == ' ' || c == '\t';
}

}  // namespace

bool IsFieldName(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
    return IsAlphanumeric(c) ||
           kTokenPunctuation.find(c) != std::string_view::npos;
  });
}

bool IsFieldValue(std::string_view text) {
  if (!text.empty() && (IsBlank(text.front()) || IsBlank(text.back())))
    return false;
  return std::none_of(text.begin(), text.end(),
                      [](char c) { return IsControl(c) && c != '\t'; });
}

}  // namespace sassafras
