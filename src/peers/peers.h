// Messages between the system's own processes: WebSocket frames that hold one
// CBOR message each, over TCP.
//
// Each process opens one connection to every peer that it sends to. Messages
// are dropped while a peer cannot be reached; the protocols above repeat what
// matters.
#ifndef PEERS_PEERS_H_
#define PEERS_PEERS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "base/address.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/loop.h"
#include "decisions/messages.h"

namespace sassafras {

// Version of the messages' form; peers of another version are refused.
constexpr int kPeerProtocolVersion = 1;

// One message as CBOR.
std::string EncodeMessage(const Message& message);

// Fails on anything that is not exactly one well-formed message.
Result<Message> DecodeMessage(std::string_view bytes);

struct MeshConfig {
  HostId self;
  Address listen;
  std::string deployment;
  std::string key;  // Shared by all processes of the deployment.
};

class Mesh {
 public:
  using OnMessage = std::function<void(const HostId& from, Message message)>;
  using Resolve = std::function<std::optional<Address>(const HostId&)>;

  virtual ~Mesh() = default;
  // Sends `message` once the peer is connected, if that is soon.
  virtual void Send(const HostId& to, const Message& message) = 0;
  // Number of connected peers.
  virtual size_t ConnectedCount() const = 0;
  // Bytes sent and received since the start.
  virtual uint64_t BytesSent() const = 0;
  virtual uint64_t BytesReceived() const = 0;
};

// Listens and serves. `resolve` gives the address of a peer at the time of a
// connection attempt.
Result<std::unique_ptr<Mesh>> StartMesh(Loop& loop,
                                        const MeshConfig& config,
                                        Mesh::Resolve resolve,
                                        Mesh::OnMessage on_message);

}  // namespace sassafras

#endif  // PEERS_PEERS_H_
