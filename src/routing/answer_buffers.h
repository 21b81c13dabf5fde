// Bounds the memory for answers that callers have not taken yet.
//
// Handles endpoints that send faster than callers read, or without end: the
// host stops reading such an answer until the caller has taken some of it.
#ifndef ROUTING_ANSWER_BUFFERS_H_
#define ROUTING_ANSWER_BUFFERS_H_

#include <cstddef>
#include <cstdint>

namespace sassafras {

// Unsent bytes of one answer above which its endpoint is not read from, so that
// `open_requests` answers together stay within a part of the host's memory.
// Between 16 KB and 256 KB.
size_t MaxUnsentAnswerBytes(uint64_t memory_bytes, size_t open_requests);

}  // namespace sassafras

#endif  // ROUTING_ANSWER_BUFFERS_H_
