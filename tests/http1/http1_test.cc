// Tests of HTTP/1.1 message parsing and formatting.

#include "http1/http1.h"

#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

namespace sassafras {
namespace {

constexpr HttpReadLimits kLimits{1024, 4096};

// Feeds `text` in pieces of `step` bytes, as a connection would. Returns the
// number of bytes that the reader consumed.
size_t Feed(HttpReader& reader, const std::string& text, size_t step) {
  std::string input;
  size_t consumed = 0;
  for (size_t at = 0; at < text.size(); at += step) {
    input += text.substr(at, step);
    const size_t n = reader.Read(input);
    input.erase(0, n);
    consumed += n;
  }
  return consumed;
}

struct RequestCase {
  const char* name;
  std::string text;
  HttpReadState state;
  std::string body;
};

TEST(HttpReaderTest, ReadsRequestsInPiecesOfAnySize) {
  const std::vector<RequestCase> cases = {
      {"no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
       HttpReadState::kComplete, ""},
      {"content length",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
       HttpReadState::kComplete, "hello"},
      {"chunks",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\n"
       "de\r\n0\r\n\r\n",
       HttpReadState::kComplete, "abcde"},
      {"incomplete body", "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nhello",
       HttpReadState::kBody, "hello"},
      {"incomplete head", "GET /a HTTP/1.1\r\nHost: h\r\n",
       HttpReadState::kHead, ""},
      {"not HTTP", "\x16\x03\x01 hello there\r\n\r\n",
       HttpReadState::kMalformed, ""},
      {"content length and chunked, which servers interpret differently",
       "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       HttpReadState::kMalformed, ""},
      {"two content lengths",
       "POST /a HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: "
       "5\r\n\r\nhello",
       HttpReadState::kMalformed, ""},
      {"head over the limit", "GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x'),
       HttpReadState::kHeadTooLarge, ""},
      {"body over the limit",
       "POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
       HttpReadState::kBodyTooLarge, ""},
  };
  for (const RequestCase& it : cases) {
    for (const size_t step :
         {size_t{1}, size_t{2}, size_t{7}, it.text.size()}) {
      SCOPED_TRACE(std::string(it.name) + " by " + std::to_string(step));
      const auto reader = NewRequestReader(kLimits);
      Feed(*reader, it.text, step);
      EXPECT_EQ(NameOf(reader->state()), NameOf(it.state));
      if (it.state == HttpReadState::kComplete)
        EXPECT_EQ(reader->TakeBody(), it.body);
    }
  }
}

TEST(HttpReaderTest, DoesNotConsumeBytesAfterMessage) {
  const std::string first = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
  const std::string second = "GET /b HTTP/1.1\r\n\r\n";
  const auto reader = NewRequestReader(kLimits);
  EXPECT_EQ(reader->Read(first + second), first.size());
  EXPECT_EQ(reader->state(), HttpReadState::kComplete);
  EXPECT_EQ(reader->head().target, "/a");
}

TEST(HttpReaderTest, AnswerWithoutLengthEndsWithConnection) {
  const auto reader = NewAnswerReader(kLimits, false);
  Feed(*reader, "HTTP/1.1 200 OK\r\n\r\nabc", 3);
  EXPECT_EQ(reader->state(), HttpReadState::kBody);
  reader->ReadEnd();
  EXPECT_EQ(reader->state(), HttpReadState::kComplete);
  EXPECT_EQ(reader->TakeBody(), "abc");
}

TEST(HttpReaderTest, TruncatedAnswerIsNeverComplete) {
  for (const char* framing :
       {"Content-Length: 9\r\n\r\nabc",
        "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
    SCOPED_TRACE(framing);
    const auto reader = NewAnswerReader(kLimits, false);
    Feed(*reader, std::string("HTTP/1.1 200 OK\r\n") + framing, 4);
    reader->ReadEnd();
    EXPECT_EQ(reader->state(), HttpReadState::kMalformed);
  }
}

// Incident 031.
TEST(HttpReaderTest, StatusThatIsNoneIsMalformed) {
  for (const char* it :
       {"000", "001", "099", "600", "700", "999", "20", "2", "2000", "0200", "",
        "2x0", "-20", "+20", " 200", "2 00", "20\t", "2\x01z"}) {
    SCOPED_TRACE(it);
    const auto reader = NewAnswerReader(kLimits, false);
    Feed(*reader,
         "HTTP/1.1 " + std::string(it) + " OK\r\nContent-Length: 2\r\n\r\nhi",
         5);
    EXPECT_EQ(NameOf(reader->state()), NameOf(HttpReadState::kMalformed));
  }
  for (const char* it : {"100", "199", "200", "599"}) {
    const auto reader = NewAnswerReader(kLimits, false);
    Feed(*reader,
         "HTTP/1.1 " + std::string(it) + " OK\r\nContent-Length: 0\r\n\r\n", 5);
    EXPECT_EQ(NameOf(reader->state()), NameOf(HttpReadState::kComplete)) << it;
  }
}

// Lines that are no fields, or whose control bytes could be read otherwise by
// the next reader.
std::vector<std::string> MalformedFieldLines() {
  using std::string_literals::operator""s;
  std::vector<std::string> lines = {
      ": v",     " : v",       "\t: v",   "X : v",        "X\t: v",
      "X Y: v",  "X\tY: v",    "X",       "X Y",          "X\r: v",
      "X\rY: v", "X: v\rY: w", "X(Y): v", "X\xc3\xa9: v", "\"X\": v"};
  for (const std::string& it : {"\0"s, "\x01"s, "\x07"s, "\x08"s, "\x0b"s,
                                "\x0c"s, "\x1b"s, "\x1f"s, "\x7f"s}) {
    lines.push_back(std::string("X").append(it).append("Y: v"));
    lines.push_back(it + ": v");
    lines.push_back(std::string("X: v").append(it).append("w"));
  }
  return lines;
}

// Incident 031.
TEST(HttpReaderTest, MalformedFieldInAnyPlaceIsMalformed) {
  // The line stands in place of '@'.
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\n@\r\nContent-Length: 0\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n@\r\n\r\n",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "1\r\na\r\n0\r\n@\r\n\r\n",
      "HTTP/1.1 103 Early Hints\r\n@\r\n\r\n"};
  for (const std::string& it : MalformedFieldLines()) {
    for (std::string text : answers) {
      text.replace(text.find('@'), 1, it);
      for (const size_t step : {size_t{1}, text.size()}) {
        SCOPED_TRACE(testing::PrintToString(text) + std::to_string(step));
        const auto reader = NewAnswerReader(kLimits, false);
        Feed(*reader, text, step);
        EXPECT_EQ(NameOf(reader->state()), NameOf(HttpReadState::kMalformed));
      }
    }
  }
}

// Incident 031. The parts are joined, so that no line begins with a blank.
TEST(HttpReaderTest, FoldedFieldBecomesOneLine) {
  const auto reader = NewAnswerReader(kLimits, false);
  Feed(*reader, "HTTP/1.1 204 None\r\nX: a\r\n b\r\n\tc\r\n\r\n", 3);
  ASSERT_EQ(reader->state(), HttpReadState::kComplete);
  EXPECT_EQ(*FindField(reader->head().fields, "X"), "a b c");
}

TEST(HttpReaderTest, AnswerToHeadHasNoBody) {
  const auto reader = NewAnswerReader(kLimits, true);
  Feed(*reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 5);
  EXPECT_EQ(reader->state(), HttpReadState::kComplete);
}

struct EndlessCase {
  const char* name;
  std::string begin;
  std::string more;  // Repeated without end.
};

// Guards against a peer that sends an endless message and makes the reader
// buffer without limit: it must fail well before a megabyte has arrived.
TEST(HttpReaderTest, EndlessInputIsRejected) {
  const std::string chunked =
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  const std::vector<EndlessCase> cases = {
      {"not HTTP", "", "x"},
      {"not HTTP, in lines", "", "hello\r\n"},
      {"empty lines", "", "\r\n"},
      {"status line", "HTTP/1.1 200 ", "x"},
      {"field name", "HTTP/1.1 200 OK\r\n", "x"},
      {"field value", "HTTP/1.1 200 OK\r\nX: ", "x"},
      {"fields", "HTTP/1.1 200 OK\r\n", "X: y\r\n"},
      {"folded field", "HTTP/1.1 200 OK\r\nX: y\r\n", " y\r\n"},
      {"chunk size", chunked, "0"},
      {"chunk extension", chunked + "5;", "x"},
      {"chunk extensions", chunked + "5", ";x=y"},
      {"bytes after a chunk", chunked + "1\r\na", "x"},
      {"trailers", chunked + "0\r\n", "X: y\r\n"},
      {"trailer", chunked + "0\r\nX: ", "y"},
  };
  constexpr size_t kMaxFedBytes = 256 << 10;
  for (const EndlessCase& it : cases) {
    SCOPED_TRACE(it.name);
    std::string more;
    while (more.size() < 16 << 10)
      more += it.more;
    const auto reader = NewAnswerReader({64 << 10, 1 << 20}, false);
    std::string input = it.begin;
    size_t fed = 0;
    bool is_open = true;
    while (is_open && fed < 1 << 20) {
      input.erase(0, reader->Read(input));
      is_open = reader->state() == HttpReadState::kHead ||
                reader->state() == HttpReadState::kBody;
      input += more;
      fed += more.size();
    }
    EXPECT_FALSE(is_open);
    EXPECT_LT(fed, kMaxFedBytes);
  }
}

TEST(HttpWriterTest, WrittenMessageCanBeRead) {
  const auto reader = NewAnswerReader(kLimits, false);
  const std::string text =
      FormatAnswerHead(200, {{"Transfer-Encoding", "chunked"}}) +
      FormatChunk("hello") + FormatChunk(std::string(300, 'x')) +
      std::string(kLastChunk);
  Feed(*reader, text, 11);
  ASSERT_EQ(reader->state(), HttpReadState::kComplete);
  EXPECT_EQ(reader->TakeBody(), "hello" + std::string(300, 'x'));
}

// Random bytes must neither crash the readers nor be read as a message.
TEST(HttpReaderTest, RandomBytesAreNotAMessage) {
  std::mt19937 random(7);
  for (int round = 0; round < 2000; ++round) {
    std::string text(1 + random() % 200, '\0');
    for (char& it : text)
      it = static_cast<char>(random());
    const auto request = NewRequestReader(kLimits);
    Feed(*request, text, 1 + random() % 50);
    EXPECT_NE(request->state(), HttpReadState::kComplete);
    const auto answer = NewAnswerReader(kLimits, false);
    Feed(*answer, text, 1 + random() % 50);
    EXPECT_NE(answer->state(), HttpReadState::kComplete);
  }
}

// A valid request with one byte changed must be read or rejected without a
// crash.
TEST(HttpReaderTest, CorruptedRequestIsReadOrRejected) {
  const std::string text =
      "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n";
  std::mt19937 random(11);
  for (size_t at = 0; at < text.size(); ++at) {
    std::string changed = text;
    changed[at] = static_cast<char>(random());
    const auto reader = NewRequestReader(kLimits);
    Feed(*reader, changed, 1 + random() % 9);
    if (reader->state() == HttpReadState::kComplete)
      EXPECT_LE(reader->TakeBody().size(), text.size());
  }
}

TEST(HttpFieldTest, NamesAreCaseInsensitive) {
  const HttpFields fields = {{"Content-Type", "a"}, {"X-B", "c"}};
  ASSERT_NE(FindField(fields, "content-type"), nullptr);
  EXPECT_EQ(*FindField(fields, "CONTENT-TYPE"), "a");
  EXPECT_EQ(FindField(fields, "X-C"), nullptr);
  EXPECT_TRUE(IsConnectionField("transfer-encoding"));
  EXPECT_FALSE(IsConnectionField("Cookie"));
}

}  // namespace
}  // namespace sassafras
