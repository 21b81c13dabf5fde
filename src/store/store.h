// The platform's store: objects with versions, conditional updates and
// watches, over HTTP with JSON. Another store of this shape needs only
// another implementation of this interface.
#ifndef STORE_STORE_H_
#define STORE_STORE_H_

#include <functional>
#include <memory>
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
  virtual void List(const StoreList& list, Done done) = 0;
  virtual void PutIf(const StorePut& put, Done done) = 0;

  // Lists the kind and then follows its changes until the Watch is destroyed;
  // after an interruption possibly with a whole list again.
  virtual std::unique_ptr<Watch> Follow(
      const std::string& kind,
      std::function<void(StoreChange)> on_change) = 0;

  // Called when the store stops or begins to answer this process.
  void set_on_reachable(std::function<void(bool)> fn) {
    on_reachable_ = std::move(fn);
  }

  bool is_reachable() const { return is_reachable_; }

 protected:
  // Reports whether a call was answered; tells the subscriber of changes.
  void SetReachable(bool reachable) {
    if (reachable == is_reachable_)
      return;
    is_reachable_ = reachable;
    if (on_reachable_)
      on_reachable_(reachable);
  }

 private:
  bool is_reachable_ = true;
  std::function<void(bool)> on_reachable_;
};

// A client of the store at `address`.
std::unique_ptr<Store> ConnectStore(Loop& loop,
                                    const Address& address,
                                    std::chrono::milliseconds timeout);

}  // namespace sassafras

#endif  // STORE_STORE_H_
