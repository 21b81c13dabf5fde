// Kept connections to endpoints. Each belongs to one incarnation of an
// endpoint and carries one request at a time.
#ifndef GATEWAY_ENDPOINT_CONNECTION_POOL_H_
#define GATEWAY_ENDPOINT_CONNECTION_POOL_H_

#include <memory>
#include <unordered_map>
#include <vector>

#include "gateway/stream.h"
#include "routing/endpoint_set.h"

namespace sassafras {

class EndpointConnectionPool {
 public:
  explicit EndpointConnectionPool(Loop& loop) : loop_(loop) {}
  EndpointConnectionPool(const EndpointConnectionPool&) = delete;
  EndpointConnectionPool& operator=(const EndpointConnectionPool&) = delete;

  // A connection that has been idle for `longest_idle` at most; null if there
  // is none. The caller sets its handlers.
  std::shared_ptr<Stream> Take(const EndpointView& endpoint,
                               Duration max_idle_time);
  // Keeps a connection after a complete answer. `idle_timeout`: how long the
  // endpoint keeps it.
  void Put(const EndpointPtr& endpoint,
           const std::shared_ptr<Stream>& stream,
           Duration idle_timeout);
  // Closes the kept connections of an endpoint that gets nothing new.
  void CloseIdle(const EndpointView& endpoint);
  // Closes connections whose time is up.
  void CloseExpired();
  size_t size() const;

 private:
  struct IdleConnection {
    std::shared_ptr<Stream> stream;
    Time idle_since;
    Time expires_at;
  };
  void Remove(const EndpointView* endpoint, const Stream* stream);

  Loop& loop_;
  // The latest used connection of an endpoint is the last of its list.
  std::unordered_map<const EndpointView*, std::vector<IdleConnection>>
      idle_connections_;
};

}  // namespace sassafras

#endif  // GATEWAY_ENDPOINT_CONNECTION_POOL_H_
