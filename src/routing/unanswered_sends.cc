#include "routing/unanswered_sends.h"

#include <algorithm>
#include <utility>

namespace sassafras {

namespace {

void RemoveExpired(std::vector<UnansweredSend>& sends, Time now) {
  sends.erase(std::remove_if(sends.begin(), sends.end(),
                             [now](const UnansweredSend& it) {
                               return now - it.ended_at >=
                                      kUnansweredSendLifetime;
                             }),
              sends.end());
}

}  // namespace

void OnUnanswered(UnansweredSends& sends,
                  uint32_t endpoint,
                  UnansweredSend send) {
  std::vector<UnansweredSend>& list = sends.by_endpoint[endpoint];
  if (list.size() < kMaxUnansweredSendsPerEndpoint)
    list.push_back(std::move(send));
}

void OnEndpointAnswered(UnansweredSends& sends, uint32_t endpoint) {
  sends.by_endpoint.erase(endpoint);
}

std::vector<UnansweredSend> TakeCrashedSends(UnansweredSends& sends,
                                             uint32_t endpoint,
                                             Time now) {
  const auto it = sends.by_endpoint.find(endpoint);
  if (it == sends.by_endpoint.end())
    return {};
  std::vector<UnansweredSend> crashed = std::move(it->second);
  sends.by_endpoint.erase(it);
  RemoveExpired(crashed, now);
  return crashed;
}

void ExpireUnansweredSends(UnansweredSends& sends, Time now) {
  for (auto it = sends.by_endpoint.begin(); it != sends.by_endpoint.end();) {
    RemoveExpired(it->second, now);
    it = it->second.empty() ? sends.by_endpoint.erase(it) : std::next(it);
  }
}

}  // namespace sassafras
