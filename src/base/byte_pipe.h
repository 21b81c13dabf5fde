// A bounded byte buffer between a writer and a reader of one process. A full
// buffer stops the writer until the reader has made space.
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

  // Appends as many of the `size` bytes as there is space for. Returns the
  // number of accepted bytes: all of them after Abort(), which discards them.
  size_t Write(const char* data, size_t size);
  // Appends all bytes, even beyond the capacity.
  void WriteAll(const char* data, size_t size);
  // Marks the end of the data.
  void End();
  // Called by the writer or the reader to stop the transfer early. Discards
  // the buffered bytes.
  void Abort();

  // Moves up to `size` bytes into `out`. Returns how many.
  size_t Read(char* out, size_t size);

  bool is_full() const { return buffer_.size() - read_offset_ >= capacity_; }
  bool is_empty() const { return buffer_.size() == read_offset_; }
  bool is_ended() const { return ended_; }
  bool is_aborted() const { return aborted_; }
  // Bytes written and not read yet.
  size_t held() const { return buffer_.size() - read_offset_; }

  // Called after bytes were written, End() or Abort().
  void set_on_data(std::function<void()> fn) { on_data_ = std::move(fn); }
  // Called when a full buffer has space again, and after Abort().
  void set_on_space(std::function<void()> fn) { on_space_ = std::move(fn); }

 private:
  void NotifyData();

  size_t capacity_;
  std::string buffer_;
  size_t read_offset_ = 0;  // Bytes of `buffer_` already read.
  bool ended_ = false;
  bool aborted_ = false;
  std::function<void()> on_data_;
  std::function<void()> on_space_;
};

}  // namespace sassafras

#endif  // BASE_BYTE_PIPE_H_
