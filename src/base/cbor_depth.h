// Check of CBOR messages from the network before they are decoded.
//
// Handles messages with deeply nested items: the decoder recurses once for each
// level and would overflow the stack.
#ifndef BASE_CBOR_DEPTH_H_
#define BASE_CBOR_DEPTH_H_

#include <cstddef>
#include <string_view>

namespace sassafras {

// More than any message of ours needs.
inline constexpr size_t kMaxCborDepth = 32;

// Whether `bytes` begin with one well-formed CBOR item whose arrays, maps, tags
// and chunked strings are nested at most `max_depth` deep. Uses no recursion.
bool IsCborWithinDepth(std::string_view bytes, size_t max_depth);

}  // namespace sassafras

#endif  // BASE_CBOR_DEPTH_H_
