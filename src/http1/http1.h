// Incremental HTTP/1.1 message readers, and functions that format heads and
// chunks. They work on byte strings and do no I/O. Boost.Beast does the
// parsing.
//
// Handles peers that send malformed or endless messages: a reader limits what
// it buffers and reports why it gave up.
#ifndef HTTP1_HTTP1_H_
#define HTTP1_HTTP1_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/names_table.h"

namespace sassafras {

struct HttpField {
  std::string name;
  std::string value;
};

using HttpFields = std::vector<HttpField>;

// Start line and header fields of a request or an answer.
struct HttpHead {
  std::string method;  // Empty for an answer.
  std::string target;  // Path with query; empty for an answer.
  int status = 0;      // Zero for a request.
  std::string reason;  // Reason phrase; empty for a request.
  HttpFields fields;
  // Whether the connection may carry another message after this one.
  bool keep_alive = true;
  bool chunked = false;
  std::optional<uint64_t> content_length;
};

// Returns the value of the first field called `name`, ignoring case. Null if
// there is none.
const std::string* FindField(const HttpFields& fields, std::string_view name);

bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Whether a field must not be forwarded, because it applies to one connection
// only (hop-by-hop) or describes the framing of the message on it.
bool IsConnectionField(std::string_view name);

enum class HttpReadState {
  kHead,      // The head is incomplete.
  kBody,      // The head is complete, the body is not.
  kComplete,  // The whole message has been read.
  kMalformed,
  kHeadTooLarge,
  kBodyTooLarge,
};

template <>
struct NamesTable<HttpReadState> {
  static constexpr EnumName<HttpReadState> kNames[] = {
      {HttpReadState::kHead, "head"},
      {HttpReadState::kBody, "body"},
      {HttpReadState::kComplete, "complete"},
      {HttpReadState::kMalformed, "malformed"},
      {HttpReadState::kHeadTooLarge, "head_too_large"},
      {HttpReadState::kBodyTooLarge, "body_too_large"},
  };
};

struct HttpReadLimits {
  // Applies to the head, to each chunk's size line and to the trailers.
  uint64_t head_bytes = 16 << 10;
  uint64_t body_bytes = 64 << 20;
};

// Reads one message and does not consume bytes after its end, which belong to
// the next message.
class HttpReader {
 public:
  virtual ~HttpReader() = default;

  // Consumes bytes from the front of `input` and returns their number. The
  // caller must pass the remaining bytes again, followed by new ones.
  virtual size_t Read(std::string_view input) = 0;
  // To be called when the peer has closed its side of the connection. Completes
  // an answer that has neither a length nor chunks. Any other incomplete
  // message becomes malformed.
  virtual void ReadEnd() = 0;

  virtual HttpReadState state() const = 0;
  // Valid from state kBody on.
  virtual const HttpHead& head() const = 0;
  // Whether any byte of the message has been read.
  virtual bool has_started() const = 0;
  // Returns the body bytes read since the last call.
  virtual std::string TakeBody() = 0;
};

std::unique_ptr<HttpReader> NewRequestReader(const HttpReadLimits& limits);
// `to_head_request`: the answer is to a HEAD request, and so has no body even
// if its fields announce one.
std::unique_ptr<HttpReader> NewAnswerReader(const HttpReadLimits& limits,
                                            bool to_head_request);

// Formats the head of a request or an answer, with the empty line at its end.
// Adds no fields.
std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const HttpFields& fields);
std::string FormatAnswerHead(int status, const HttpFields& fields);

// Formats one chunk of a chunked body. `data` must not be empty, since an empty
// chunk ends the body; use kLastChunk for that.
std::string FormatChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace sassafras

#endif  // HTTP1_HTTP1_H_
