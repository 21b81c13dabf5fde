// Plays versions of the configuration in quick succession at many gateway
// processes and judges, by requests sent straight to each host, whether and
// when they are in effect. Harms hosts and the connections between them.
//
// A host whose process, connections or way to the store are harmed counts as
// disturbed, and for the stable window after that; the host at the other end of
// a connection that is reset does not.
#ifndef GATEWAY_VERSION_PLAY_H_
#define GATEWAY_VERSION_PLAY_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "soak/fault_proxy.h"
#include "standins/connection_faults.h"
#include "standins/platform_world.h"

namespace sassafras {

// What the platform's documentation allows, as counted over one play.
struct VersionReport {
  size_t judged = 0;  // Answers of hosts that were undisturbed.
  // Handled as only a version older than the one that was due allows.
  std::vector<std::string> late;
  // Handled as only a version older than one that the host has shown allows.
  std::vector<std::string> reverted;
  // Requests on routes that were added later and on those of all versions.
  size_t added = 0;
  size_t added_served = 0;
  size_t first = 0;
  size_t first_served = 0;
  // Requests that were unanswered at their route's timeout, and those that
  // still were half a second later.
  size_t slow = 0;
  size_t slow_unanswered = 0;
  // Of a split by weight 0.7 and 0.3.
  size_t split = 0;
  size_t split_first_part = 0;
  // From a version's acknowledgement until an undisturbed host served it, of
  // hosts that were so all the while.
  Duration slowest{};
  size_t harmed_connections = 0;
};

class VersionPlay {
 public:
  VersionPlay(PlatformWorld& world, int hosts, uint64_t seed);
  VersionPlay(const VersionPlay&) = delete;
  VersionPlay& operator=(const VersionPlay&) = delete;

  // Starts the hosts and waits until only the relays follow the store. Returns
  // false if they do not.
  bool Start();
  // Calls `fn` during Run(), at this time from its start.
  void At(std::chrono::milliseconds time, std::function<void()> fn);
  // Writes versions, of which each adds a route, drops one and moves one.
  void StormAt(std::chrono::milliseconds time);
  // Replaces endpoints of the service that added routes go to, one a second:
  // the new one joins, the old one drains and leaves.
  void ReleaseAt(std::chrono::milliseconds time, int endpoints);
  // Evacuates the second zone for this long.
  void EvacuateAt(std::chrono::milliseconds time,
                  std::chrono::milliseconds length);
  void Run(std::chrono::milliseconds length);

  const std::set<int>& relays() const { return relays_; }
  // The relays, and those that would replace them, in that order.
  std::vector<int> HostsByRelayRank() const;
  // A share of the hosts, drawn at random.
  std::vector<int> DrawHosts(double share);

  // Resets a share of the open connections of these hosts to others and to the
  // store.
  void ResetConnections(const std::vector<int>& hosts, double share);
  // Silences a share of the open connections between hosts. Counts as a reset
  // of all hosts.
  void SilenceConnections(double share);
  // Cuts these hosts off from the store and lets them back.
  void CutFromStore(const std::vector<int>& hosts, ProxyMode how);
  void EndCuts();
  void Kill(int host);
  void StartAgain(int host);

  VersionReport TakeReport();

 private:
  // By the route that a request is on.
  enum class Probe {
    kAdded,    // Of the newest version that is due.
    kSpread,   // Of the oldest version that the host has not shown.
    kDropped,  // Dropped by the newest version that is due.
    kMoved,    // Goes to another service with each version.
    kFirst,    // In all versions, alike.
    kSplit,
    kSlow,  // Its endpoints answer after the route's timeout.
  };
  struct Request {
    std::string id;
    int host = 0;
    Probe probe = Probe::kFirst;
    int version = 0;  // Whose added route it is on.
    Time sent;
  };
  // A connection with at most one request that waits.
  struct Caller {
    std::unique_ptr<PlatformStandinCaller> connection;
    size_t taken = 0;
    std::optional<Request> pending;
    // Of kSlow: the request was unanswered at its route's timeout, and half a
    // second later.
    bool is_overdue = false;
    bool is_unanswered = false;
  };
  struct Disturbance {
    Time from;
    Time to;
  };

  void PutVersion();
  void WriteEndpoint(const std::string& service, const std::string& zone);
  void ReplaceEndpoint();
  void Tick();
  void Send(int host, Caller& caller, Probe probe);
  void Take(Caller& caller);
  void Judge(const Request& request, int status);
  void JudgeAdded(const Request& request, int status, bool is_undisturbed);
  void JudgeMoved(const Request& request,
                  const std::string& service,
                  bool is_undisturbed);
  void RecordShown(int host, int version);
  void JudgeSlow(Caller& caller);
  std::string ServiceThatRan(const std::string& id);
  // The newest version that had to be in effect at `now`; 0: none.
  int DueAt(Time now) const;
  // The newest version that the host had shown long enough before the request.
  int ShownBefore(const Request& request) const;
  // The oldest version with a route that the host has not shown yet.
  std::optional<int> OldestNotShown(int host) const;
  bool IsUndisturbed(int host, Time from, Time to) const;
  void Disturb(int host);
  std::string Describe(const Request& request,
                       int status,
                       const std::string& service) const;
  std::string FeedOf(int host);
  // Of its way to the store, which is in the region of the first zone.
  ProxyMode ModeWithoutFault(int host) const;

  PlatformWorld& world_;
  std::mt19937_64 random_;
  std::set<int> hosts_;
  std::set<int> relays_;
  std::vector<std::unique_ptr<FaultProxy>> proxies_;  // Before the store.
  std::set<int> cut_;
  std::map<int, std::vector<Disturbance>> disturbed_;
  std::map<int, Caller> callers_;
  std::map<int, Caller> slow_callers_;    // Send only kSlow.
  std::map<int, Caller> spread_callers_;  // Send only kSpread.
  std::vector<std::pair<PlatformStandinEndpoint*, std::string>> endpoints_;
  std::map<PlatformStandinEndpoint*, size_t> runs_seen_;
  std::map<std::string, std::string> service_of_run_;
  std::vector<Time> acknowledged_;  // By version, from 1 on.
  // By host: the versions whose added routes it has served, and since when.
  std::map<int, std::map<int, Time>> shown_;
  std::multimap<std::chrono::milliseconds, std::function<void()>> plan_;
  // Endpoints that drain, and when their records are removed.
  std::deque<std::pair<Time, std::string>> leaving_;
  Time started_;  // When Run() was called.
  uint64_t requests_ = 0;
  size_t replaced_ = 0;
  VersionReport report_;
};

}  // namespace sassafras

#endif  // GATEWAY_VERSION_PLAY_H_
