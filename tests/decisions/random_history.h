// Random histories: seeded sequences of calls, repetitions and faults over
// the nodes, with the invariants checked after every step.
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

// Runs `steps` steps of the history of `seed`. Steps whose position is in
// `skipped_steps` are skipped, for shrinking.
HistoryResult RunHistory(uint64_t seed,
                         int steps,
                         const std::vector<int>& skipped_steps = {});

// Leaves out steps of a failing history as long as it fails. Returns the
// positions left out.
std::vector<int> ShrinkHistory(uint64_t seed, int steps);

}  // namespace sassafras

#endif  // TESTS_DECISIONS_RANDOM_HISTORY_H_
