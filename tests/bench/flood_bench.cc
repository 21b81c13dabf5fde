// Service by priority in floods, on a virtual clock, against two baselines:
// one queue without classes, and two random choices on lagging load reports
// without classes.

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstring>
#include <deque>
#include <queue>

#include "base/hash.h"
#include "bench/bounds.h"
#include "decisions/fake_world.h"

namespace sassafras {
namespace {

constexpr double kWorkSeconds = 0.020;
constexpr double kWorkSpread = 0.5;
constexpr double kLeastNormal = 0.15;
constexpr double kLeastLow = 0.05;
constexpr Duration kTimeout = std::chrono::seconds(2);
constexpr Duration kWarm = std::chrono::seconds(3);
constexpr Duration kMeasured = std::chrono::seconds(4);
// The load goes on while the last measured requests are served.
constexpr Duration kLoad = kWarm + kMeasured + kTimeout;

struct User {
  const char* name;
  int endpoints;
  int slots;
  Duration region_delay;
};

// Offered work per class as a part of the capacity.
struct Scenario {
  const char* name;
  PerPriority<double> offered;
  int flooded;  // Index of the class that floods; -1 for none.
};

const Scenario kScenarios[] = {
    {"quiet", {0.1, 0.2, 0.2}, -1},
    {"low x5", {0.1, 0.2, 5.0}, 2},
    {"normal x5", {0.1, 5.0, 0.2}, 1},
    {"urgent x5", {5.0, 0.2, 0.2}, 0},
};

enum class Design { kGranter, kOneQueue, kTwoChoices };

struct ClassResult {
  double answered_share = 0;
  double work_share = 0;  // Answered work over capacity.
  double p50_ms = 0;
  double p99_ms = 0;
};

using Result3 = PerPriority<ClassResult>;

// One request; times in seconds since the load began.
struct Sample {
  Priority priority;
  bool answered;
  double begun;
  double ended;
};

bool InWindow(double at) {
  return at >= Seconds(kWarm) && at < Seconds(kWarm + kMeasured);
}

Result3 Summarize3(const std::vector<Sample>& samples, double capacity) {
  Result3 out;
  for (const Priority p : kAllPriorities) {
    std::vector<double> latencies;
    size_t sent = 0;
    size_t ended = 0;
    for (const Sample& it : samples) {
      if (it.priority != p)
        continue;
      ended += it.answered && InWindow(it.ended) ? 1 : 0;
      if (!InWindow(it.begun))
        continue;
      ++sent;
      if (it.answered)
        latencies.push_back((it.ended - it.begun) * 1e3);
    }
    std::sort(latencies.begin(), latencies.end());
    ClassResult& r = out[IndexOf(p)];
    // Work counts where it ends, so that a queue which drains after the load
    // does not count.
    r.work_share = static_cast<double>(ended) / (capacity * Seconds(kMeasured));
    if (latencies.empty())
      continue;
    const auto n = static_cast<double>(latencies.size());
    r.answered_share = n / static_cast<double>(sent);
    r.p50_ms = latencies[latencies.size() / 2];
    r.p99_ms = latencies[static_cast<size_t>(0.99 * (n - 1))];
  }
  return out;
}

// Runs the nodes. With one queue, all work is of one class and one caller.
Result3 RunNodes(const User& user, const Scenario& scenario, Design design) {
  WorldConfig config;
  config.endpoints_total = user.endpoints;
  config.slots = user.slots;
  config.work_spread = kWorkSpread;
  config.region_delay = user.region_delay;
  World world(config);
  world.StartAndWaitUntilServing();
  const double capacity = user.endpoints * user.slots / kWorkSeconds;
  std::mt19937_64 random(7);
  PerPriority<Time> next;
  next.fill(world.now());
  const Time begin = world.now();
  const Time end = begin + kLoad;
  std::vector<std::pair<Priority, size_t>> calls;
  uint64_t n = 0;
  while (true) {
    size_t first = 0;
    for (size_t p = 1; p < kPriorityCount; ++p) {
      if (next[p] < next[first])
        first = p;
    }
    if (next[first] >= end)
      break;
    world.Run(next[first] - world.now());
    CallSpec spec;
    spec.priority = kAllPriorities[first];
    spec.caller = "caller-" + std::to_string(++n % 211);
    if (design == Design::kOneQueue) {
      spec.priority = Priority::kLow;
      spec.caller = "all";
    }
    spec.timeout = kTimeout;
    const HostId host = world.hosts()[random() % world.hosts().size()].id;
    const size_t call = world.Call(host, spec);
    calls.emplace_back(kAllPriorities[first], call);
    const double rate = scenario.offered[first] * capacity;
    const double gap = -std::log(1.0 - UnitInterval(random())) / rate;
    next[first] += std::max(Duration(1), FromSeconds(gap));
  }
  world.Run(kTimeout + std::chrono::seconds(1));
  std::vector<Sample> samples;
  std::map<std::string, size_t> refused;
  for (const auto& [priority, n_call] : calls) {
    const CallRecord& it = world.call(n_call);
    samples.push_back({priority, it.state == CallRecord::State::kAnswered,
                       Seconds(it.begun - begin), Seconds(it.ended - begin)});
    if (it.state == CallRecord::State::kRefused && scenario.flooded < 0)
      ++refused[it.problem.code];
  }
  for (const auto& [code, count] : refused)
    std::printf("refused in quiet: %s %zu\n", code.c_str(), count);
  return Summarize3(samples, capacity);
}

// Every request picks the less loaded of two random endpoints by reports that
// lag 100 ms, and tries again when it is shed, until its deadline.
Result3 RunTwoChoices(const User& user, const Scenario& scenario) {
  struct Arrival {
    double at;
    double begun;
    size_t priority;
    bool operator<(const Arrival& o) const { return at > o.at; }
  };
  constexpr double kReportLag = 0.1;
  constexpr double kRetryPause = 0.005;
  const size_t endpoints = static_cast<size_t>(user.endpoints);
  const double capacity = user.endpoints * user.slots / kWorkSeconds;
  const double horizon = Seconds(kLoad);
  std::mt19937_64 random(7);
  std::priority_queue<Arrival> queue;
  for (size_t p = 0; p < kPriorityCount; ++p) {
    double at = 0;
    while (true) {
      at += -std::log(1.0 - UnitInterval(random())) /
            (scenario.offered[p] * capacity);
      if (at >= horizon)
        break;
      queue.push({at, at, p});
    }
  }
  std::vector<std::vector<double>> busy(endpoints);  // Ends of running work.
  std::vector<size_t> reported(endpoints, 0);
  double next_report = 0;
  std::vector<Sample> samples;
  while (!queue.empty()) {
    Arrival it = queue.top();
    queue.pop();
    if (it.at >= next_report) {
      for (size_t e = 0; e < endpoints; ++e)
        reported[e] = busy[e].size();
      next_report = it.at + kReportLag;
    }
    const size_t a = random() % endpoints;
    const size_t b = random() % endpoints;
    std::vector<double>& ends = busy[reported[a] <= reported[b] ? a : b];
    ends.erase(std::remove_if(ends.begin(), ends.end(),
                              [&](double end) { return end <= it.at; }),
               ends.end());
    if (ends.size() < static_cast<size_t>(user.slots)) {
      const double work =
          kWorkSeconds * (1 + kWorkSpread * (2 * UnitInterval(random()) - 1));
      ends.push_back(it.at + work);
      samples.push_back(
          {kAllPriorities[it.priority], true, it.begun, it.at + work});
      continue;
    }
    it.at += kRetryPause;
    if (it.at + kWorkSeconds < it.begun + Seconds(kTimeout))
      queue.push(it);
    else
      samples.push_back({kAllPriorities[it.priority], false, it.begun, it.at});
  }
  return Summarize3(samples, capacity);
}

Result3 RunDesign(const User& user, const Scenario& scenario, Design design) {
  if (design == Design::kTwoChoices)
    return RunTwoChoices(user, scenario);
  return RunNodes(user, scenario, design);
}

void PrintRow(const char* design,
              const User& user,
              const Scenario& scenario,
              const Result3& result) {
  std::printf("%-11s %-10s %-10s", design, user.name, scenario.name);
  for (const ClassResult& it : result) {
    std::printf("  %5.1f%% %6.1f %7.1f", it.answered_share * 100, it.p50_ms,
                it.p99_ms);
  }
  double goodput = 0;
  for (const ClassResult& it : result)
    goodput += it.work_share;
  std::printf("  %5.2f\n", goodput);
}

void CheckScenario(const Scenario& scenario,
                   const Result3& quiet,
                   const Result3& result,
                   Bounds& bounds) {
  if (scenario.flooded < 0)
    return;
  const PerPriority<double> least = {0, kLeastNormal, kLeastLow};
  double goodput = 0;
  for (size_t p = 0; p < kPriorityCount; ++p) {
    goodput += result[p].work_share;
    const double due = std::min(least[p], scenario.offered[p]);
    if (due > 0)
      bounds.Check("flood.least_share_min", result[p].work_share / due);
  }
  bounds.Check("flood.goodput_min", goodput);
  if (scenario.flooded != 0) {
    bounds.Check("flood.urgent_p99_ratio_max",
                 result[0].p99_ms / quiet[0].p99_ms);
  }
}

void RunUser(const User& user, bool baselines, Bounds& bounds) {
  const std::pair<Design, const char*> designs[] = {
      {Design::kGranter, "granter"},
      {Design::kOneQueue, "one queue"},
      {Design::kTwoChoices, "two choices"}};
  for (const auto& [design, name] : designs) {
    if (design != Design::kGranter && !baselines)
      continue;
    Result3 quiet;
    for (const Scenario& scenario : kScenarios) {
      const Result3 result = RunDesign(user, scenario, design);
      if (scenario.flooded < 0)
        quiet = result;
      PrintRow(name, user, scenario, result);
      if (design == Design::kGranter)
        CheckScenario(scenario, quiet, result, bounds);
    }
  }
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  using sassafras::User;
  const bool baselines =
      argc < 2 || std::strcmp(argv[1], "--no-baselines") != 0;
  sassafras::Bounds bounds(std::string(DATA_DIR) + "/bench_bounds.toml");
  std::printf("%-11s %-10s %-10s  %-21s  %-21s  %-21s  %s\n", "design", "user",
              "load", "urgent %, p50, p99 ms", "normal", "low", "goodput");
  sassafras::RunUser({"heladeras", 20, 3, std::chrono::milliseconds(35)},
                     baselines, bounds);
  sassafras::RunUser({"hakata", 16, 4, std::chrono::milliseconds(12)},
                     baselines, bounds);
  std::printf("%d breaches\n", bounds.breaches());
  return bounds.breaches() == 0 ? 0 : 1;
}
