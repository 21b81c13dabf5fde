#include "routing/answer_buffers.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

TEST(AnswerBuffersTest, LimitSharesAPartOfTheMemoryAmongOpenRequests) {
  struct Case {
    uint64_t memory_bytes;
    size_t open_requests;
    size_t limit;
  };
  const std::vector<Case> cases = {
      {182ULL << 20, 0, 256 << 10},   {182ULL << 20, 1, 256 << 10},
      {112ULL << 20, 112, 64 << 10},  {112ULL << 20, 224, 32 << 10},
      {112ULL << 20, 5000, 16 << 10}, {0, 10, 16 << 10},
  };
  for (const Case& it : cases) {
    EXPECT_EQ(MaxUnsentAnswerBytes(it.memory_bytes, it.open_requests), it.limit)
        << it.memory_bytes << " " << it.open_requests;
  }
}

}  // namespace
}  // namespace sassafras
