#include "gateway/gossip.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace sassafras {
namespace {

using Json = nlohmann::json;

std::string ToCbor(const Json& json) {
  std::string out;
  Json::to_cbor(json, out);
  return out;
}

// Version, host notices, heartbeat counts, demands, an unused item of an
// earlier release, crashes, leavings.
Json ValidMessage() {
  return Json::array(
      {1,
       Json::array(
           {Json::array({"h", "10.0.0.1", 8144, "z", 1, 2, 1, 3, 0.1, true})}),
       Json::array({7, 8}), Json::array({7, 1000, 2000}), Json::array(),
       Json::array({Json::array({7, 0, 10, 1, 30, 20})}),
       Json::array({7, 10})});
}

bool IsAccepted(const Json& json) {
  return TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeGossip(ToCbor(json)));
        return true;
      },
      [](const Error&) { return false; });
}

// Converting a number that is out of the target type's range is undefined
// behaviour or yields a wrong value, so the message must be rejected.
TEST(GossipTest, RejectsNumbersOutOfRange) {
  ASSERT_TRUE(IsAccepted(ValidMessage()));
  const std::vector<std::string> fields = {
      "/0",     "/1/0/2", "/1/0/4", "/1/0/5", "/1/0/6", "/1/0/7", "/2/0",
      "/2/1",   "/3/0",   "/3/1",   "/3/2",   "/5/0/0", "/5/0/1", "/5/0/2",
      "/5/0/3", "/5/0/4", "/5/0/5", "/6/0",   "/6/1"};
  for (const std::string& field : fields) {
    for (const Json& invalid : {Json(1e300), Json(-1e300), Json("7"), Json()}) {
      Json message = ValidMessage();
      message[Json::json_pointer(field)] = invalid;
      EXPECT_FALSE(IsAccepted(message)) << field << " " << invalid;
    }
  }
  Json message = ValidMessage();
  message[Json::json_pointer("/1/0/2")] = 70000;
  EXPECT_FALSE(IsAccepted(message));
}

// Guards against deeply nested arrays that fit in one datagram: the decoder
// must reject them without overflowing the stack.
TEST(GossipTest, RejectsDeeplyNestedMessage) {
  constexpr size_t kDepth = 60'000;
  const std::string bytes = std::string(kDepth, '\x81') + '\x01';
  const bool is_accepted = TryOr(
      [&]() -> Result<bool> {
        BOOST_LEAF_CHECK(DecodeGossip(bytes));
        return true;
      },
      [](const Error&) { return false; });
  EXPECT_FALSE(is_accepted);
}

}  // namespace
}  // namespace sassafras
