// Random histories: sequences of calls, repetitions and faults in a simulated
// deployment, generated from a seed. The plan's invariants are checked after
// every step.
#ifndef TESTS_DECISIONS_RANDOM_HISTORY_H_
#define TESTS_DECISIONS_RANDOM_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

namespace sassafras {

struct HistoryResult {
  std::vector<std::string> violations;  // Invariants that did not hold.
  std::vector<std::string> steps;       // What was done, in order.
  int answered = 0;
  int refused = 0;
};

// Runs the history of `seed` with `steps` steps, without those whose index is
// in `skipped_steps`, which shrinking uses.
HistoryResult RunHistory(uint64_t seed,
                         int steps,
                         const std::vector<int>& skipped_steps = {});

// Shrinks a failing history: skips every step without which it still fails.
// Returns the indices of the skipped steps.
std::vector<int> ShrinkHistory(uint64_t seed, int steps);

}  // namespace sassafras

#endif  // TESTS_DECISIONS_RANDOM_HISTORY_H_
