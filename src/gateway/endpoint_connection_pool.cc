#include "gateway/endpoint_connection_pool.h"

#include <algorithm>
#include <utility>

namespace sassafras {

namespace {

// Connections expire this long before the endpoint's stated idle timeout. The
// endpoint counts from its last byte sent, and it may close the connection
// while our next request is on its way.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1200);
// Upper limit, whatever idle timeout the endpoint states.
constexpr Duration kMaxIdleTime = std::chrono::seconds(8);
// Idle connections to one endpoint; those in use are not counted.
constexpr size_t kMaxIdlePerEndpoint = 16;

}  // namespace

std::shared_ptr<Stream> EndpointConnectionPool::Take(
    const EndpointView& endpoint,
    Duration max_idle_time) {
  const auto it = idle_connections_.find(&endpoint);
  if (it == idle_connections_.end() || it->second.empty())
    return nullptr;
  const Time now = loop_.Now();
  const IdleConnection& last = it->second.back();
  if (now >= last.expires_at || now - last.idle_since > max_idle_time)
    return nullptr;
  auto stream = last.stream;
  it->second.pop_back();
  stream->set_handlers({});
  return stream;
}

void EndpointConnectionPool::Put(const EndpointPtr& endpoint,
                                 const std::shared_ptr<Stream>& stream,
                                 Duration idle_timeout) {
  const Duration idle = std::min(idle_timeout - kIdleMargin, kMaxIdleTime);
  auto& list = idle_connections_[endpoint.get()];
  if (idle <= Duration(0) || list.size() >= kMaxIdlePerEndpoint) {
    stream->Close();
    return;
  }
  const Time now = loop_.Now();
  list.push_back({stream, now, now + idle});
  Stream::Handlers handlers;
  // The lambda owns a reference to the endpoint: the map is keyed by its
  // address, which must not be reused while the connection is in the pool.
  // Data on an idle connection belongs to no request, so the connection is
  // closed.
  const auto remove = [this, endpoint, raw = stream.get()] {
    Remove(endpoint.get(), raw);
  };
  handlers.on_data = [remove](std::string_view) { remove(); };
  handlers.on_end = [remove](StreamEnd) { remove(); };
  stream->set_handlers(std::move(handlers));
  stream->SetReading(true);
}

void EndpointConnectionPool::Remove(const EndpointView* endpoint,
                                    const Stream* stream) {
  const auto it = idle_connections_.find(endpoint);
  if (it == idle_connections_.end())
    return;
  auto& list = it->second;
  const auto at = std::find_if(list.begin(), list.end(),
                               [&](const IdleConnection& connection) {
                                 return connection.stream.get() == stream;
                               });
  if (at == list.end())
    return;
  const auto removed = at->stream;
  list.erase(at);
  removed->Close();
}

void EndpointConnectionPool::CloseIdle(const EndpointView& endpoint) {
  const auto it = idle_connections_.find(&endpoint);
  if (it == idle_connections_.end())
    return;
  const auto list = std::move(it->second);
  idle_connections_.erase(it);
  for (const IdleConnection& connection : list)
    connection.stream->Close();
}

void EndpointConnectionPool::CloseExpired() {
  const Time now = loop_.Now();
  for (auto& [endpoint, list] : idle_connections_) {
    const auto first = std::stable_partition(
        list.begin(), list.end(), [&](const IdleConnection& connection) {
          return now < connection.expires_at;
        });
    for (auto it = first; it != list.end(); ++it)
      it->stream->Close();
    list.erase(first, list.end());
  }
  for (auto it = idle_connections_.begin(); it != idle_connections_.end();)
    it = it->second.empty() ? idle_connections_.erase(it) : std::next(it);
}

size_t EndpointConnectionPool::size() const {
  size_t n = 0;
  for (const auto& [endpoint, list] : idle_connections_)
    n += list.size();
  return n;
}

}  // namespace sassafras
