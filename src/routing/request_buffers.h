// Bounds the memory and the connections that callers hold with requests that
// the host has not passed on yet.
//
// Handles callers that send bodies and stop short of their end, and crowds of
// callers whose requests together exceed the host's memory or descriptors. When
// a bound is met, the callers that have made no progress for longest give way,
// so that those whose requests go on are served.
#ifndef ROUTING_REQUEST_BUFFERS_H_
#define ROUTING_REQUEST_BUFFERS_H_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "base/names_table.h"
#include "base/time.h"

namespace sassafras {

// What the requests on all callers' connections hold.
struct RequestBuffers {
  size_t bytes = 0;
  size_t peak = 0;  // Since freed memory was last returned to the system.
};

// The part of RequestBuffers that one object holds, until it is destroyed.
class BufferedBytes {
 public:
  explicit BufferedBytes(RequestBuffers& buffers) : buffers_(buffers) {}
  ~BufferedBytes() { Set(0); }
  BufferedBytes(const BufferedBytes&) = delete;
  BufferedBytes& operator=(const BufferedBytes&) = delete;

  void Set(size_t bytes) {
    buffers_.bytes = buffers_.bytes - bytes_ + bytes;
    bytes_ = bytes;
    buffers_.peak = std::max(buffers_.peak, buffers_.bytes);
  }
  size_t bytes() const { return bytes_; }

 private:
  RequestBuffers& buffers_;
  size_t bytes_ = 0;
};

// What a caller's connection is doing.
enum class CallerStage {
  kClosing,    // All answers are written; waits for the caller's close.
  kIdle,       // No request is open.
  kReceiving,  // Waits for the rest of a request from the caller.
  kWaiting,    // Waits for answers, or for an endpoint to take the body.
};

template <>
struct NamesTable<CallerStage> {
  static constexpr EnumName<CallerStage> kNames[] = {
      {CallerStage::kClosing, "closing"},
      {CallerStage::kIdle, "idle"},
      {CallerStage::kReceiving, "receiving"},
      {CallerStage::kWaiting, "waiting"},
  };
};

struct CallerHold {
  CallerStage stage = CallerStage::kIdle;
  size_t bytes = 0;
  // When the caller last sent a considerable part of a request, or a request on
  // the connection was answered.
  Time last_progress;
};

// Bytes of a body that count as progress. Fewer, sent now and then, would keep
// a body open without end.
inline constexpr size_t kProgressBytes = 1024;
// Counted for each request in addition to its body.
inline constexpr size_t kRequestOverheadBytes = 4 << 10;

// Bound on RequestBuffers::bytes.
size_t MaxRequestBytes(uint64_t memory_bytes);

// Whether so much was released that freed memory should be returned to the
// system.
bool ShouldTrim(const RequestBuffers& buffers, uint64_t memory_bytes);

// Size of the kernel's receive buffer for one of `connections` callers, so that
// all together hold a part of the host's memory. Between 32 KB and 64 KB.
size_t ReceiveBufferBytes(uint64_t memory_bytes, size_t connections);

// Connections that callers may have open. Leaves some of the host's sockets for
// endpoints, other hosts and the store.
size_t MaxCallerConnections(uint64_t max_sockets);

// Returns the callers that give way so that `excess` bytes are released, as
// indices of `holds`. Those that wait for their caller come first, in the order
// of their last progress; then the others, with the latest one first.
std::vector<size_t> ChooseForBytes(const std::vector<CallerHold>& holds,
                                   size_t excess);

// Returns up to `n` callers that give way for new connections: first those that
// are closing, then those that wait for their caller, in the order of their
// last progress. Callers that wait for the host are never chosen.
std::vector<size_t> ChooseForConnections(const std::vector<CallerHold>& holds,
                                         size_t n);

}  // namespace sassafras

#endif  // ROUTING_REQUEST_BUFFERS_H_
