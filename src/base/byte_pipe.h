// A bounded buffer of bytes between two parts of one process, with
// back-pressure both ways.
#ifndef BASE_BYTE_PIPE_H_
#define BASE_BYTE_PIPE_H_

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace sassafras {

class BytePipe {
 public:
  explicit BytePipe(size_t capacity) : capacity_(capacity) {}

  // Appends up to `size` bytes as far as there is space. Returns how many.
  size_t Write(const char* data, size_t size);
  // Appends all bytes, also beyond the capacity.
  void WriteAll(const char* data, size_t size);
  // The writer has written everything.
  void End();
  // Either side gives up; what is in the buffer is dropped.
  void Abort();

  // Takes up to `size` bytes out. Returns how many.
  size_t Read(char* out, size_t size);

  bool is_full() const { return buffer_.size() - read_offset_ >= capacity_; }
  bool is_empty() const { return buffer_.size() == read_offset_; }
  bool is_ended() const { return ended_; }
  bool is_aborted() const { return aborted_; }
  size_t held() const { return buffer_.size() - read_offset_; }

  // Called after bytes came, the end came or the pipe was aborted.
  void set_on_data(std::function<void()> fn) { on_data_ = std::move(fn); }
  // Called after a full buffer has space again.
  void set_on_space(std::function<void()> fn) { on_space_ = std::move(fn); }

 private:
  void NotifyData();

  size_t capacity_;
  std::string buffer_;
  size_t read_offset_ = 0;  // Bytes of `buffer_` that were read already.
  bool ended_ = false;
  bool aborted_ = false;
  std::function<void()> on_data_;
  std::function<void()> on_space_;
};

}  // namespace sassafras

#endif  // BASE_BYTE_PIPE_H_
