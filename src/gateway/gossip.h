// Gossip between hosts: CBOR datagrams on one UDP port.
//
// Datagrams rather than the connections of src/peers: a round goes to other
// hosts each time, and a lost one is made up for by the next.
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

// One datagram.
std::string EncodeGossip(const GossipMessage& message);
Result<GossipMessage> DecodeGossip(std::string_view bytes);

class Gossip {
 public:
  explicit Gossip(GatewayState& state) : state_(state) {}
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  Result<void> Start();
  // Called after each round.
  void set_on_round(std::function<void()> fn) { on_round_ = std::move(fn); }
  // Tells all hosts of a change of this one.
  void Announce();
  // As above, but calls that follow closely share one message.
  void AnnounceSoon();

 private:
  void OnReadable();
  void RunRound();
  void ApplyCrashNotices(const GossipMessage& message);
  void SendWhole(const std::string& ip);
  void Send(const GossipMessage& message,
            const std::vector<std::string>& to_ips);
  void UpdateKnownHosts();

  GatewayState& state_;
  Socket socket_;
  std::unique_ptr<Watch> read_watch_;
  std::unique_ptr<Watch> round_timer_;
  std::unique_ptr<Watch> announce_timer_;  // Set while AnnounceSoon() waits.
  Time last_announced_;
  size_t alive_hosts_ = 1;
  std::function<void()> on_round_;
};

}  // namespace sassafras

#endif  // GATEWAY_GOSSIP_H_
