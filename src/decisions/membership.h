// Who is alive: heartbeats between hosts that correct the platform's lagging
// list.
//
// All hosts of a zone exchange heartbeats directly. The relays of a zone (a
// few hosts chosen by rendezvous hashing) also exchange them with the relays
// of the region's other zones, and the relays of one zone per region with
// those of other regions. What a zone says of itself travels with its age, so
// that news which no longer comes from the zone grows old everywhere.
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
  // A host of the own zone is dead after this silence.
  Duration host_timeout = std::chrono::milliseconds(3200);
  // A zone is lost when its own word is older than this.
  Duration zone_timeout = std::chrono::seconds(6);
  // Relays per zone.
  size_t relays = 2;
  // The lists of zones are repeated every so many heartbeats.
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
  std::map<HostId, Contact> contacts;  // Hosts heard from directly.

  struct ZoneRecord {
    Time reported_at;  // When the zone itself said so, by this host's clock.
    std::set<HostId> up;
    std::set<HostId> leaving;
    Time lists_changed;
  };
  std::map<ZoneId, ZoneRecord> zones;  // Other zones than the own one.

  uint64_t heartbeats_sent = 0;
  Time next_heartbeat;
};

enum class HostState { kDead, kLive, kLeaving };

// Replaces the list of hosts. `self` stays listed.
void SetListedHosts(Membership& m, const HostList& list);

// Records a heartbeat. Returns whether the sender started anew since the
// last one.
bool OnHeartbeat(Membership& m,
                 const HostId& from,
                 const Heartbeat& beat,
                 Time now);

// Heartbeats that are due, addressed; empty before the period is over.
std::vector<Envelope> DueHeartbeats(Membership& m, uint64_t digest, Time now);

// All that is known of the zones, with their lists.
std::vector<ZoneBeat> DescribeZones(const Membership& m, Time now);

HostState StateOf(const Membership& m, const HostId& host, Time now);

// Whether the zone has a host that answers, by its own recent word.
bool IsZoneLive(const Membership& m, const ZoneId& zone, Time now);

// Live and leaving hosts.
std::vector<Host> AnsweringHosts(const Membership& m, Time now);
// Live hosts that are not leaving.
std::vector<Host> LiveHosts(const Membership& m, Time now);
std::vector<HostId> LiveHostsOfZone(const Membership& m,
                                    const ZoneId& zone,
                                    Time now);

// Relays of `zone` by this host's knowledge, best first.
std::vector<HostId> RelaysOfZone(const Membership& m,
                                 const ZoneId& zone,
                                 Time now);
// Whether this host watches the store for its zone.
bool IsRelay(const Membership& m, Time now);
// Whether this host reports for its zone: the first of the relays.
bool IsZoneReporter(const Membership& m, Time now);

// Whether more than half of the listed hosts of the region answer.
bool HearsMajorityOfRegion(const Membership& m,
                           const RegionId& region,
                           Time now);

}  // namespace sassafras

#endif  // DECISIONS_MEMBERSHIP_H_
