// Requests under which endpoints crash.
//
// Answers to: a request that crashes each endpoint that begins to run it, and
// that comes again and again through any host. Hosts tell each other by gossip
// under which requests endpoints have broken. Once several have broken under a
// request in a row, no host sends it any more, not even for the first time of
// a return; one host may try it once later, in case the endpoints broke for
// other reasons.
#ifndef ROUTING_CRASH_HISTORY_H_
#define ROUTING_CRASH_HISTORY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/names_table.h"
#include "base/time.h"

namespace sassafras {

// What makes two requests the same, apart from the id of each.
struct RequestTraits {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // Path with query.
  std::string_view caller;  // What tells the caller apart; may be empty.
  std::string_view body;    // Its beginning, the same length each time.
};

uint64_t HashOfRequest(const RequestTraits& request);

// A send that ended with the endpoint's connection.
struct CrashedSend {
  Time sent_at;
  Time crashed_at;
};

struct CrashRecord {
  // By endpoint; starts of an endpoint are told apart.
  std::map<uint32_t, CrashedSend> endpoints;
  // Grows each time that the crashes so far are taken to have other causes.
  uint32_t epoch = 0;
  bool saw_crash = false;       // This host saw a crash of this epoch itself.
  Time arrived_at;              // When the request last came to any host.
  Time changed_at;              // When epoch or endpoints last changed.
  int consecutive_answers = 0;  // At this host, since the last crash.
  size_t probes = 0;            // Of this host, in this epoch.
  Time probed_at;               // The last of them.
};

struct CrashHistory {
  std::unordered_map<uint64_t, CrashRecord> by_request;
};

// What a host tells others of one request. Hosts' clocks differ: times are
// told as ages.
struct CrashNotice {
  struct Send {
    uint32_t endpoint = 0;
    Duration sent_age{};
    Duration crash_age{};
  };
  uint64_t request = 0;
  uint32_t epoch = 0;
  Duration arrival_age{};
  std::vector<Send> sends;
};

// Endpoints that break under a request by chance: planned work and failures of
// connections rarely hit one request on more.
inline constexpr size_t kMaxCoincidentalCrashes = 2;
// Sends that overlap for longer cannot have followed one another: what broke
// them was a common failure. Covers the error of ages told by gossip.
inline constexpr Duration kMaxSendOverlap = std::chrono::milliseconds(150);
// Crashes that raised no suspicion are remembered for this long.
inline constexpr Duration kCrashLifetime = std::chrono::seconds(60);
// A suspicion ends when the request has not come for this long.
inline constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
// Returns that other hosts tell of count as new only if later by this much, so
// that the time on the way does not add up as hosts tell each other.
inline constexpr Duration kArrivalTolerance = std::chrono::seconds(1);
// A suspect is held back for this long before it is probed.
inline constexpr Duration kHoldTime = std::chrono::seconds(15);
// The platform allows three sends beyond the third crash; two are left for the
// tries of a host that has not heard of it yet.
inline constexpr size_t kMaxProbes = 1;
// Answers in a row after which earlier crashes no longer count.
inline constexpr int kConsecutiveAnswersToClear = 10;
// Requests that are remembered; a lost zone breaks hundreds at once.
inline constexpr size_t kMaxCrashRecords = 2000;
inline constexpr size_t kMaxEndpointsPerRecord = 16;
// Crashes that raised no suspicion are told for this long: rounds of gossip
// until the last host knows. Suspicions are told as long as they last.
inline constexpr Duration kCrashGossipTime = std::chrono::seconds(3);
// Notices in one message, of about 60 bytes each.
inline constexpr size_t kMaxCrashNotices = 40;

// Takes a crash that this host saw; false if it is known already.
bool OnCrash(CrashHistory& history,
             uint64_t request,
             uint32_t endpoint,
             const CrashedSend& send,
             Time now);

// An endpoint has answered the request, which was sent to it at `sent`. True
// if that ends a suspicion.
bool OnAnswered(CrashHistory& history,
                uint64_t request,
                Time sent_at,
                Time now);

// Endpoints that broke under the request one after the other, and that are not
// explained by another request with more of them.
size_t CountCrashes(const CrashHistory& history, uint64_t request);

// Whether a send would most likely cost another endpoint.
bool IsSuspect(const CrashHistory& history, uint64_t request);

enum class ArrivalVerdict {
  kSend,   // Not suspect.
  kProbe,  // Suspect; this host may try it once.
  kHold,   // Suspect; not to be sent.
};

template <>
struct NamesTable<ArrivalVerdict> {
  static constexpr EnumName<ArrivalVerdict> kNames[] = {
      {ArrivalVerdict::kSend, "send"},
      {ArrivalVerdict::kProbe, "probe"},
      {ArrivalVerdict::kHold, "hold"},
  };
};

struct ArrivalDecision {
  ArrivalVerdict verdict = ArrivalVerdict::kSend;
  size_t crashes = 0;
  Duration last_crash_age{};
  Duration hold{};  // How long it is held back yet; with kHold.
};

// Decides on a request that has come. `is_prober`: this host is the one that
// may try this request; see IsProber().
ArrivalDecision OnArrival(CrashHistory& history,
                          uint64_t request,
                          bool is_prober,
                          Time now);

// The one host of all that may try a suspect. `knows_hosts`: this host has run
// for long enough to have heard of the others.
bool IsProber(uint64_t request,
              uint64_t own_hash,
              const std::vector<uint64_t>& host_hashes,
              bool knows_hosts);

// What to tell other hosts; requests with the most crashes come first.
std::vector<CrashNotice> CollectCrashNotices(const CrashHistory& history,
                                             Time now);

struct CrashNoticeResult {
  bool became_suspect = false;  // The request becomes suspect by the notice.
  // It does so by crashes that this host and others saw: no other host may know
  // of them all, so this one should tell them at once.
  bool must_announce = false;
};

// Takes what another host tells.
CrashNoticeResult OnCrashNotice(CrashHistory& history,
                                const CrashNotice& notice,
                                Time now);

void ExpireCrashes(CrashHistory& history, Time now);

}  // namespace sassafras

#endif  // ROUTING_CRASH_HISTORY_H_
