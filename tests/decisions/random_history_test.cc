// Runs random histories with 60 fixed seeds. `make soak` runs many more.

#include "decisions/random_history.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

constexpr int kSteps = 40;

class RandomHistoryTest : public ::testing::TestWithParam<uint64_t> {};

TEST_P(RandomHistoryTest, InvariantsHold) {
  const HistoryResult result = RunHistory(GetParam(), kSteps);
  for (const std::string& it : result.violations) {
    ADD_FAILURE() << it << "\nrun again: soak --first " << GetParam()
                  << " --count 1";
  }
  EXPECT_GT(result.answered, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds,
                         RandomHistoryTest,
                         ::testing::Range<uint64_t>(1, 61));

}  // namespace
}  // namespace sassafras
