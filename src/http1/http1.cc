#include "http1/http1.h"

#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/status.hpp>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdio>
#include <utility>

#include "base/http_status.h"

namespace sassafras {

namespace {

namespace http = boost::beast::http;
using boost::beast::error_code;
using boost::beast::string_view;

constexpr std::array<std::string_view, 8> kConnectionFields = {
    "connection",       "keep-alive", "transfer-encoding", "content-length",
    "proxy-connection", "te",         "trailer",           "upgrade"};

std::string ToStdString(string_view text) {
  return {text.data(), text.size()};
}

template <bool is_request>
class BeastReader : public HttpReader, private http::basic_parser<is_request> {
  using Parser = http::basic_parser<is_request>;

 public:
  BeastReader(const HttpReadLimits& limits, bool no_body) {
    max_head_bytes_ = limits.head_bytes;
    Parser::header_limit(static_cast<uint32_t>(limits.head_bytes));
    Parser::body_limit(limits.body_bytes);
    Parser::eager(true);
    if constexpr (!is_request)
      Parser::skip(no_body);
  }

  size_t Read(std::string_view input) override {
    size_t consumed = 0;
    while (consumed < input.size() && !Parser::is_done() && !IsFinished()) {
      error_code ec;
      const size_t n =
          Parser::put(boost::asio::const_buffer(input.data() + consumed,
                                                input.size() - consumed),
                      ec);
      consumed += n;
      if (ec == http::error::need_more)
        break;
      if (ec)
        SetError(ec);
      if (n == 0)
        break;
    }
    UpdateState();
    // The parser consumes a chunk's size line and the trailers only when they
    // are complete, and does not limit their size.
    if (state_ == HttpReadState::kBody &&
        input.size() - consumed > max_head_bytes_)
      state_ = HttpReadState::kHeadTooLarge;
    return consumed;
  }

  void ReadEnd() override {
    if (Parser::is_done() || IsFinished())
      return;
    if (!Parser::is_header_done()) {
      state_ = HttpReadState::kMalformed;
      return;
    }
    error_code ec;
    Parser::put_eof(ec);
    if (ec)
      SetError(ec);
    UpdateState();
  }

  HttpReadState state() const override { return state_; }
  const HttpHead& head() const override { return head_; }
  bool has_started() const override { return Parser::got_some(); }
  std::string TakeBody() override { return std::exchange(body_, {}); }

 private:
  // Whether reading has ended, with a complete message or an error.
  bool IsFinished() const {
    return state_ != HttpReadState::kHead && state_ != HttpReadState::kBody;
  }

  void SetError(const error_code& ec) {
    if (ec == http::error::header_limit)
      state_ = HttpReadState::kHeadTooLarge;
    else if (ec == http::error::body_limit)
      state_ = HttpReadState::kBodyTooLarge;
    else
      state_ = HttpReadState::kMalformed;
  }

  void UpdateState() {
    if (IsFinished())
      return;
    if (Parser::is_done())
      state_ = HttpReadState::kComplete;
    else if (Parser::is_header_done())
      state_ = HttpReadState::kBody;
  }

  void on_request_impl(http::verb,
                       string_view method,
                       string_view target,
                       int,
                       error_code&) override {
    head_.method = ToStdString(method);
    head_.target = ToStdString(target);
  }

  void on_response_impl(int status,
                        string_view reason,
                        int,
                        error_code& ec) override {
    if (!IsHttpStatus(status))
      ec = http::error::bad_status;
    head_.status = status;
    head_.reason = ToStdString(reason);
  }

  void on_field_impl(http::field,
                     string_view name,
                     string_view value,
                     error_code&) override {
    head_.fields.push_back({ToStdString(name), ToStdString(value)});
  }

  void on_header_impl(error_code&) override {
    head_.keep_alive = Parser::keep_alive();
    head_.chunked = Parser::chunked();
    if (const auto n = Parser::content_length())
      head_.content_length = *n;
  }

  void on_body_init_impl(const boost::optional<uint64_t>&,
                         error_code&) override {}

  size_t on_body_impl(string_view body, error_code&) override {
    body_.append(body.data(), body.size());
    return body.size();
  }

  void on_chunk_header_impl(uint64_t, string_view, error_code&) override {}

  size_t on_chunk_body_impl(uint64_t, string_view body, error_code&) override {
    body_.append(body.data(), body.size());
    return body.size();
  }

  void on_finish_impl(error_code&) override {}

  uint64_t max_head_bytes_ = 0;
  HttpReadState state_ = HttpReadState::kHead;
  HttpHead head_;
  std::string body_;
};

void AppendFields(std::string& out, const HttpFields& fields) {
  for (const HttpField& it : fields) {
    out += it.name;
    out += ": ";
    out += it.value;
    out += "\r\n";
  }
  out += "\r\n";
}

}  // namespace

bool EqualsIgnoringCase(std::string_view a, std::string_view b) {
  return a.size() == b.size() &&
         std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
           return std::tolower(static_cast<unsigned char>(x)) ==
                  std::tolower(static_cast<unsigned char>(y));
         });
}

const std::string* FindField(const HttpFields& fields, std::string_view name) {
  for (const HttpField& it : fields) {
    if (EqualsIgnoringCase(it.name, name))
      return &it.value;
  }
  return nullptr;
}

bool IsConnectionField(std::string_view name) {
  return std::any_of(
      kConnectionFields.begin(), kConnectionFields.end(),
      [&](std::string_view it) { return EqualsIgnoringCase(it, name); });
}

std::unique_ptr<HttpReader> NewRequestReader(const HttpReadLimits& limits) {
  return std::make_unique<BeastReader<true>>(limits, false);
}

std::unique_ptr<HttpReader> NewAnswerReader(const HttpReadLimits& limits,
                                            bool to_head_request) {
  return std::make_unique<BeastReader<false>>(limits, to_head_request);
}

std::string FormatRequestHead(std::string_view method,
                              std::string_view target,
                              const HttpFields& fields) {
  std::string out(method);
  out += ' ';
  out += target;
  out += " HTTP/1.1\r\n";
  AppendFields(out, fields);
  return out;
}

std::string FormatAnswerHead(int status, const HttpFields& fields) {
  std::string out = "HTTP/1.1 " + std::to_string(status) + ' ';
  const string_view reason =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  out.append(reason.data(), reason.size());
  out += "\r\n";
  AppendFields(out, fields);
  return out;
}

std::string FormatChunk(std::string_view data) {
  std::array<char, 20> size{};
  const int n = std::snprintf(size.data(), size.size(), "%zx\r\n", data.size());
  std::string out(size.data(), static_cast<size_t>(n));
  out += data;
  out += "\r\n";
  return out;
}

}  // namespace sassafras
