// Which of two processes of one dispatcher accepts new connections during a hot restart: the state
// machines of both sides, without sockets. The caller reports events and carries out the action
// that comes back.
//
// The outgoing process accepts until it has sent OwnershipTransfer. The incoming process accepts
// from when it receives that, or from when nobody listens at the local path any more. So both never
// accept at once, and if one dies the other accepts.
#pragma once

#include <cstdint>
#include <string>
#include <utility>

namespace dispatcher::hot_restart {

constexpr std::uint32_t kProtocolVersion = 1;

// Identifies the dispatcher that a process belongs to.
struct DispatcherIdentity {
  std::string name;
  std::string listen;  // address for clients
  bool operator==(const DispatcherIdentity&) const = default;
};

// State of the outgoing process. It deals with one incoming process at a time.
class OutgoingOwnership {
 public:
  enum class State {
    Alone,       // no incoming process
    Introduced,  // Welcome is sent
    Transferred  // OwnershipTransfer is sent
  };
  enum class Action { None, SendWelcome, SendRejection, TransferOwnership, Reclaim, CloseLink };

  explicit OutgoingOwnership(DispatcherIdentity self) : self_(std::move(self)) {}
  State state() const { return state_; }

  // False: a further incoming process must be disconnected; it asks again later.
  bool can_accept_link() const { return state_ == State::Alone; }
  // Returns SendWelcome, or SendRejection for another version or dispatcher.
  Action on_hello(std::uint32_t version, const DispatcherIdentity& other);
  // Returns TransferOwnership: stop accepting connections, then send OwnershipTransfer.
  Action on_ready();
  // A message that is unreadable or out of turn.
  Action on_invalid_message();
  // The link has ended. Returns Reclaim if ownership was transferred: the other process is dead.
  Action on_link_ended();

 private:
  DispatcherIdentity self_;
  State state_ = State::Alone;
};

// State of the incoming process.
class IncomingOwnership {
 public:
  enum class State {
    Asking,         // Hello is sent, or could not be sent yet
    AwaitTransfer,  // Welcome is here; Ready is sent, or will be once this process can serve
    Serving         // accepts connections
  };
  enum class Action { None, SendReady, Serve, ServeAlone, AskAgain, CloseLink };

  State state() const { return state_; }
  Action on_welcome();
  // The other process has another version or is another dispatcher. Returns ServeAlone: serve with
  // a listening socket of its own.
  Action on_rejection();
  // Returns Serve.
  Action on_ownership_transfer();
  // A message that is unreadable or out of turn. While serving: None, as nobody else serves.
  // Otherwise CloseLink, after which the caller reports on_link_ended().
  Action on_invalid_message();
  // Before the transfer AskAgain, as the other process may still live; after it None.
  Action on_link_ended();
  // Nobody listens at the local path: the outgoing process is dead. Returns ServeAlone.
  Action on_no_listener();

 private:
  State state_ = State::Asking;
};

}  // namespace dispatcher::hot_restart
