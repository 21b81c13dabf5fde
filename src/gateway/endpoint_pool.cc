#include "gateway/endpoint_pool.h"

#include <algorithm>
#include <utility>

namespace sassafras {

namespace {

// An endpoint may close a connection this much sooner than it said, as its
// last byte and our next request cross.
constexpr Duration kIdleMargin = std::chrono::milliseconds(1200);
constexpr Duration kLongestIdle = std::chrono::seconds(8);
// Connections to one endpoint that are kept beside those in use.
constexpr size_t kMostKept = 16;

}  // namespace

std::shared_ptr<Stream> EndpointPool::Take(const EndpointView& endpoint,
                                           Duration longest_idle) {
  const auto it = kept_.find(&endpoint);
  if (it == kept_.end() || it->second.empty())
    return nullptr;
  const Time now = loop_.Now();
  const Kept& last = it->second.back();
  if (now >= last.until || now - last.since > longest_idle)
    return nullptr;
  auto stream = last.stream;
  it->second.pop_back();
  stream->set_handlers({});
  return stream;
}

void EndpointPool::Put(const EndpointPtr& endpoint,
                       const std::shared_ptr<Stream>& stream,
                       Duration idle_timeout) {
  const Duration idle = std::min(idle_timeout - kIdleMargin, kLongestIdle);
  auto& list = kept_[endpoint.get()];
  const bool is_wanted = endpoint->state == EndpointState::kReady ||
                         endpoint->state == EndpointState::kMissing;
  if (idle <= Duration(0) || list.size() >= kMostKept || !is_wanted) {
    stream->Close();
    return;
  }
  const Time now = loop_.Now();
  list.push_back({stream, now, now + idle});
  Stream::Handlers handlers;
  // Holds the endpoint, so that the key stays its own. Anything that arrives
  // on an idle connection belongs to no request.
  const auto remove = [this, endpoint, raw = stream.get()] {
    Remove(endpoint.get(), raw);
  };
  handlers.on_data = [remove](std::string_view) { remove(); };
  handlers.on_end = [remove](StreamEnd) { remove(); };
  stream->set_handlers(std::move(handlers));
  stream->SetReading(true);
}

void EndpointPool::Remove(const EndpointView* endpoint, const Stream* stream) {
  const auto it = kept_.find(endpoint);
  if (it == kept_.end())
    return;
  auto& list = it->second;
  const auto at = std::find_if(list.begin(), list.end(), [&](const Kept& kept) {
    return kept.stream.get() == stream;
  });
  if (at == list.end())
    return;
  const auto removed = at->stream;
  list.erase(at);
  removed->Close();
}

void EndpointPool::Drop(const EndpointView& endpoint) {
  const auto it = kept_.find(&endpoint);
  if (it == kept_.end())
    return;
  const auto list = std::move(it->second);
  kept_.erase(it);
  for (const Kept& kept : list)
    kept.stream->Close();
}

void EndpointPool::Sweep() {
  const Time now = loop_.Now();
  for (auto& [endpoint, list] : kept_) {
    const auto first = std::stable_partition(
        list.begin(), list.end(),
        [&](const Kept& kept) { return now < kept.until; });
    for (auto it = first; it != list.end(); ++it)
      it->stream->Close();
    list.erase(first, list.end());
  }
  for (auto it = kept_.begin(); it != kept_.end();)
    it = it->second.empty() ? kept_.erase(it) : std::next(it);
}

size_t EndpointPool::size() const {
  size_t n = 0;
  for (const auto& [endpoint, list] : kept_)
    n += list.size();
  return n;
}

}  // namespace sassafras
