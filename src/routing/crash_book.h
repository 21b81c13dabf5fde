// Requests under which endpoints break.
//
// Answers to: a request that crashes each endpoint that begins to run it, and
// that comes again through any host. A host alone sees too few of the crashes,
// and would send the request to another endpoint each time. So hosts tell each
// other by gossip; once several endpoints have broken under a request and none
// has answered it, no host sends it a second time.
#ifndef ROUTING_CRASH_BOOK_H_
#define ROUTING_CRASH_BOOK_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/time.h"

namespace sassafras {

// An endpoint's connection broke while it ran a request.
struct CrashNotice {
  uint64_t request = 0;   // See HashOfRequest().
  uint32_t endpoint = 0;  // Tells endpoints and their starts apart.
};

struct CrashRecord {
  std::map<uint32_t, Time> endpoints;  // When each crash was first heard of.
  // An endpoint has answered the request: the crashes had other causes.
  bool is_answered = false;
  Time heard;  // Of the last new crash.
};

struct CrashBook {
  std::unordered_map<uint64_t, CrashRecord> by_request;
};

// Endpoints that break under a request by chance: planned work and failures of
// connections rarely hit one request on more.
inline constexpr size_t kCrashesByChance = 2;
// A request is remembered for this long after its last crash.
inline constexpr Duration kCrashLifetime = std::chrono::seconds(60);
// Requests that are remembered; a lost zone breaks hundreds at once.
inline constexpr size_t kMostCrashRecords = 2000;
// Crashes are told for this long: rounds of gossip until the last host knows.
inline constexpr Duration kCrashNewsTime = std::chrono::seconds(3);
// Notices in one message, of 14 bytes each.
inline constexpr size_t kMostCrashNotices = 40;

// What makes two requests the same, apart from their bodies.
uint64_t HashOfRequest(std::string_view method,
                       std::string_view host,
                       std::string_view target);

// Takes a crash that this host saw or heard of; false if it is known already
// or the book is full.
bool OnCrash(CrashBook& book, const CrashNotice& notice, Time now);

// An endpoint has answered the request.
void OnAnswered(CrashBook& book, uint64_t request);

// Different endpoints that broke under the request without an answer ever.
size_t CountCrashes(const CrashBook& book, uint64_t request);

// Whether a second try would most likely cost another endpoint.
bool IsSuspect(const CrashBook& book, uint64_t request);

// What to tell other hosts; requests with the most crashes come first.
std::vector<CrashNotice> RecentCrashes(const CrashBook& book, Time now);

void ForgetCrashes(CrashBook& book, Time now);

}  // namespace sassafras

#endif  // ROUTING_CRASH_BOOK_H_
