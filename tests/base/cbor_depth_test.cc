#include "base/cbor_depth.h"

#include <gtest/gtest.h>

#include <random>
#include <string>

#include <nlohmann/json.hpp>

namespace sassafras {
namespace {

using Json = nlohmann::json;

std::string Bytes(std::initializer_list<int> values) {
  std::string out;
  for (const int it : values)
    out += static_cast<char>(it);
  return out;
}

TEST(CborDepthTest, LimitsNestingOfEachKindOfContainer) {
  struct Case {
    const char* name;
    std::string bytes;
    bool expected;
  };
  const auto repeat = [](const std::string& it, int n) {
    std::string out;
    for (int i = 0; i < n; ++i)
      out += it;
    return out;
  };
  const std::string leaf = Bytes({0x01});
  const std::string end = Bytes({0xff});
  const std::vector<Case> cases = {
      {"number", leaf, true},
      {"arrays within", repeat(Bytes({0x81}), 4) + leaf, true},
      {"arrays beyond", repeat(Bytes({0x81}), 5) + leaf, false},
      {"maps beyond", repeat(Bytes({0xa1, 0x01}), 5) + leaf, false},
      {"tags beyond", repeat(Bytes({0xc1}), 5) + leaf, false},
      {"endless arrays within",
       repeat(Bytes({0x9f}), 4) + leaf + repeat(end, 4), true},
      {"endless arrays beyond",
       repeat(Bytes({0x9f}), 5) + leaf + repeat(end, 5), false},
      {"wide and shallow", Bytes({0x98, 0xff}) + repeat(Bytes({0x80}), 255),
       true},
      {"deep after a sibling",
       Bytes({0x82, 0x80}) + repeat(Bytes({0x81}), 5) + leaf, false},
      {"chunked text", Bytes({0x7f, 0x61, 'a', 0x61, 'b', 0xff}), true},
      {"empty", "", false},
      {"truncated array", Bytes({0x82, 0x01}), false},
      {"truncated text", Bytes({0x63, 'a'}), false},
      {"huge length",
       Bytes({0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0x01}),
       false},
      {"break outside", end, false},
      {"reserved argument", Bytes({0x1c}), false},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EXPECT_EQ(IsCborWithinDepth(it.bytes, 4), it.expected);
  }
}

Json RandomJson(std::mt19937_64& random, int depth) {
  switch (depth == 0 ? random() % 4 : random() % 6) {
    case 0:
      return random();
    case 1:
      return -static_cast<int64_t>(random() >> 2);
    case 2:
      return std::string(random() % 300, 'x');
    case 3:
      return random() % 2 == 0 ? Json(1.5) : Json(true);
    case 4: {
      Json out = Json::array();
      for (uint64_t n = random() % 30; n > 0; --n)
        out.push_back(RandomJson(random, depth - 1));
      return out;
    }
    default: {
      Json out = Json::object();
      for (uint64_t n = random() % 5; n > 0; --n)
        out[std::to_string(random())] = RandomJson(random, depth - 1);
      return out;
    }
  }
}

// Accepts what the encoder writes.
TEST(CborDepthTest, AcceptsEncodedMessages) {
  std::mt19937_64 random(20261205);
  for (int i = 0; i < 300; ++i) {
    std::string bytes;
    Json::to_cbor(RandomJson(random, 4), bytes);
    EXPECT_TRUE(IsCborWithinDepth(bytes, 4)) << i;
  }
}

}  // namespace
}  // namespace sassafras
