// Detects requests that crash the endpoints that run them.
//
// Handles a request that crashes every endpoint that starts to run it and that
// callers repeat through any host. Hosts exchange by gossip which endpoints
// crashed while they ran which request. After several endpoints have crashed
// one after the other under the same request, it is a suspect: no host sends
// it any more, not even once per arrival. One host may later send it once as a
// probe, in case the crashes had other causes.
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

// Two requests with the same traits count as the same request. The request id
// is not one of them, since it differs on each repetition.
struct RequestTraits {
  std::string_view method;
  std::string_view host;
  std::string_view target;  // Path with query.
  std::string_view caller;  // Identifies the caller; may be empty.
  std::string_view body;    // A prefix; its maximum length is always the same.
};

uint64_t HashOfRequest(const RequestTraits& request);

// A send of a request that ended with the endpoint's connection, or without an
// answer of an endpoint that had crashed; see unanswered_sends.h. In the second
// case, `crashed_at` is when the host stopped waiting.
struct CrashedSend {
  Time sent_at;
  Time crashed_at;
};

struct CrashRecord {
  // By hash of an endpoint and its start time, so that a restarted endpoint
  // counts as another one.
  std::map<uint32_t, CrashedSend> endpoints;
  // Incremented when the request is cleared: crashes of earlier epochs are
  // attributed to other causes.
  uint32_t epoch = 0;
  bool saw_crash = false;       // This host observed a crash of this epoch.
  Time arrived_at;              // When the request last arrived at any host.
  Time changed_at;              // When epoch or endpoints last changed.
  int consecutive_answers = 0;  // At this host, since its last crash.
  size_t probes = 0;            // Sent by this host in this epoch.
  Time probed_at;               // When the last probe was sent.
};

struct CrashHistory {
  std::unordered_map<uint64_t, CrashRecord> by_request;
};

// What a host gossips about one request. Times are sent as ages because the
// hosts' clocks differ.
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

// Up to this many crashes under one request count as coincidence: maintenance
// and connection failures rarely hit the same request on more endpoints.
inline constexpr size_t kMaxCoincidentalCrashes = 2;
// Sends that overlap for longer were not sent one after the other; they failed
// by a common cause, such as the loss of a zone, and count as one crash. The
// value covers the error of ages received by gossip.
inline constexpr Duration kMaxSendOverlap = std::chrono::milliseconds(150);
// How long crashes are kept if the request is not a suspect.
inline constexpr Duration kCrashLifetime = std::chrono::seconds(60);
// A suspect is forgotten if it has not arrived for this long.
inline constexpr Duration kSuspicionLifetime = std::chrono::minutes(10);
// An arrival time received by gossip replaces the known one only if it is later
// by more than this. Otherwise the network delay would be added each time that
// hosts exchange the age, and the suspicion would never expire.
inline constexpr Duration kArrivalTolerance = std::chrono::seconds(1);
// Minimum time between the last crash or probe of a suspect and a probe.
inline constexpr Duration kHoldTime = std::chrono::seconds(15);
// Probes of a suspect per epoch. The platform allows three sends after the
// third crash; the other two are left for attempts of a host that has not yet
// received the gossip.
inline constexpr size_t kMaxProbes = 1;
// After this many consecutive answers, earlier crashes of a request that is
// not a suspect no longer count.
inline constexpr int kConsecutiveAnswersToClear = 10;
// Requests that are kept; the loss of a zone fails hundreds at once.
inline constexpr size_t kMaxCrashRecords = 2000;
inline constexpr size_t kMaxEndpointsPerRecord = 16;
// How long a change of a record is gossiped: long enough for the rounds of
// gossip that it takes to reach every host. Suspects are always gossiped.
inline constexpr Duration kCrashGossipTime = std::chrono::seconds(3);
// Limit of notices in one message; each takes about 60 bytes.
inline constexpr size_t kMaxCrashNotices = 40;

// Records a crash that this host observed. Returns false if a crash of this
// endpoint under the request is known already, or the record is full.
bool OnCrash(CrashHistory& history,
             uint64_t request,
             uint32_t endpoint,
             const CrashedSend& send,
             Time now);

// Records that an endpoint answered the request that was sent at `sent_at`.
// Returns true if the request was a suspect and is cleared by this.
bool OnAnswered(CrashHistory& history,
                uint64_t request,
                Time sent_at,
                Time now);

// Number of endpoints that crashed under the request one after the other. Above
// kMaxCoincidentalCrashes, crashes that are explained by another request are
// left out: one that ran on the same endpoint and has more such crashes.
size_t CountCrashes(const CrashHistory& history, uint64_t request);

// Whether the request would most likely crash another endpoint.
bool IsSuspect(const CrashHistory& history, uint64_t request);

enum class ArrivalVerdict {
  kSend,   // Not suspect.
  kProbe,  // Suspect; this host may send it once.
  kHold,   // Suspect; must not be sent.
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
  Duration hold{};  // With kHold: the remaining hold time.
};

// Decides whether a request that has arrived may be sent. `is_prober`: this
// host is the one that may probe the request; see IsProber().
ArrivalDecision OnArrival(CrashHistory& history,
                          uint64_t request,
                          bool is_prober,
                          Time now);

// Whether this host is the one that may probe the request: the one whose hash
// ranks highest for it (rendezvous hashing). `knows_hosts`: this host has run
// for long enough to know the others; if false, it probes nothing.
bool IsProber(uint64_t request,
              uint64_t own_hash,
              const std::vector<uint64_t>& host_hashes,
              bool knows_hosts);

// Returns the notices to gossip, those with the most crashes first.
std::vector<CrashNotice> CollectCrashNotices(const CrashHistory& history,
                                             Time now);

struct CrashNoticeResult {
  bool became_suspect = false;  // The notice made the request a suspect.
  // It did so together with crashes that this host observed. Possibly no other
  // host knows all of them, so this host should send them at once.
  bool must_announce = false;
};

// Merges a notice from another host.
CrashNoticeResult OnCrashNotice(CrashHistory& history,
                                const CrashNotice& notice,
                                Time now);

// Removes crashes and suspects that are older than their lifetimes.
void ExpireCrashes(CrashHistory& history, Time now);

}  // namespace sassafras

#endif  // ROUTING_CRASH_HISTORY_H_
