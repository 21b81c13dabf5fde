// Sends and receives gossip between hosts as CBOR datagrams on one UDP port.
//
// Uses datagrams rather than the TCP connections of src/peers because each
// round goes to different hosts, and because the next round makes up for a
// lost datagram.
#ifndef GATEWAY_GOSSIP_H_
#define GATEWAY_GOSSIP_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gateway/gateway_state.h"

namespace sassafras {

// Encodes and decodes one datagram. Encoding omits host notices beyond the
// 400th. Decoding fails with kBadInput on malformed CBOR, another protocol
// version, or values of the wrong type or range.
std::string EncodeGossip(const GossipMessage& message);
Result<GossipMessage> DecodeGossip(std::string_view bytes);

class Gossip {
 public:
  explicit Gossip(GatewayState& state) : state_(state) {}
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  // Binds the socket and sends the first round. Fails with kUnavailable if the
  // gossip port cannot be bound.
  Result<void> Start();
  // Sets a function to call after each round.
  void set_on_round(std::function<void()> fn) { on_round_ = std::move(fn); }
  // Sends this host's state to all alive hosts at once, after a change.
  void Announce();
  // As Announce(), but waits so that at least 200 ms pass between two messages
  // sent this way. Calls made while it waits share one message.
  void AnnounceSoon();

 private:
  void OnReadable();
  void RunRound();
  void ApplyCrashNotices(const GossipMessage& message);
  void ApplyLeavings(const GossipMessage& message);
  // Sends all notices in full, rather than as heartbeat counts.
  void SendFullMessage(const std::string& ip);
  void Send(const GossipMessage& message,
            const std::vector<std::string>& to_ips);
  void UpdateKnownHosts();

  GatewayState& state_;
  Socket socket_;
  std::unique_ptr<Watch> read_watch_;
  std::unique_ptr<Watch> round_timer_;
  std::unique_ptr<Watch> announce_timer_;  // Set while AnnounceSoon() waits.
  Time last_announced_;                    // By AnnounceSoon().
  size_t alive_hosts_ = 1;  // As last logged; includes this host.
  std::function<void()> on_round_;
};

}  // namespace sassafras

#endif  // GATEWAY_GOSSIP_H_
