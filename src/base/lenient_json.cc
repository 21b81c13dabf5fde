#include "base/lenient_json.h"

#include <yajl/yajl_parse.h>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sassafras {

namespace {

using Json = nlohmann::json;

constexpr int kContinueParsing = 1;

// Builds a value from the events of the yajl parser.
class Builder {
 public:
  void Add(Json value) {
    if (skipped_depth_ > 0)
      return;
    if (open_.empty())
      root_ = std::move(value);
    else if (open_.back().value.is_array())
      open_.back().value.push_back(std::move(value));
    else
      open_.back().value[open_.back().key] = std::move(value);
  }

  void AddNumber(const std::string& text) {
    const char* const end = text.data() + text.size();
    uint64_t unsigned_number = 0;
    int64_t number = 0;
    if (ConsumedAll(std::from_chars(text.data(), end, unsigned_number), end)) {
      Add(unsigned_number);
    } else if (ConsumedAll(std::from_chars(text.data(), end, number), end)) {
      Add(number);
    } else if (const double real = std::strtod(text.c_str(), nullptr);
               std::isfinite(real)) {
      Add(real);
    } else {
      ++dropped_;
      Add(nullptr);
    }
  }

  void SetKey(std::string key) {
    if (skipped_depth_ == 0)
      open_.back().key = std::move(key);
  }

  void BeginContainer(Json empty_container) {
    if (skipped_depth_ > 0) {
      ++skipped_depth_;
      return;
    }
    if (open_.size() >= kMaxJsonDepth) {
      ++dropped_;
      skipped_depth_ = 1;
      return;
    }
    open_.push_back({std::move(empty_container), {}});
  }

  void EndContainer() {
    if (skipped_depth_ > 0) {
      if (--skipped_depth_ == 0)
        Add(nullptr);
      return;
    }
    Json value = std::move(open_.back().value);
    open_.pop_back();
    Add(std::move(value));
  }

  size_t open_containers() const { return open_.size() + skipped_depth_; }

  LenientJson TakeResult() { return {std::move(root_), dropped_}; }

 private:
  struct OpenContainer {
    Json value;
    std::string key;  // Key of the next member, if this is an object.
  };

  static bool ConsumedAll(const std::from_chars_result& result,
                          const char* end) {
    return result.ec == std::errc() && result.ptr == end;
  }

  std::vector<OpenContainer> open_;
  size_t skipped_depth_ = 0;
  size_t dropped_ = 0;
  Json root_;
};

Builder& BuilderOf(void* context) {
  return *static_cast<Builder*>(context);
}

std::string ToText(const unsigned char* text, size_t n) {
  return {reinterpret_cast<const char*>(text), n};
}

constexpr yajl_callbacks kCallbacks = {
    [](void* context) {
      BuilderOf(context).Add(nullptr);
      return kContinueParsing;
    },
    [](void* context, int value) {
      BuilderOf(context).Add(value != 0);
      return kContinueParsing;
    },
    nullptr,
    nullptr,
    [](void* context, const char* text, size_t n) {
      BuilderOf(context).AddNumber(std::string(text, n));
      return kContinueParsing;
    },
    [](void* context, const unsigned char* text, size_t n) {
      BuilderOf(context).Add(ToText(text, n));
      return kContinueParsing;
    },
    [](void* context) {
      BuilderOf(context).BeginContainer(Json::object());
      return kContinueParsing;
    },
    [](void* context, const unsigned char* text, size_t n) {
      BuilderOf(context).SetKey(ToText(text, n));
      return kContinueParsing;
    },
    [](void* context) {
      BuilderOf(context).EndContainer();
      return kContinueParsing;
    },
    [](void* context) {
      BuilderOf(context).BeginContainer(Json::array());
      return kContinueParsing;
    },
    [](void* context) {
      BuilderOf(context).EndContainer();
      return kContinueParsing;
    },
};

// Returns whether the syntax of all of `text` is valid.
bool Parse(std::string_view text, Builder& builder) {
  const std::unique_ptr<yajl_handle_t, decltype(&yajl_free)> parser(
      yajl_alloc(&kCallbacks, nullptr, &builder), &yajl_free);
  yajl_config(parser.get(), yajl_dont_validate_strings, 1);
  return yajl_parse(parser.get(),
                    reinterpret_cast<const unsigned char*>(text.data()),
                    text.size()) == yajl_status_ok &&
         yajl_complete_parse(parser.get()) == yajl_status_ok;
}

}  // namespace

LenientJsonPrefix ParseLenientJsonPrefix(std::string_view text) {
  Builder builder;
  const bool is_valid = Parse(text, builder);
  const size_t open =
      is_valid ? 0 : std::max<size_t>(builder.open_containers(), 1);
  while (builder.open_containers() > 0)
    builder.EndContainer();
  LenientJson result = builder.TakeResult();
  return {std::move(result.value), result.dropped, open};
}

std::optional<LenientJson> ParseLenientJson(std::string_view text) {
  Builder builder;
  if (!Parse(text, builder))
    return std::nullopt;
  return builder.TakeResult();
}

std::string DumpLenientJson(const Json& json) {
  constexpr int kNoIndent = -1;
  return json.dump(kNoIndent, ' ', false, Json::error_handler_t::replace);
}

}  // namespace sassafras
