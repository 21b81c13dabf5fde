#include "routing/request_buffers.h"

#include <algorithm>
#include <numeric>

namespace sassafras {

namespace {

// One in this many parts of the host's memory is for requests.
constexpr uint64_t kMemoryParts = 5;
// The same for what the kernel has received and the host has not read.
constexpr uint64_t kReceiveBufferParts = 4;
constexpr uint64_t kMinReceiveBufferBytes = 32 << 10;
// What the kernel gives a new connection without a bound.
constexpr uint64_t kMaxReceiveBufferBytes = 64 << 10;
// Not every new connection changes the size.
constexpr uint64_t kReceiveBufferStep = 8 << 10;
// One in this many parts of the host's sockets is not for callers.
constexpr uint64_t kReservedSocketParts = 5;
// One in this many parts of the host's memory, released, is worth the time to
// return it.
constexpr uint64_t kTrimParts = 16;

bool WaitsForCaller(const CallerHold& hold) {
  return hold.stage == CallerStage::kReceiving ||
         hold.stage == CallerStage::kIdle;
}

std::vector<size_t> Indices(size_t n) {
  std::vector<size_t> out(n);
  std::iota(out.begin(), out.end(), size_t{0});
  return out;
}

}  // namespace

size_t MaxRequestBytes(uint64_t memory_bytes) {
  return static_cast<size_t>(memory_bytes / kMemoryParts);
}

size_t ReceiveBufferBytes(uint64_t memory_bytes, size_t connections) {
  const uint64_t share =
      memory_bytes / kReceiveBufferParts / std::max<size_t>(connections, 1);
  return static_cast<size_t>(
      std::clamp(share / kReceiveBufferStep * kReceiveBufferStep,
                 kMinReceiveBufferBytes, kMaxReceiveBufferBytes));
}

bool ShouldTrim(const RequestBuffers& buffers, uint64_t memory_bytes) {
  return buffers.peak - buffers.bytes > memory_bytes / kTrimParts;
}

size_t MaxCallerConnections(uint64_t max_sockets) {
  return static_cast<size_t>(
      std::max<uint64_t>(max_sockets - max_sockets / kReservedSocketParts, 1));
}

std::vector<size_t> ChooseForBytes(const std::vector<CallerHold>& holds,
                                   size_t excess) {
  std::vector<size_t> order = Indices(holds.size());
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    const CallerHold& x = holds[a];
    const CallerHold& y = holds[b];
    if (WaitsForCaller(x) != WaitsForCaller(y))
      return WaitsForCaller(x);
    return WaitsForCaller(x) ? x.last_progress < y.last_progress
                             : x.last_progress > y.last_progress;
  });
  std::vector<size_t> out;
  size_t released = 0;
  for (const size_t i : order) {
    if (released >= excess)
      break;
    if (holds[i].bytes == 0 || holds[i].stage == CallerStage::kClosing)
      continue;
    out.push_back(i);
    released += holds[i].bytes;
  }
  return out;
}

std::vector<size_t> ChooseForConnections(const std::vector<CallerHold>& holds,
                                         size_t n) {
  std::vector<size_t> order = Indices(holds.size());
  order.erase(std::remove_if(order.begin(), order.end(),
                             [&](size_t i) {
                               return holds[i].stage == CallerStage::kWaiting;
                             }),
              order.end());
  std::stable_sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    const bool a_closes = holds[a].stage == CallerStage::kClosing;
    const bool b_closes = holds[b].stage == CallerStage::kClosing;
    if (a_closes != b_closes)
      return a_closes;
    return holds[a].last_progress < holds[b].last_progress;
  });
  order.resize(std::min(order.size(), n));
  return order;
}

}  // namespace sassafras
