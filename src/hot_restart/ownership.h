// Determines which of the two processes of a dispatcher accepts new connections during a hot
// restart: the state machines of both sides, without sockets. The caller reports events and carries
// out the returned action.
//
// The outgoing process accepts connections until it sends OwnershipTransfer. The incoming process
// accepts them once it receives that message, or once no process listens at the local path any
// more. So the two never accept at the same time, and if one dies, the other accepts. A process
// that is rejected serves with a listening socket of its own.
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

// State machine of the outgoing process, which serves one incoming process at a time.
class OutgoingOwnership {
 public:
  enum class State {
    NoSuccessor,    // no incoming process
    AwaitingReady,  // Welcome has been sent
    Transferred     // OwnershipTransfer has been sent
  };
  enum class Action { None, SendWelcome, SendRejection, TransferOwnership, Reclaim, CloseLink };

  explicit OutgoingOwnership(DispatcherIdentity self) : self_(std::move(self)) {}
  State state() const { return state_; }

  // If false, a further incoming process must be disconnected; it reconnects later.
  bool can_accept_link() const { return state_ == State::NoSuccessor; }
  // Returns SendWelcome, or SendRejection if `version` or `other` differs from those of this
  // process.
  Action on_hello(std::uint32_t version, const DispatcherIdentity& other);
  // Returns TransferOwnership: the caller stops accepting connections, then sends
  // OwnershipTransfer.
  Action on_ready();
  // For a message that is unreadable or not expected in this state.
  Action on_invalid_message();
  // Returns Reclaim if ownership was transferred, since the incoming process is dead then.
  Action on_link_ended();

 private:
  DispatcherIdentity self_;
  State state_ = State::NoSuccessor;
};

// State machine of the incoming process.
class IncomingOwnership {
 public:
  enum class State {
    AwaitingWelcome,   // Hello has been sent, or could not be sent yet
    AwaitingTransfer,  // Welcome was received; Ready is sent once this process can serve
    Serving            // accepts connections
  };
  enum class Action { None, SendReady, Serve, ServeAlone, Reconnect, CloseLink };

  State state() const { return state_; }
  Action on_welcome();
  // The outgoing process has another version or belongs to another dispatcher. Returns ServeAlone:
  // this process serves with a listening socket of its own.
  Action on_rejection();
  // Returns Serve.
  Action on_ownership_transfer();
  // For a message that is unreadable or not expected in this state. Returns None while serving,
  // since no other process serves then, and otherwise CloseLink, after which the caller calls
  // on_link_ended().
  Action on_invalid_message();
  // Returns Reconnect before the transfer, since the outgoing process may still be running, and
  // None after it.
  Action on_link_ended();
  // No process listens at the local path, so the outgoing one is dead. Returns ServeAlone.
  Action on_no_listener();

 private:
  State state_ = State::AwaitingWelcome;
};

}  // namespace dispatcher::hot_restart
