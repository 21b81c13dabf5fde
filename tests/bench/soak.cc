// Many random histories. A failing seed is printed with its command and
// shrunk to the steps that it needs.

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>

#include "decisions/random_history.h"

int main(int argc, char** argv) {
  CLI::App app("Random histories", "soak");
  uint64_t first = 1;
  uint64_t count = 2000;
  int steps = 40;
  app.add_option("--first", first, "First seed");
  app.add_option("--count", count, "Number of seeds");
  app.add_option("--steps", steps, "Steps of each history");
  CLI11_PARSE(app, argc, argv);
  uint64_t failed = 0;
  for (uint64_t seed = first; seed < first + count; ++seed) {
    const auto result = sassafras::RunHistory(seed, steps);
    if (result.violations.empty())
      continue;
    ++failed;
    std::printf(
        "seed %lu: %s\n  again: soak --first %lu --count 1 --steps %d\n", seed,
        result.violations.front().c_str(), seed, steps);
    const auto skipped_steps = sassafras::ShrinkHistory(seed, steps);
    const auto shrunk = sassafras::RunHistory(seed, steps, skipped_steps);
    for (const std::string& it : shrunk.steps)
      std::printf("  %s\n", it.c_str());
    std::fflush(stdout);
  }
  std::printf("%lu histories, %lu failed\n", count, failed);
  return failed == 0 ? 0 : 1;
}
