// Client interface of the platform's store: versioned objects with conditional
// updates and watches, as JSON over HTTP. A store with another protocol needs
// only another implementation of Store.
#ifndef STORE_STORE_H_
#define STORE_STORE_H_

#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "base/address.h"
#include "base/loop.h"
#include "decisions/store_calls.h"

namespace sassafras {

class Store {
 public:
  using Done = std::function<void(StoreReply)>;
  virtual ~Store() = default;

  virtual void Get(const StoreGet& get, Done done) = 0;
  // `done` may be called twice: first with what a list shows that must be
  // confirmed, as a partial list, then with the whole list or another partial
  // one.
  virtual void List(const StoreList& list, Done done) = 0;
  // Writes the object only if its revision is the expected one. The reply is
  // kUnknown if the write may have taken effect.
  virtual void PutIf(const StorePut& put, Done done) = 0;

  // Reports the changes of a kind after `from`, until the returned Watch is
  // destroyed. Reports the complete list first if `from` is unknown or of an
  // earlier era, or the store has no changes that old; it may do so in other
  // cases too, as after an interruption. Also reports, at once and at least
  // every few seconds, that nothing has changed. All that is reported is
  // current.
  virtual std::unique_ptr<Watch> Follow(
      const std::string& kind,
      const StorePosition& from,
      std::function<void(StoreChange)> on_change) = 0;

  // `fn` is called when the store becomes reachable or unreachable for this
  // process.
  void set_on_reachable(std::function<void(bool)> fn) {
    on_reachable_ = std::move(fn);
  }

  // `fn` returns the names of the objects of a kind that this process has
  // cached. If reading a list had to skip names, the cached objects that it
  // lacks are read one by one, to tell whether the list is whole.
  void set_known_names(
      std::function<std::set<std::string>(const std::string& kind)> fn) {
    known_names_ = std::move(fn);
  }

  // `fn` returns names that objects of a kind may have, whether or not they are
  // cached. These objects are read one by one if the list of the kind cannot be
  // read to its end.
  void set_expected_names(
      std::function<std::set<std::string>(const std::string& kind)> fn) {
    expected_names_ = std::move(fn);
  }

  bool is_reachable() const { return is_reachable_; }

 protected:
  // Records whether the last call was answered; calls the subscriber if this
  // changed.
  void SetReachable(bool reachable) {
    if (reachable == is_reachable_)
      return;
    is_reachable_ = reachable;
    if (on_reachable_)
      on_reachable_(reachable);
  }

  std::set<std::string> KnownNames(const std::string& kind) const {
    return known_names_ ? known_names_(kind) : std::set<std::string>();
  }
  std::set<std::string> ExpectedNames(const std::string& kind) const {
    return expected_names_ ? expected_names_(kind) : std::set<std::string>();
  }

 private:
  bool is_reachable_ = true;
  std::function<void(bool)> on_reachable_;
  std::function<std::set<std::string>(const std::string&)> known_names_;
  std::function<std::set<std::string>(const std::string&)> expected_names_;
};

// Creates a client of the store at `address`. `timeout` applies to each call
// without a timeout of its own.
std::unique_ptr<Store> ConnectStore(Loop& loop,
                                    const Address& address,
                                    std::chrono::milliseconds timeout);

}  // namespace sassafras

#endif  // STORE_STORE_H_
