// Reading and writing of HTTP/1.1 messages.

#include "http1/http1.h"

#include <gtest/gtest.h>

#include <random>

namespace sassafras {
namespace {

constexpr HttpReadLimits kLimits{1024, 4096};

// Feeds `text` in pieces of `step` bytes as a connection would.
size_t Feed(HttpReader& reader, const std::string& text, size_t step) {
  std::string input;
  size_t taken = 0;
  for (size_t at = 0; at < text.size(); at += step) {
    input += text.substr(at, step);
    const size_t n = reader.Read(input);
    input.erase(0, n);
    taken += n;
  }
  return taken;
}

struct RequestCase {
  const char* name;
  std::string text;
  HttpReadState state;
  std::string body;
};

TEST(HttpReaderTest, RequestsInPiecesOfAnySize) {
  const std::vector<RequestCase> cases = {
      {"no body", "GET /a HTTP/1.1\r\nHost: h\r\n\r\n",
       HttpReadState::kComplete, ""},
      {"length",
       "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
       HttpReadState::kComplete, "hello"},
      {"chunks",
       "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\n"
       "de\r\n0\r\n\r\n",
       HttpReadState::kComplete, "abcde"},
      {"short body", "POST /a HTTP/1.1\r\nContent-Length: 9\r\n\r\nhello",
       HttpReadState::kBody, "hello"},
      {"short head", "GET /a HTTP/1.1\r\nHost: h\r\n", HttpReadState::kHead,
       ""},
      {"not HTTP", "\x16\x03\x01 hello there\r\n\r\n",
       HttpReadState::kMalformed, ""},
      {"length and chunks, which servers read differently",
       "POST /a HTTP/1.1\r\nContent-Length: 4\r\nTransfer-Encoding: "
       "chunked\r\n\r\n0\r\n\r\n",
       HttpReadState::kMalformed, ""},
      {"two lengths",
       "POST /a HTTP/1.1\r\nContent-Length: 4\r\nContent-Length: "
       "5\r\n\r\nhello",
       HttpReadState::kMalformed, ""},
      {"large head", "GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x'),
       HttpReadState::kHeadTooLarge, ""},
      {"large body", "POST /a HTTP/1.1\r\nContent-Length: 5000\r\n\r\n",
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

TEST(HttpReaderTest, BytesBehindAMessageAreLeft) {
  const std::string first = "POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\nhi";
  const std::string second = "GET /b HTTP/1.1\r\n\r\n";
  const auto reader = NewRequestReader(kLimits);
  EXPECT_EQ(reader->Read(first + second), first.size());
  EXPECT_EQ(reader->state(), HttpReadState::kComplete);
  EXPECT_EQ(reader->head().target, "/a");
}

TEST(HttpReaderTest, AnswerWithoutLengthEndsWithItsConnection) {
  const auto reader = NewAnswerReader(kLimits, false);
  Feed(*reader, "HTTP/1.1 200 OK\r\n\r\nabc", 3);
  EXPECT_EQ(reader->state(), HttpReadState::kBody);
  reader->ReadEnd();
  EXPECT_EQ(reader->state(), HttpReadState::kComplete);
  EXPECT_EQ(reader->TakeBody(), "abc");
}

TEST(HttpReaderTest, ShortAnswerIsNeverComplete) {
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

TEST(HttpReaderTest, AnswerToHeadHasNoBody) {
  const auto reader = NewAnswerReader(kLimits, true);
  Feed(*reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", 5);
  EXPECT_EQ(reader->state(), HttpReadState::kComplete);
}

TEST(HttpWriterTest, WhatIsWrittenCanBeRead) {
  const auto reader = NewAnswerReader(kLimits, false);
  const std::string text =
      FormatAnswerHead(200, {{"Transfer-Encoding", "chunked"}}) +
      FormatChunk("hello") + FormatChunk(std::string(300, 'x')) +
      std::string(kLastChunk);
  Feed(*reader, text, 11);
  ASSERT_EQ(reader->state(), HttpReadState::kComplete);
  EXPECT_EQ(reader->TakeBody(), "hello" + std::string(300, 'x'));
}

// Random bytes must neither crash the readers nor look like a message.
TEST(HttpReaderTest, RandomBytesAreNoMessage) {
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

// A valid request with one byte changed is read or refused, never crashes.
TEST(HttpReaderTest, ChangedBytesAreReadOrRefused) {
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

TEST(HttpFieldTest, NamesAreComparedWithoutCase) {
  const HttpFields fields = {{"Content-Type", "a"}, {"X-B", "c"}};
  ASSERT_NE(FindField(fields, "content-type"), nullptr);
  EXPECT_EQ(*FindField(fields, "CONTENT-TYPE"), "a");
  EXPECT_EQ(FindField(fields, "X-C"), nullptr);
  EXPECT_TRUE(IsConnectionField("transfer-encoding"));
  EXPECT_FALSE(IsConnectionField("Cookie"));
}

}  // namespace
}  // namespace sassafras
