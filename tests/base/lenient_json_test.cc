#include "base/lenient_json.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

using Json = nlohmann::json;

TEST(LenientJsonTest, ValidTextGivesSameValueAsStrictParser) {
  const std::vector<std::string> texts = {
      "null",
      "true",
      "[]",
      "{}",
      "-7",
      "18446744073709551615",
      "-9223372036854775808",
      "0.25",
      R"("a\u00e9\n\"b\"")",
      R"({"a":[1,2,{"b":null}],"c":"d","e":{"f":[false]}})",
  };
  for (const std::string& it : texts) {
    SCOPED_TRACE(it);
    const auto parsed = ParseLenientJson(it);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->value, Json::parse(it));
    EXPECT_EQ(parsed->value.type(), Json::parse(it).type());
    EXPECT_EQ(parsed->dropped, 0U);
  }
}

TEST(LenientJsonTest, OnlyUnrepresentableValuesBecomeNull) {
  constexpr size_t kDepth = 100'000;
  const std::string deep =
      std::string(kDepth, '[') + "1" + std::string(kDepth, ']');
  struct Case {
    std::string text;
    Json expected;
    size_t dropped;
  };
  const std::vector<Case> cases = {
      {"[1,1e999,2]", Json::array({1, nullptr, 2}), 1},
      {"[-1e999]", Json::array({nullptr}), 1},
      {R"({"a":1e999,"b":2})", {{"a", nullptr}, {"b", 2}}, 1},
      {"[" + std::string(400, '9') + "]", Json::array({nullptr}), 1},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.text);
    const auto parsed = ParseLenientJson(it.text);
    ASSERT_TRUE(parsed);
    EXPECT_EQ(parsed->value, it.expected);
    EXPECT_EQ(parsed->dropped, it.dropped);
  }
  const auto parsed = ParseLenientJson(R"({"a":)" + deep + R"(,"b":[{}]})");
  ASSERT_TRUE(parsed);
  EXPECT_EQ(parsed->dropped, 1U);
  EXPECT_EQ(parsed->value.at("b"), Json::array({Json::object()}));
  // The depth is limited, because code that uses the value may be recursive.
  EXPECT_LT(parsed->value.dump().size(), 4 * kMaxJsonDepth);
}

TEST(LenientJsonTest, InvalidSyntaxIsRejected) {
  for (const char* it : {"", "{", "[1,]", "{\"a\"}", "nul", "[1] 2", "{1:2}"})
    EXPECT_FALSE(ParseLenientJson(it)) << it;
}

TEST(LenientJsonTest, IntegersAreCheckedAgainstRangeOfTheirType) {
  struct Case {
    Json json;
    std::optional<uint16_t> expected;
  };
  const std::vector<Case> cases = {
      {0, 0},
      {65535, 65535},
      {65536, std::nullopt},
      {-1, std::nullopt},
      {1.0, std::nullopt},
      {1e300, std::nullopt},
      {"7", std::nullopt},
      {nullptr, std::nullopt},
      {true, std::nullopt},
  };
  for (const Case& it : cases)
    EXPECT_EQ(ToInteger<uint16_t>(it.json), it.expected) << it.json;
  EXPECT_EQ(ToInteger<int>(Json(-5)), -5);
  EXPECT_EQ(ToInteger<int>(Json(INT64_MIN)), std::nullopt);
  EXPECT_EQ(ToInteger<uint64_t>(Json(UINT64_MAX)), UINT64_MAX);
}

}  // namespace
}  // namespace sassafras
