// Membership of hosts by gossip: which hosts of the deployment are alive.
//
// Each host increments its own heartbeat counter and, in each round, sends the
// counters of all hosts to a few others. A host whose counter stops growing is
// considered gone. Handles lost datagrams and hosts that start, stop or become
// unreachable. The wall clocks of other hosts are not used.
#ifndef ROUTING_HOST_MEMBERS_H_
#define ROUTING_HOST_MEMBERS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/names_table.h"
#include "base/time.h"
#include "routing/crash_history.h"
#include "routing/endpoint_notices.h"

namespace sassafras {

enum class HostPhase {
  kStarting,  // Not yet able to serve.
  kReady,
  kLeaving,  // Finishes its requests; callers are no longer sent to it.
};

template <>
struct NamesTable<HostPhase> {
  static constexpr EnumName<HostPhase> kNames[] = {
      {HostPhase::kStarting, "starting"},
      {HostPhase::kReady, "ready"},
      {HostPhase::kLeaving, "leaving"},
  };
};

// What a host publishes about itself.
struct HostNotice {
  HostId id;
  std::string ip;
  uint16_t caller_port = 0;
  ZoneId zone;
  uint64_t incarnation = 0;  // Greater at each start under the same id.
  uint64_t heartbeat = 0;    // Incremented in each round of an incarnation.
  HostPhase phase = HostPhase::kStarting;
  uint64_t config_version = 0;
  // Whether the store answered the host's last call. Stays true for a host that
  // makes no calls.
  bool reaches_store = true;
  // CPU share of the host, in cores.
  double cpu_share = 0;
  // Bandwidth of the host's network link; 0 if unknown.
  double link_mbps = 0;
};

// Work that a host is asked for on one service, as the number of endpoint slots
// that it would occupy; see urgent_reserve.h.
struct DemandNotice {
  uint32_t service_hash = 0;
  double urgent_slots = 0;
  double long_slots = 0;
};

struct Member {
  HostNotice notice;
  Time heard;    // When its heartbeat last grew, or was first seen.
  Time changed;  // When its incarnation, phase, IP or reaches_store changed.
  std::vector<DemandNotice> demands;
  Time demands_heard;  // Zero if never received.
};

// The heartbeat of a known host, sent instead of its full notice.
struct HeartbeatNotice {
  uint32_t id_hash = 0;  // See ShortHash().
  uint64_t heartbeat = 0;
};

// Hashes that stand for ids in gossip, to keep messages short.
uint32_t ShortHash(const HostId& id);
uint32_t ShortHash(const ServiceId& id);

struct HostMembers {
  HostNotice self;
  Time started;  // When this process started.
  std::vector<DemandNotice> own_demands;
  std::unordered_map<HostId, Member> others;
  std::mt19937_64 random;
};

inline constexpr Duration kGossipPeriod = std::chrono::milliseconds(400);
// Hosts that one round of gossip is sent to.
inline constexpr size_t kGossipFanout = 3;
// Limit of these hosts that are in other regions: traffic between regions is
// expensive, and with the limit changes take only a few rounds more to spread.
inline constexpr size_t kMaxCrossRegionFanout = 1;
// Average number of hosts of a region that send to another region in a round.
inline constexpr size_t kCrossRegionSenders = 8;
// A host whose heartbeat has not grown for this long is considered gone. Spans
// several rounds, so that lost datagrams do not remove a host.
inline constexpr Duration kHostTimeout = std::chrono::milliseconds(3000);
// A host that has timed out is still contacted now and then until it has been
// silent for this long; then it is removed.
inline constexpr Duration kHostRetention = std::chrono::seconds(60);

// After a change, a host's full notice is sent for this long; later only its
// heartbeat.
inline constexpr Duration kFullNoticeTime = std::chrono::seconds(4);
// One of every max(kMinRoundsPerFullSync, hosts / kHostsPerFullSyncRound)
// rounds sends a full sync, i.e. the full notices of all hosts, to one host, so
// that a host that missed changes recovers. The message grows with the number
// of hosts, so it is sent more rarely in a large deployment.
inline constexpr uint64_t kMinRoundsPerFullSync = 8;
inline constexpr size_t kHostsPerFullSyncRound = 4;

// A gossip message from one host to another.
struct GossipMessage {
  std::vector<HostNotice> notices;  // The sender's own is the first.
  std::vector<HeartbeatNotice> heartbeats;
  // The sender's demand, of the services for which it has any.
  std::vector<DemandNotice> demands;
  std::vector<CrashNotice> crashes;     // See CollectCrashNotices().
  std::vector<LeavingNotice> leavings;  // See CollectLeavings().
};

// The messages of one round and the IP addresses that they are sent to.
struct GossipRound {
  std::vector<std::string> to_ips;
  GossipMessage message;
  // Is sent `full_sync` instead of `message`; empty if no host is.
  std::string full_sync_to_ip;
  GossipMessage full_sync;
};

// Starts a new round and increments this host's heartbeat. Addresses of
// `seed_ips` are contacted as long as no live host is known there.
GossipRound NextRound(HostMembers& members,
                      const std::vector<std::string>& seed_ips,
                      const std::map<ZoneId, RegionId>& regions,
                      Time now);

// A round to every live host, for a change of this host that must not wait. It
// carries only this host's notice.
GossipRound UrgentRound(HostMembers& members, Time now);

// What a received message changed.
struct GossipResult {
  std::vector<HostId> appeared;  // Hosts that were unknown or timed out.
  // The sender was unknown or has restarted: send it a full sync.
  bool is_sender_new = false;
};

GossipResult OnGossip(HostMembers& members,
                      const GossipMessage& message,
                      Time now);

// Returns the full notices of all live hosts.
GossipMessage FullSyncMessage(const HostMembers& members, Time now);

// Adds a host that became known by other means than gossip, such as the
// registry of hosts. It counts as timed out until its gossip is received.
void AddDiscoveredHost(HostMembers& members,
                       const HostNotice& notice,
                       Time now);

bool IsAlive(const Member& member, Time now);

// Number of live hosts, including this one.
size_t CountAlive(const HostMembers& members, Time now);

// Hashes of the ids of all known hosts, including this one. Used to divide a
// limit that applies to the sum over all hosts. Hosts that have timed out are
// included, since they may be alive but unreachable.
std::vector<uint64_t> KnownHostHashes(const HostMembers& members);

// Whether this host has run for long enough to know all others. Before that, it
// would use their part of a shared limit as its own.
bool KnowsHosts(const HostMembers& members, Time now);

// The newest version of the configuration that any known host has, as far as
// its gossip has told.
uint64_t NewestKnownVersion(const HostMembers& members);

// Number of hosts in KnownHostHashes(); nullopt as long as KnowsHosts() is
// false.
std::optional<size_t> CountKnownHosts(const HostMembers& members, Time now);

}  // namespace sassafras

#endif  // ROUTING_HOST_MEMBERS_H_
