// A loopback proxy that harms the connections through it: what lies behind it
// and what uses it know nothing of it.
#ifndef SOAK_FAULT_PROXY_H_
#define SOAK_FAULT_PROXY_H_

#include <memory>
#include <vector>

#include "base/address.h"
#include "base/loop.h"
#include "base/socket.h"
#include "gateway/stream.h"

namespace sassafras {

enum class ProxyMode {
  kPass,
  kDelay,        // Everything arrives late.
  kCutTowards,   // Nothing reaches what lies behind the proxy.
  kCutBackward,  // Nothing comes back from it.
  kSilent,       // Nothing passes either way.
  kRefuse,       // New connections end at once.
};

class FaultProxy {
 public:
  FaultProxy(Loop& loop, const Address& listen, Address target);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  // A connection that has lost bytes stays silent in that direction for good.
  void set_mode(ProxyMode mode) { mode_ = mode; }
  // How late everything arrives with kDelay, in each direction.
  void set_delay(Duration delay) { delay_ = delay; }
  // Ends all connections that are open now.
  void ResetAll();
  // Nothing more arrives on the connections that are open now; new ones work.
  void SilenceAll();

 private:
  struct Side {
    std::shared_ptr<Stream> stream;
    bool is_lossy = false;  // What it receives is dropped.
    Time due;               // When the last piece that it sent late arrives.
  };
  struct Link {
    Side user;    // The end that connected to the proxy.
    Side behind;  // The end at the target.
    std::vector<std::unique_ptr<Watch>> delayed;
    bool is_open = true;
  };
  using LinkPtr = std::shared_ptr<Link>;
  using Links = std::vector<LinkPtr>;

  void Accept();
  void Pass(const LinkPtr& link, Side& from, Side& to, std::string_view data);
  void Close(const LinkPtr& link);
  bool IsCut(bool towards) const;

  Loop& loop_;
  Address target_;
  Socket listener_;
  std::unique_ptr<Watch> accept_;
  std::shared_ptr<Links> links_ = std::make_shared<Links>();
  ProxyMode mode_ = ProxyMode::kPass;
  Duration delay_ = std::chrono::milliseconds(120);
};

}  // namespace sassafras

#endif  // SOAK_FAULT_PROXY_H_
