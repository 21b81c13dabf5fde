// Failure detection by heartbeats between hosts. It supplements the platform's
// host list, which lags behind.
//
// All hosts of a zone exchange heartbeats directly. The relays of a zone (a
// few hosts chosen by rendezvous hashing) also exchange them with the relays
// of the region's other zones, and the relays of one zone per region with
// those of other regions. The host lists of a zone are forwarded with their
// age, so that they expire on all hosts once the zone stops sending them.
#ifndef DECISIONS_MEMBERSHIP_H_
#define DECISIONS_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/messages.h"
#include "decisions/topology.h"

namespace sassafras {

struct MembershipLimits {
  Duration heartbeat_period = std::chrono::seconds(1);
  // A host without a direct heartbeat for this long is dead. For a host of
  // another zone, that zone's host list decides then.
  Duration host_timeout = std::chrono::milliseconds(3200);
  // A zone is lost if the newest host list from the zone itself is older.
  Duration zone_timeout = std::chrono::seconds(6);
  // Relays per zone.
  size_t relays = 2;
  // Unchanged host lists of other zones are sent with every this many
  // heartbeats; the other heartbeats carry only their ages.
  uint64_t heartbeats_per_full_list = 10;
};

struct Membership {
  MembershipLimits limits;
  Host self;
  uint64_t incarnation = 0;
  bool leaving = false;
  std::map<HostId, Host> listed;  // The platform's list, with `self`.

  struct Contact {
    Time heard;
    uint64_t incarnation = 0;
    bool leaving = false;
    uint64_t digest = 0;
  };
  // Hosts that have sent a heartbeat to this host.
  std::map<HostId, Contact> contacts;

  struct ZoneRecord {
    // When the zone itself sent the lists, by this host's clock.
    Time reported_at;
    std::set<HostId> up;
    std::set<HostId> leaving;
    Time lists_changed;
  };
  std::map<ZoneId, ZoneRecord> zones;  // All zones except that of `self`.

  uint64_t heartbeats_sent = 0;
  Time next_heartbeat;
};

enum class HostState { kDead, kLive, kLeaving };

// Replaces the platform's list of hosts; `self` is always added.
void SetListedHosts(Membership& m, const HostList& list);

// Records a heartbeat. Returns whether the sender has restarted since its
// last one.
bool OnHeartbeat(Membership& m,
                 const HostId& from,
                 const Heartbeat& beat,
                 Time now);

// Returns the heartbeats to send now; empty until the next period begins.
std::vector<Envelope> DueHeartbeats(Membership& m, uint64_t digest, Time now);

// The host lists of all zones that are not lost, each with its age.
std::vector<ZoneMembership> DescribeZones(const Membership& m, Time now);

HostState StateOf(const Membership& m, const HostId& host, Time now);

// Whether a recent host list from the zone itself names a live host. Always
// true for the zone of `self`.
bool IsZoneLive(const Membership& m, const ZoneId& zone, Time now);

// Listed hosts that are live or leaving.
std::vector<Host> AnsweringHosts(const Membership& m, Time now);
// Live hosts that are not leaving.
std::vector<Host> LiveHosts(const Membership& m, Time now);
std::vector<HostId> LiveHostsOfZone(const Membership& m,
                                    const ZoneId& zone,
                                    Time now);

// The relays of `zone` as far as this host knows, best first.
std::vector<HostId> RelaysOfZone(const Membership& m,
                                 const ZoneId& zone,
                                 Time now);
// Whether this host is a relay of its zone. Relays watch the store and
// exchange heartbeats with other zones.
bool IsRelay(const Membership& m, Time now);
// Whether this host writes its zone's reports to the store; the first relay
// does.
bool IsZoneReporter(const Membership& m, Time now);

// Whether more than half of the listed hosts of the region are live or
// leaving.
bool HearsMajorityOfRegion(const Membership& m,
                           const RegionId& region,
                           Time now);

}  // namespace sassafras

#endif  // DECISIONS_MEMBERSHIP_H_
