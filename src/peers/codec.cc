#include <nlohmann/json.hpp>

#include "base/cbor_depth.h"
#include "decisions/json_forms.h"
#include "peers/peers.h"

namespace sassafras {

namespace {

constexpr char kVersionField[] = "v";
constexpr char kTypeField[] = "t";
constexpr char kBodyField[] = "m";

// Finds the alternative of Message, from number `N` on, whose kName is `type`
// and reads `body` into it. Returns false if there is none.
template <size_t N = 0>
bool ReadBody(const std::string& type, const Json& body, Message& out) {
  if constexpr (N < std::variant_size_v<Message>) {
    using Type = std::variant_alternative_t<N, Message>;
    if (type == Type::kName) {
      out = body.get<Type>();
      return true;
    }
    return ReadBody<N + 1>(type, body, out);
  } else {
    return false;
  }
}

leaf::error_id Malformed(const std::string& reason) {
  return leaf::new_error(
      Error{ErrorCode::kBadInput, "decode message", "peer", reason});
}

}  // namespace

std::string EncodeMessage(const Message& message) {
  Json json;
  json[kVersionField] = kPeerProtocolVersion;
  std::visit(
      [&](const auto& it) {
        json[kTypeField] = std::decay_t<decltype(it)>::kName;
        json[kBodyField] = it;
      },
      message);
  std::string out;
  Json::to_cbor(json, out);
  return out;
}

Result<Message> DecodeMessage(std::string_view bytes) {
  if (!IsCborWithinDepth(bytes, kMaxCborDepth))
    return Malformed("malformed or nested too deeply");
  try {
    const Json json = Json::from_cbor(bytes.begin(), bytes.end());
    if (json.at(kVersionField).get<int>() != kPeerProtocolVersion)
      return Malformed("protocol version differs");
    Message message;
    const auto type = json.at(kTypeField).get<std::string>();
    if (!ReadBody(type, json.at(kBodyField), message))
      return Malformed("unknown message type '" + type + "'");
    return message;
  } catch (const std::exception& e) {
    return Malformed(e.what());
  }
}

}  // namespace sassafras
