#include "decisions/random_history.h"

#include <algorithm>
#include <set>

#include "decisions/fake_world.h"
#include "decisions/planner.h"

namespace sassafras {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr double kCapPerMinute = 0.1;
constexpr size_t kMaxDead = 2;

class History {
 public:
  explicit History(uint64_t seed) : random_(seed), world_(Config(seed)) {
    world_.StartAndWaitUntilServing();
  }

  HistoryResult Run(int steps, const std::vector<int>& skipped_steps) {
    for (int n = 0; n < steps; ++n) {
      // Drawn also for skipped steps, so that the others stay the same.
      const uint64_t draw = random_();
      const Duration pause = milliseconds(random_() % 1500);
      const bool skip = std::find(skipped_steps.begin(), skipped_steps.end(),
                                  n) != skipped_steps.end();
      if (!skip)
        Step(n, draw);
      world_.Run(pause);
      CheckPlan();
    }
    Heal();
    world_.Run(seconds(20));
    CheckEnd();
    result_.violations.insert(result_.violations.end(),
                              world_.violations.begin(),
                              world_.violations.end());
    return std::move(result_);
  }

 private:
  static WorldConfig Config(uint64_t seed) {
    WorldConfig config;
    config.regions = {"cuyo", "pampa"};
    config.hosts_per_zone = 2;
    config.endpoints_per_zone = 2;
    config.seed = seed;
    return config;
  }

  HostId AnyHost(uint64_t draw) const {
    return world_.hosts()[draw % world_.hosts().size()].id;
  }

  void Note(int n, const std::string& what) {
    result_.steps.push_back(std::to_string(n) + ": " + what);
  }

  void Step(int n, uint64_t draw) {
    const uint64_t kind = draw % 100;
    const uint64_t rest = draw / 100;
    if (kind < 45)
      Charge(n, rest);
    else if (kind < 60)
      Repeat(n, rest);
    else if (kind < 66)
      Kill(n, rest);
    else if (kind < 72)
      Freeze(n, rest);
    else if (kind < 77)
      ToggleStore(n);
    else if (kind < 81)
      LoseAnswers(n, rest);
    else if (kind < 86)
      Cut(n, rest);
    else if (kind < 90)
      LoadSheet(n, rest);
    else if (kind < 94)
      BreakEndpoint(n, rest);
    else if (kind < 97)
      Stop(n, rest);
    else
      Heal();
  }

  std::string MintPrefix(const HostId& host) {
    if (!world_.IsUp(host))
      return "";
    return AnswerLookup(world_.entry(host), 0x0a010001).key_prefix;
  }

  void Charge(int n, uint64_t draw) {
    const HostId host = AnyHost(draw);
    CallSpec spec;
    // Some keys carry no prefix.
    spec.key = (draw >> 8) % 4 == 0 ? "" : MintPrefix(host);
    spec.key += "order-" + std::to_string(n);
    spec.timeout = seconds(1 + (draw >> 16) % 6);
    keys_.push_back(spec);
    Note(n, "charge " + spec.key + " through " + host.value());
    world_.Call(host, spec);
  }

  void Repeat(int n, uint64_t draw) {
    if (keys_.empty())
      return;
    // One of the last four keys, whose requests are often still running.
    const size_t back = (draw >> 8) % std::min<size_t>(keys_.size(), 4);
    const CallSpec spec = keys_[keys_.size() - 1 - back];
    const HostId host = AnyHost(draw);
    Note(n, "repeat " + spec.key + " through " + host.value());
    world_.Call(host, spec);
  }

  void Kill(int n, uint64_t draw) {
    if (dead_.size() >= kMaxDead)
      return;
    const HostId host = AnyHost(draw);
    Note(n, "kill " + host.value());
    world_.Kill(host);
    dead_.insert(host);
    frozen_.erase(host);
  }

  void Freeze(int n, uint64_t draw) {
    const HostId host = AnyHost(draw);
    if (!world_.IsUp(host) || frozen_.count(host))
      return;
    Note(n, "freeze " + host.value());
    world_.Freeze(host);
    frozen_.insert(host);
    const Duration time = milliseconds(500 + (draw >> 8) % 20000);
    world_.At(world_.now() + time, [this, host] {
      if (frozen_.erase(host) > 0)
        world_.Wake(host);
    });
  }

  void ToggleStore(int n) {
    world_.store().down = !world_.store().down;
    Note(n, world_.store().down ? "store down" : "store up");
  }

  void LoseAnswers(int n, uint64_t draw) {
    world_.store().lose_answers = 1 + static_cast<int>(draw % 3);
    Note(n, "store loses answers");
  }

  // Drops all messages between two groups of hosts for up to 15.5 s.
  void Cut(int n, uint64_t draw) {
    const uint64_t mask = draw;
    const auto side = [this, mask](const HostId& peer) {
      for (size_t it = 0; it < world_.hosts().size(); ++it) {
        const std::string& name = world_.hosts()[it].id.value();
        if (peer.value().compare(0, name.size(), name) == 0)
          return (mask >> it) & 1;
      }
      return uint64_t{0};
    };
    Note(n, "cut " + std::to_string(mask & 0xff));
    world_.drop = [side](const HostId& from, const Envelope& it) {
      return side(from) != side(it.to);
    };
    const Duration time = milliseconds(500 + (draw >> 8) % 15000);
    world_.At(world_.now() + time, [this] { world_.drop = nullptr; });
  }

  void LoadSheet(int n, uint64_t draw) {
    if (world_.store().down)
      return;
    Intent intent;
    ServiceIntent& it = intent.services[world_.service()];
    const double part = static_cast<double>(draw % 100) / 100.0;
    const auto& zones = world_.topology().zones;
    for (size_t z = 0; z < zones.size(); ++z)
      it.shares[zones[z].id] = (z < 2 ? part : 1 - part) / 2;
    it.shift_cap_per_minute = kCapPerMinute;
    Note(n, "load sheet " + std::to_string(part));
    world_.LoadIntent(intent);
  }

  void BreakEndpoint(int n, uint64_t draw) {
    auto it = world_.endpoints().begin();
    std::advance(it, draw % world_.endpoints().size());
    FakeEndpoint& endpoint = it->second;
    switch ((draw >> 8) % 3) {
      case 0:
        endpoint.closes_early = !endpoint.closes_early;
        break;
      case 1:
        endpoint.dead = !endpoint.dead;
        break;
      default:
        endpoint.fails = !endpoint.fails;
        break;
    }
    Note(n, "break or mend " + it->first.value());
  }

  void Stop(int n, uint64_t draw) {
    const HostId host = AnyHost(draw);
    if (!world_.IsUp(host) || dead_.size() >= kMaxDead)
      return;
    Note(n, "stop " + host.value());
    world_.Stop(host);
    dead_.insert(host);
  }

  // Ends all faults and restarts dead hosts.
  void Heal() {
    world_.store().down = false;
    world_.store().lose_answers = 0;
    world_.drop = nullptr;
    for (const HostId& it : frozen_)
      world_.Wake(it);
    frozen_.clear();
    for (const HostId& it : dead_)
      world_.Restart(it);
    dead_.clear();
    for (auto& [id, endpoint] : world_.endpoints()) {
      endpoint.closes_early = false;
      endpoint.dead = false;
      endpoint.fails = false;
    }
  }

  // The plan's version never decreases, and its shares sum to at most 1. The
  // cap on moves per minute is left to the planner's tests: failover moves
  // have budgets of their own.
  void CheckPlan() {
    const auto plan = world_.StoredPlan();
    if (!plan)
      return;
    if (!plans_.empty() && plan->version < plans_.back().second.version)
      result_.violations.push_back("plan version decreased");
    if (plans_.empty() || plans_.back().second.version != plan->version)
      plans_.emplace_back(world_.now(), *plan);
    double sum = 0;
    for (const auto& [zone, it] : plan->zones)
      sum += it.share;
    if (sum > 1.0 + 1e-6)
      result_.violations.push_back("plan shares sum to more than 1");
  }

  void CheckEnd() {
    for (size_t n = 0; n < world_.calls().size(); ++n) {
      const CallRecord& call = world_.calls()[n];
      result_.answered += call.state == CallRecord::State::kAnswered;
      result_.refused += call.state == CallRecord::State::kRefused;
    }
    // After all faults have ended, new calls are answered.
    CallSpec spec;
    const HostId host = world_.hosts().front().id;
    spec.key = MintPrefix(host) + "last";
    const size_t call = world_.Call(host, spec);
    world_.Run(seconds(6));
    if (world_.call(call).state != CallRecord::State::kAnswered)
      result_.violations.push_back("no answer after all faults ended: " +
                                   world_.call(call).problem.code);
  }

  std::mt19937_64 random_;
  World world_;
  HistoryResult result_;
  std::vector<CallSpec> keys_;
  std::set<HostId> dead_;
  std::set<HostId> frozen_;
  std::vector<std::pair<Time, ServicePlan>> plans_;
};

}  // namespace

HistoryResult RunHistory(uint64_t seed,
                         int steps,
                         const std::vector<int>& skipped_steps) {
  return History(seed).Run(steps, skipped_steps);
}

std::vector<int> ShrinkHistory(uint64_t seed, int steps) {
  std::vector<int> skipped_steps;
  for (int n = steps - 1; n >= 0; --n) {
    skipped_steps.push_back(n);
    if (RunHistory(seed, steps, skipped_steps).violations.empty())
      skipped_steps.pop_back();
  }
  return skipped_steps;
}

}  // namespace sassafras
