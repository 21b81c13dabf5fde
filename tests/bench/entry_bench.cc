// An entry process under load: added latency against the same endpoint called
// directly, look-ups a second, and memory when idle.

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <thread>

#include "base/http_client.h"
#include "base/loop.h"
#include "bench/bounds.h"
#include "standins/deployment.h"

namespace sassafras {
namespace {

constexpr int kNetwork = 110;
constexpr int kWarmCalls = 200;
constexpr int kCalls = 2000;
constexpr auto kGap = std::chrono::microseconds(5000);  // 200 a second.

size_t Ignore(char*, size_t size, size_t count, void*) {
  return size * count;
}

// Latencies of paced calls over one kept connection, in milliseconds.
std::vector<double> PacedCalls(const std::string& url, int calls) {
  std::vector<double> out;
  CURL* easy = curl_easy_init();
  curl_easy_setopt(easy, CURLOPT_PROXY, "");
  curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Ignore);
  auto next = std::chrono::steady_clock::now();
  for (int n = 0; n < calls; ++n) {
    const std::string target = url + "?n=" + std::to_string(n);
    curl_easy_setopt(easy, CURLOPT_URL, target.c_str());
    std::this_thread::sleep_until(next);
    next += kGap;
    const auto begin = std::chrono::steady_clock::now();
    curl_easy_perform(easy);
    const std::chrono::duration<double, std::milli> time =
        std::chrono::steady_clock::now() - begin;
    out.push_back(time.count());
  }
  curl_easy_cleanup(easy);
  std::sort(out.begin(), out.end());
  return out;
}

double At(const std::vector<double>& sorted, double part) {
  return sorted[static_cast<size_t>(part *
                                    static_cast<double>(sorted.size() - 1))];
}

// Look-ups over many kept connections for `seconds`.
double LookupsPerSecond(const std::string& url, double seconds) {
  constexpr int kConnections = 32;
  constexpr int kThreads = 3;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  std::vector<uint64_t> done(kThreads, 0);
  for (int t = 0; t < kThreads; ++t) {
    threads.emplace_back([&, t] {
      CURLM* multi = curl_multi_init();
      std::vector<CURL*> handles;
      for (int n = 0; n < kConnections / kThreads; ++n) {
        CURL* easy = curl_easy_init();
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_PROXY, "");
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &Ignore);
        curl_multi_add_handle(multi, easy);
        handles.push_back(easy);
      }
      const auto end = std::chrono::steady_clock::now() +
                       std::chrono::duration<double>(seconds);
      while (std::chrono::steady_clock::now() < end) {
        int running = 0;
        curl_multi_perform(multi, &running);
        int left = 0;
        while (CURLMsg* msg = curl_multi_info_read(multi, &left)) {
          if (msg->msg != CURLMSG_DONE)
            continue;
          CURL* easy = msg->easy_handle;
          done[static_cast<size_t>(t)] += msg->data.result == CURLE_OK ? 1 : 0;
          curl_multi_remove_handle(multi, easy);
          curl_multi_add_handle(multi, easy);
        }
        curl_multi_poll(multi, nullptr, 0, 5, nullptr);
      }
      for (CURL* it : handles) {
        curl_multi_remove_handle(multi, it);
        curl_easy_cleanup(it);
      }
      curl_multi_cleanup(multi);
    });
  }
  for (std::thread& it : threads)
    it.join();
  uint64_t sum = 0;
  for (const uint64_t it : done)
    sum += it;
  return static_cast<double>(sum) / seconds;
}

// Processor time that the process has used, in seconds.
double CpuSeconds(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  double ticks = 0;
  for (int n = 1; n <= 15 && in >> word; ++n) {
    if (n >= 14)
      ticks += std::stod(word);
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double MemoryMb(pid_t pid) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  while (in >> word) {
    if (word != "VmRSS:")
      continue;
    double kb = 0;
    in >> kb;
    return kb / 1024;
  }
  return 0;
}

int Run(Bounds& bounds) {
  DeploymentConfig config;
  config.binary = SASSAFRASDECK_BINARY;
  config.standins = STANDINS_BINARY;
  config.settings_file = std::string(DATA_DIR) + "/heladeras.toml";
  config.network = kNetwork;
  config.zones = 6;
  config.hosts_per_zone = 1;
  config.services = {{"rounds", 6, 3, 5}, {"uploads", 6, 3, 5}};
  Deployment deployment(config);
  if (!deployment.Start() ||
      !deployment.LoadSheet(std::string(DATA_DIR) + "/sheets/heladeras.csv") ||
      !deployment.WaitReady(std::chrono::seconds(30))) {
    std::fprintf(stderr, "the deployment did not start\n");
    return 1;
  }
  const auto& host = deployment.hosts().front();
  const pid_t entry = host.entry;
  const double idle_mb = MemoryMb(entry);
  const std::string entry_url =
      "http://" + host.settings.caller_address.ToString();
  const std::string via = entry_url + "/v1/call/rounds/stock/1";
  const std::string direct = "http://" +
                             deployment.endpoints().front().address.ToString() +
                             "/stock/1";
  PacedCalls(via, kWarmCalls);
  PacedCalls(direct, kWarmCalls);
  const auto with = PacedCalls(via, kCalls);
  const auto without = PacedCalls(direct, kCalls);
  std::printf(
      "direct: p50 %.2f p99 %.2f ms; through an entry host: p50 %.2f "
      "p99 %.2f ms; ratio %.2f and %.2f\n",
      At(without, 0.5), At(without, 0.99), At(with, 0.5), At(with, 0.99),
      At(with, 0.5) / At(without, 0.5), At(with, 0.99) / At(without, 0.99));
  bounds.Check("entry.added_p50_ms_max", At(with, 0.5) - At(without, 0.5));
  bounds.Check("entry.added_p99_ms_max", At(with, 0.99) - At(without, 0.99));
  const double cpu = CpuSeconds(entry);
  const double rate = LookupsPerSecond(
      entry_url + "/v1/lookup?service=rounds&client=10.1.2.3", 5);
  const double used = CpuSeconds(entry) - cpu;
  std::printf("look-ups: %.0f a second with %.2f of a core\n", rate, used / 5);
  bounds.Check("entry.lookups_per_second_min", rate * 5 / used);
  std::printf("memory: %.1f MB idle, %.1f MB after the load\n", idle_mb,
              MemoryMb(entry));
  bounds.Check("entry.idle_memory_mb_max", idle_mb);
  return 0;
}

}  // namespace
}  // namespace sassafras

int main() {
  curl_global_init(CURL_GLOBAL_DEFAULT);
  sassafras::Bounds bounds(std::string(DATA_DIR) + "/bench_bounds.toml");
  const int failed = sassafras::Run(bounds);
  std::printf("%d breaches\n", bounds.breaches());
  return failed || bounds.breaches() > 0 ? 1 : 0;
}
