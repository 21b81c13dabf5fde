// Entry and control nodes on a virtual clock, with small fakes in place of
// the network, the store, the endpoints and the callers. Every run with the
// same seed is the same.
#ifndef TESTS_DECISIONS_FAKE_WORLD_H_
#define TESTS_DECISIONS_FAKE_WORLD_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "decisions/control_node.h"
#include "decisions/entry_node.h"
#include "decisions/sheet_load.h"

namespace sassafras {

// The platform's store as the nodes see it.
struct FakeStore {
  std::map<std::pair<std::string, std::string>, StoreObject> objects;
  uint64_t revision = 0;
  bool down = false;
  Duration delay = std::chrono::milliseconds(2);
  int lose_answers = 0;  // Writes that take effect without an answer.
  uint64_t calls = 0;

  StoreReply Get(const StoreGet& get);
  StoreReply List(const StoreList& list);
  StoreReply Put(const StorePut& put);
};

struct FakeEndpoint {
  Endpoint listed;
  Duration work = std::chrono::milliseconds(20);
  bool dead = false;
  bool fails = false;         // Answers 500 after 1 ms.
  bool closes_early = false;  // Closes before any byte of an answer.
  std::set<ExchangeId> running;
  int runs = 0;
  int crashes = 0;
};

struct WorldConfig {
  std::vector<std::string> regions = {"cuyo", "pampa", "litoral"};
  int zones_per_region = 2;
  int hosts_per_zone = 3;
  std::string service = "rounds";
  int endpoints_per_zone = 3;
  int endpoints_total = 0;  // Instead of the above, spread over the zones.
  int slots = 3;
  Duration work = std::chrono::milliseconds(20);
  // Work varies evenly by this part of it, up and down.
  double work_spread = 0;
  Duration local_delay = std::chrono::microseconds(200);
  Duration zone_delay = std::chrono::microseconds(1500);
  Duration region_delay = std::chrono::milliseconds(35);
  uint64_t seed = 1;
};

struct CallSpec {
  std::string key;  // Empty for none.
  uint64_t body = 1;
  Priority priority = Priority::kUrgent;
  std::string caller = "caller";
  Duration timeout = std::chrono::seconds(5);
  bool idempotent = true;  // Without a key.
  bool poison = false;
  uint64_t target = 0;  // Part of the fingerprint; zero for a fresh one.
  Duration work{};      // Zero for the endpoint's own.
};

struct CallRecord {
  CallSpec spec;
  HostId entry;
  ExchangeId exchange;
  Time begun;
  Time ended;
  enum class State { kOpen, kAnswered, kRefused } state = State::kOpen;
  Problem problem;
  std::string answer;
  bool from_record = false;
  int runs = 0;  // Of this exchange.
};

class World {
 public:
  explicit World(WorldConfig config);

  // ---- Time ----
  Time now() const { return now_; }
  void Run(Duration time);
  // Runs until `done` holds; false after `time`.
  bool RunUntil(Duration time, const std::function<bool()>& done);
  void At(Time time, std::function<void()> fn);

  // ---- Set-up ----
  void StartAll();
  // Writes an intent with even shares; returns its version.
  Version LoadEvenIntent();
  Version LoadIntent(Intent intent);
  // Starts all, loads an intent and waits until all hosts serve with views.
  void StartAndWaitUntilServing();
  void SetWork(Duration work);

  // ---- Faults ----
  void Kill(const HostId& host);     // Both of its processes.
  void Restart(const HostId& host);  // As a fresh host under the same name.
  void Freeze(const HostId& host);
  void Wake(const HostId& host);
  void Stop(const HostId& host);  // As by SIGTERM.
  void KillRegion(const RegionId& region);
  bool IsUp(const HostId& host) const { return dead_.count(host) == 0; }
  void WakeIfFrozen(const HostId& host) {
    if (frozen_.count(host))
      Wake(host);
  }
  bool IsFrozen(const HostId& host) const { return frozen_.count(host) > 0; }
  void CrashEndpoint(const EndpointId& id) { Crash(endpoints_.at(id)); }
  // A write by an operator: its change reaches the followers.
  StoreReply PutAndNotifyFollowers(const StorePut& put);
  // Changes the reports of hosts on their way.
  std::function<void(HostReport&)> alter_report;
  // Messages for which this holds are lost.
  std::function<bool(const HostId& from, const Envelope&)> drop;
  // Store calls of a host for which this holds do not arrive.
  std::function<bool(const HostId& host)> cut_from_store;

  // ---- Callers ----
  size_t Call(const HostId& entry, const CallSpec& spec);
  CallRecord& call(size_t n) { return calls_[n]; }
  const std::deque<CallRecord>& calls() const { return calls_; }
  bool IsOpen(size_t n) const {
    return calls_[n].state == CallRecord::State::kOpen;
  }
  void DisconnectCaller(size_t n);  // The caller goes away.
  int RunsOfKey(const std::string& key) const;

  // ---- Looking in ----
  EntryNode& entry(const HostId& host) { return *entries_.at(host); }
  ControlNode& control(const HostId& host) { return *controls_.at(host); }
  const std::vector<Host>& hosts() const { return hosts_; }
  std::vector<HostId> HostsOfZone(const std::string& zone) const;
  std::vector<HostId> HostsOfRegion(const std::string& region) const;
  std::map<EndpointId, FakeEndpoint>& endpoints() { return endpoints_; }
  const Topology& topology() const { return topology_; }
  FakeStore& store() { return store_; }
  HostId Leader() const;
  const ShardView& View(const std::string& region, int shard);
  std::optional<ServicePlan> StoredPlan();
  ServiceId service() const { return ServiceId(config_.service); }
  void PublishLists();
  // Hosts whose node has said that it is done.
  std::set<HostId> exited;
  // Faults found by the invariant checks; empty if all hold.
  std::vector<std::string> violations;

 private:
  struct Event {
    Time at;
    uint64_t order = 0;
    std::function<void()> fn;
    friend bool operator<(const Event& a, const Event& b) {
      return a.at != b.at ? b.at < a.at : b.order < a.order;
    }
  };

  void StartHost(const Host& host);
  void FeedEntry(const HostId& host, const EntryEvent& event);
  void FeedControl(const HostId& host, const ControlEvent& event);
  // Runs `fn` for the host's processes of this start, unless it is dead, and
  // after it wakes if it is frozen.
  void ForHost(const HostId& host, std::function<void()> fn);
  void PerformEntryActions(const HostId& host,
                           std::vector<EntryAction> actions);
  void PerformControlActions(const HostId& host,
                             std::vector<ControlAction> actions);
  void Deliver(const HostId& from, const Envelope& envelope);
  Duration DelayBetween(const HostId& a, const HostId& b) const;
  void SimulateDispatch(const HostId& host, const Dispatch& dispatch);
  void EndRun(const HostId& host,
              const EndpointId& endpoint,
              ExchangeId exchange,
              SlotOutcome outcome,
              const std::string& answer);
  void Crash(FakeEndpoint& endpoint);
  void PublishChange(const std::string& kind, const StoreObject& object);
  void FollowAll(const HostId& host);
  StoreReply ExecuteStoreCall(const HostId& host, const StoreCall& call);
  CallRecord* FindCall(ExchangeId exchange);
  void CheckIntentVersion(const HostId& host);
  void CheckAnswer(const CallRecord& record);

  WorldConfig config_;
  Topology topology_;
  std::vector<Host> hosts_;
  std::map<EndpointId, FakeEndpoint> endpoints_;
  FakeStore store_;
  Time now_{std::chrono::hours(1)};
  uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::map<HostId, std::unique_ptr<EntryNode>> entries_;
  std::map<HostId, std::unique_ptr<ControlNode>> controls_;
  std::map<HostId, int> starts_;
  std::map<HostId, uint64_t> entry_timers_;
  std::map<HostId, uint64_t> control_timers_;
  std::set<HostId> dead_;
  std::set<HostId> frozen_;
  std::map<HostId, std::vector<std::function<void()>>> deferred_;
  std::set<HostId> followers_;
  std::deque<CallRecord> calls_;
  std::map<ExchangeId, size_t> call_of_;
  std::map<std::string, int> runs_of_key_;
  std::map<HostId, Version> intent_seen_;
  std::mt19937_64 random_;
  uint64_t next_target_ = 0;
};

}  // namespace sassafras

#endif  // TESTS_DECISIONS_FAKE_WORLD_H_
