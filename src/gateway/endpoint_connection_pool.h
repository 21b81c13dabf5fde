// Pool of idle connections to endpoints, which saves a TCP handshake per
// request.
//
// A connection belongs to one incarnation (process start) of an endpoint and
// carries one request at a time.
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

  // Returns the most recently used connection, or null if there is none or it
  // has been idle for longer than `max_idle_time`. Its handlers are cleared;
  // the user of the connection sets new ones.
  std::shared_ptr<Stream> Take(const EndpointView& endpoint,
                               Duration max_idle_time);
  // Adds a connection whose last answer is complete. `idle_timeout` is the
  // time after which the endpoint closes an idle connection. Closes the
  // connection if it would expire at once or the pool is full for this
  // endpoint.
  void Put(const EndpointPtr& endpoint,
           const std::shared_ptr<Stream>& stream,
           Duration idle_timeout);
  // Closes the idle connections to an endpoint that gets no new requests.
  void CloseIdle(const EndpointView& endpoint);
  // Closes the connections that have reached their idle limit.
  void CloseExpired();
  // Number of idle connections to all endpoints.
  size_t size() const;

 private:
  struct IdleConnection {
    std::shared_ptr<Stream> stream;
    Time idle_since;
    Time expires_at;
  };
  void Remove(const EndpointView* endpoint, const Stream* stream);

  Loop& loop_;
  // In each list, the most recently used connection is last.
  std::unordered_map<const EndpointView*, std::vector<IdleConnection>>
      idle_connections_;
};

}  // namespace sassafras

#endif  // GATEWAY_ENDPOINT_CONNECTION_POOL_H_
