// HTTP/1.1 messages without sockets: incremental readers and writers of heads,
// bodies and chunks. Bytes go in and out as text; Boost.Beast's parser does
// the reading.
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

// Start line and fields of a request or an answer.
struct HttpHead {
  std::string method;  // Empty for an answer.
  std::string target;  // Path with query; empty for an answer.
  int status = 0;      // Zero for a request.
  std::string reason;
  HttpFields fields;
  // Whether the connection may carry another message after this one.
  bool keep_alive = true;
  bool chunked = false;
  std::optional<uint64_t> content_length;
};

// Value of the first field called `name`, without regard to case; null if
// there is none.
const std::string* FindField(const HttpFields& fields, std::string_view name);

bool EqualsIgnoringCase(std::string_view a, std::string_view b);

// Whether a field concerns only one connection, or frames the message on it,
// and is therefore not forwarded.
bool IsConnectionField(std::string_view name);

enum class HttpReadState {
  kHead,      // The head is not yet complete.
  kBody,      // The head is known; the body is not yet complete.
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
  // Of a head, and of a chunk's size line or the trailers.
  uint64_t head_bytes = 16 << 10;
  uint64_t body_bytes = 64 << 20;
};

// Reads one message. Bytes behind its end are left to the next reader.
class HttpReader {
 public:
  virtual ~HttpReader() = default;

  // Takes bytes from the front of `input` and returns how many; the caller
  // offers the others again, together with more.
  virtual size_t Read(std::string_view input) = 0;
  // The peer has closed its side. An answer without a length is complete now,
  // any other unfinished message is malformed.
  virtual void ReadEnd() = 0;

  virtual HttpReadState state() const = 0;
  // Valid from state kBody on.
  virtual const HttpHead& head() const = 0;
  // Whether anything of the message has been seen.
  virtual bool has_started() const = 0;
  // Body bytes read since the last call.
  virtual std::string TakeBody() = 0;
};

std::unique_ptr<HttpReader> NewRequestReader(const HttpReadLimits& limits);
// `to_head_request`: the answer has no body whatever its fields say.
std::unique_ptr<HttpReader> NewAnswerReader(const HttpReadLimits& limits,
                                            bool to_head_request);

// Text of a request's or an answer's head with the empty line; adds no fields.
std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const HttpFields& fields);
std::string FormatAnswerHead(int status, const HttpFields& fields);

// One chunk of a chunked body, and the end of such a body.
std::string FormatChunk(std::string_view data);
inline constexpr std::string_view kLastChunk = "0\r\n\r\n";

}  // namespace sassafras

#endif  // HTTP1_HTTP1_H_
