// Messages between the processes of a deployment: one CBOR message per
// WebSocket frame, over TCP.
//
// Each process opens one connection to each peer that it sends to, and only
// sends on it. Delivery is not guaranteed: messages are dropped while a peer
// cannot be reached or its queue is full. Senders must repeat those that
// matter.
#ifndef PEERS_PEERS_H_
#define PEERS_PEERS_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/error.h"
#include "base/ids.h"
#include "base/loop.h"
#include "decisions/messages.h"

namespace sassafras {

// Version of the message encoding. Messages of another version are dropped.
constexpr int kPeerProtocolVersion = 1;

// Encodes a message as CBOR.
std::string EncodeMessage(const Message& message);

// Decodes one message. Fails with ErrorCode::kBadInput unless `bytes` are
// exactly one well-formed message of kPeerProtocolVersion.
Result<Message> DecodeMessage(std::string_view bytes);

struct MeshConfig {
  HostId self;
  Address listen;
  std::string deployment;
  std::string key;  // Secret shared by all processes of the deployment.
};

class Mesh {
 public:
  using OnMessage = std::function<void(const HostId& from, Message message)>;
  using Resolve = std::function<std::optional<Address>(const HostId&)>;

  virtual ~Mesh() = default;
  // Sends `message`, or queues it while the connection is being opened. Drops
  // it if the address of the peer is unknown, during the delay after a failed
  // connection, or if too many bytes are waiting.
  virtual void Send(const HostId& to, const Message& message) = 0;
  // As Send() to each of the peers, but encodes the message once.
  virtual void SendToAll(const std::vector<HostId>& to,
                         const Message& message) = 0;
  // Number of peers with an open connection from this process.
  virtual size_t ConnectedCount() const = 0;
  // Bytes of encoded messages since the start, without the framing. BytesSent()
  // includes dropped messages.
  virtual uint64_t BytesSent() const = 0;
  virtual uint64_t BytesReceived() const = 0;
};

// Listens for peers. `resolve` is called for each message that is sent and
// returns the current address of the peer, or nothing if it is unknown.
Result<std::unique_ptr<Mesh>> StartMesh(Loop& loop,
                                        const MeshConfig& config,
                                        Mesh::Resolve resolve,
                                        Mesh::OnMessage on_message);

}  // namespace sassafras

#endif  // PEERS_PEERS_H_
