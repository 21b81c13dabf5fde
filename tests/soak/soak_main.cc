// Plays seeds of the soak: `process_soak --seeds 1-50 --jobs 4`.
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>

#include <deque>
#include <iostream>
#include <map>
#include <sstream>

#include "soak/soak.h"

namespace sassafras {
namespace {

// Loopback networks, one for each seed that runs at the same time.
constexpr int kFirstNetwork = 60;

int PlaySeed(const SoakOptions& options) {
  const SoakReport report = RunSoak(options);
  std::ostringstream os;
  os << "seed " << options.seed << ": "
     << (report.violations.empty() ? "holds" : "BROKEN") << "; "
     << report.requests << " requests, " << report.served << " served, "
     << report.refused << " refused, " << report.failed << " failed, "
     << report.cut << " cut\n";
  for (const std::string& it : report.violations)
    os << "  " << it << "\n";
  for (const std::string& it : report.log_lines)
    os << "    " << it << "\n";
  if (options.is_verbose || !report.violations.empty()) {
    for (const std::string& it : report.faults)
      os << "    " << it << "\n";
  }
  std::cout << os.str() << std::flush;
  return report.violations.empty() ? 0 : 1;
}

// Each seed runs in a process of its own, `jobs` at a time.
int PlayAll(uint64_t first, uint64_t last, int jobs, SoakOptions options) {
  options.seed = first;
  if (first == last)
    return PlaySeed(options);
  std::map<pid_t, int> running;
  std::deque<int> networks;
  for (int i = 0; i < jobs; ++i)
    networks.push_back(kFirstNetwork + i);
  int broken = 0;
  const auto collect = [&] {
    int status = 0;
    const pid_t pid = ::wait(&status);
    if (WIFSIGNALED(status)) {
      std::cout << "A seed's process ended by signal " << WTERMSIG(status)
                << std::endl;  // Not to be in the buffer of the next fork.
    }
    broken += !WIFEXITED(status) || WEXITSTATUS(status) != 0;
    networks.push_back(running[pid]);
    running.erase(pid);
  };
  for (uint64_t seed = first; seed <= last; ++seed) {
    if (networks.empty())
      collect();
    options.seed = seed;
    options.network = networks.front();
    networks.pop_front();
    const pid_t pid = ::fork();
    if (pid == 0)
      ::_exit(PlaySeed(options));
    running[pid] = options.network;
  }
  while (!running.empty())
    collect();
  std::cout << (last - first + 1) << " seeds, " << broken << " broken\n";
  return broken == 0 ? 0 : 1;
}

int Main(int argc, char** argv) {
  CLI::App app("Soak of real gateway processes under faults from outside");
  std::string seeds = "1-3";
  int jobs = 1;
  int seconds = 5;
  SoakOptions options;
  app.add_option("--seeds", seeds, "One seed, or FIRST-LAST");
  app.add_option("--jobs", jobs, "Seeds at a time")->check(CLI::Range(1, 20));
  app.add_option("--network", options.network,
                 "Second part of the loopback addresses of a single seed")
      ->check(CLI::Range(60, 119));
  app.add_option("--hosts", options.hosts, "Hosts")->check(CLI::Range(2, 90));
  app.add_option("--endpoints", options.endpoints, "Endpoints")
      ->check(CLI::Range(3, 40));
  app.add_option("--rounds", options.rounds, "Faults, then calm, so often");
  app.add_option("--harm", seconds, "Seconds of faults in each round");
  app.add_flag("--verbose", options.is_verbose, "Prints all faults");
  CLI11_PARSE(app, argc, argv);
  options.harm = std::chrono::seconds(seconds);
  const size_t dash = seeds.find('-');
  const uint64_t first = std::stoull(seeds);
  const uint64_t last =
      dash == std::string::npos ? first : std::stoull(seeds.substr(dash + 1));
  return PlayAll(first, last, jobs, options);
}

}  // namespace
}  // namespace sassafras

int main(int argc, char** argv) {
  return sassafras::Main(argc, argv);
}
