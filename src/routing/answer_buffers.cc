#include "routing/answer_buffers.h"

#include <algorithm>

namespace sassafras {

namespace {

// One in this many parts of the host's memory is for unsent answers.
constexpr uint64_t kMemoryParts = 16;
// Less than this costs a system call for each few packets.
constexpr uint64_t kMinUnsentBytes = 16 << 10;
// Covers the bytes in flight on a connection between regions.
constexpr uint64_t kMaxUnsentBytes = 256 << 10;

}  // namespace

size_t MaxUnsentAnswerBytes(uint64_t memory_bytes, size_t open_requests) {
  const uint64_t share =
      memory_bytes / kMemoryParts / std::max<size_t>(open_requests, 1);
  return static_cast<size_t>(
      std::clamp(share, kMinUnsentBytes, kMaxUnsentBytes));
}

}  // namespace sassafras
