// Which hosts of the system are alive, by gossip.
//
// Each host counts its own heartbeats and sends what it knows of all hosts to
// a few of them at a time. A host whose count stands still is taken as gone.
// Nothing here reads the wall clock of another host.
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

namespace sassafras {

enum class HostPhase {
  kStarting,  // Not yet able to serve.
  kReady,
  kLeaving,  // Finishes what it has; gets no new callers.
};

template <>
struct NamesTable<HostPhase> {
  static constexpr EnumName<HostPhase> kNames[] = {
      {HostPhase::kStarting, "starting"},
      {HostPhase::kReady, "ready"},
      {HostPhase::kLeaving, "leaving"},
  };
};

// What a host says of itself.
struct HostNotice {
  HostId id;
  std::string ip;
  uint16_t caller_port = 0;
  ZoneId zone;
  uint64_t incarnation = 0;  // Grows with each start under the same id.
  uint64_t heartbeat = 0;    // Grows with each heartbeat of an incarnation.
  HostPhase phase = HostPhase::kStarting;
  uint64_t config_version = 0;
  // Whether the host's last call to the store was answered. A host that makes
  // no calls keeps it true.
  bool reaches_store = true;
  // Share of a core that the host has; weighs how many callers it gets.
  double cpu_share = 0;
};

// Slots' worth of work that a host is asked for on one service; see
// urgent_reserve.h.
struct DemandNotice {
  uint32_t service_hash = 0;
  double urgent_slots = 0;
  double long_slots = 0;
};

struct Member {
  HostNotice notice;
  Time heard;    // When its count last grew, or was first seen.
  Time changed;  // When anything but its count last changed.
  std::vector<DemandNotice> demands;
  Time demands_heard;  // Zero: never.
};

// The count of a host that is known, in place of its whole notice.
struct HeartbeatNotice {
  uint32_t id_hash = 0;  // See ShortHash().
  uint64_t heartbeat = 0;
};

// Tells the hosts of a deployment apart in short notices.
uint32_t ShortHash(const HostId& id);
uint32_t ShortHash(const ServiceId& id);

struct HostMembers {
  HostNotice self;
  Time started;  // Of this process.
  std::vector<DemandNotice> own_demands;
  std::unordered_map<HostId, Member> others;
  std::mt19937_64 random;
};

inline constexpr Duration kGossipPeriod = std::chrono::milliseconds(400);
// Hosts that one round of gossip goes to.
inline constexpr size_t kGossipFanout = 3;
// Of these, the most that lie in other regions: bytes between regions are
// dear, and news needs only a few rounds more.
inline constexpr size_t kMaxCrossRegionFanout = 1;
// Hosts of a region that send to another one in a round, on the mean.
inline constexpr size_t kCrossRegionSenders = 8;
// A host whose count has not grown for this long is taken as gone: several
// rounds, so that lost datagrams do not remove a host.
inline constexpr Duration kHostTimeout = std::chrono::milliseconds(3000);
// A silent host is still greeted now and then until it is forgotten.
inline constexpr Duration kHostRetention = std::chrono::seconds(60);

// Notices are sent whole for this long after a change, later as counts.
inline constexpr Duration kFullNoticeTime = std::chrono::seconds(4);
// Every so many rounds, all notices are sent whole to one host, so that a
// host which has missed the news learns of all others: rarer the longer the
// message is.
inline constexpr uint64_t kMinRoundsPerFullSync = 8;
inline constexpr size_t kHostsPerFullSyncRound = 4;

// What one host tells another.
struct GossipMessage {
  std::vector<HostNotice> notices;  // The sender's own comes first.
  std::vector<HeartbeatNotice> heartbeats;
  // The sender's own, of services that it has demand for.
  std::vector<DemandNotice> demands;
  std::vector<CrashNotice> crashes;  // See CollectCrashNotices().
};

// What one round sends, and to which IP numbers.
struct GossipRound {
  std::vector<std::string> to_ips;
  GossipMessage message;
  // Gets all notices whole instead; empty: nobody.
  std::string full_sync_to_ip;
  GossipMessage full_sync;
};

// A new round: counts the own heartbeat. `seed_ips` are greeted as long as
// they are unknown.
GossipRound NextRound(HostMembers& members,
                      const std::vector<std::string>& seed_ips,
                      const std::map<ZoneId, RegionId>& regions,
                      Time now);

// A round to every known host, for a change that must not wait.
GossipRound UrgentRound(HostMembers& members, Time now);

// What a message taught.
struct GossipResult {
  std::vector<HostId> appeared;  // Hosts that were unknown or silent.
  // The sender was unknown or has started anew: it should get all notices
  // whole.
  bool is_sender_new = false;
};

GossipResult OnGossip(HostMembers& members,
                      const GossipMessage& message,
                      Time now);

// All notices of hosts that are alive, whole.
GossipMessage FullSyncMessage(const HostMembers& members, Time now);

// A host that another source names, such as the registry of hosts.
void AddDiscoveredHost(HostMembers& members,
                       const HostNotice& notice,
                       Time now);

bool IsAlive(const Member& member, Time now);

// Hosts that are alive, this one among them.
size_t CountAlive(const HostMembers& members, Time now);

// Hashes of the ids of the hosts that share a bound on the sum over all hosts,
// this one among them: also those that are silent, which may be alive and only
// out of reach.
std::vector<uint64_t> KnownHostHashes(const HostMembers& members);

// Whether this host has run for long enough to have heard of all others. Before
// that, it would take their part of what is shared for its own.
bool KnowsHosts(const HostMembers& members, Time now);

// Number of the hosts of KnownHostHashes(); none while this host does not know
// them.
std::optional<size_t> CountKnownHosts(const HostMembers& members, Time now);

}  // namespace sassafras

#endif  // ROUTING_HOST_MEMBERS_H_
