// Detects endpoints that crash silently: that neither answer a request nor
// close its connection.
//
// Handles requests that end by their time limit, or because their caller left,
// while the endpoint's connection is still open. Alone, such an end does not
// tell a crash from slow work or a lost packet. If the registry soon shows that
// the endpoint's process has ended, and the endpoint has answered nothing
// meanwhile, it counts as a crash under these requests.
#ifndef ROUTING_UNANSWERED_SENDS_H_
#define ROUTING_UNANSWERED_SENDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace sassafras {

struct UnansweredSend {
  uint64_t request = 0;  // See HashOfRequest().
  std::string id;        // Of the request, for the log.
  Time sent_at;
  Time ended_at;  // When this host stopped waiting for the answer.
};

struct UnansweredSends {
  // By HashOfIncarnation() of the endpoint.
  std::unordered_map<uint32_t, std::vector<UnansweredSend>> by_endpoint;
};

// How long a send is kept. Covers the time until the registry drops the record
// of an endpoint that has ended, or until the endpoint is back with a new start
// time.
inline constexpr Duration kUnansweredSendLifetime = std::chrono::seconds(15);
// Sends kept for one endpoint; later ones are dropped. An endpoint runs few
// requests at the same time.
inline constexpr size_t kMaxUnansweredSendsPerEndpoint = 32;

// Records a send that ended without an answer.
void OnUnanswered(UnansweredSends& sends,
                  uint32_t endpoint,
                  UnansweredSend send);

// The endpoint has answered any request: it had not crashed under those that
// ended before.
void OnEndpointAnswered(UnansweredSends& sends, uint32_t endpoint);

// Removes and returns the sends under which an endpoint crashed, once the
// registry shows that its process has ended.
std::vector<UnansweredSend> TakeCrashedSends(UnansweredSends& sends,
                                             uint32_t endpoint,
                                             Time now);

// Removes the sends that are older than kUnansweredSendLifetime.
void ExpireUnansweredSends(UnansweredSends& sends, Time now);

}  // namespace sassafras

#endif  // ROUTING_UNANSWERED_SENDS_H_
