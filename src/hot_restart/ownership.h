// Who takes new jobs while one dispatcher is two processes: the states of both sides, without
// sockets. The caller feeds what it sees and carries out what comes back.
//
// The old one takes connections until it has said Yours, the new one from when it has heard that,
// or from when nobody listens at the local path any more. So both never do, and where one is dead
// the other does.
#pragma once

#include <cstdint>
#include <string>

namespace dispatcher::hot_restart {

constexpr std::uint32_t kVersion = 1;

struct Who {  // which dispatcher a process is
  std::string name;
  std::string listen;
  bool operator==(const Who&) const = default;
};

// The old process's side. One newcomer at a time.
class OutgoingProcess {
 public:
  enum class State { Alone, Courted, Yielded };
  enum class Do { Nothing, Welcome, Refuse, Yield, TakeBack, HangUp };

  explicit OutgoingProcess(Who self) : self_(std::move(self)) {}
  State state() const { return state_; }

  bool free() const { return state_ == State::Alone; }  // else another newcomer is hung up on
  Do hello(std::uint32_t version, const Who& who);      // Welcome, or Refuse and hang up
  Do ready();     // Yield: stop taking connections, then say Yours
  Do nonsense();  // a message that cannot be read, or out of turn
  Do ended();     // the link: TakeBack where connections had been given up, as the newcomer is dead

 private:
  Who self_;
  State state_ = State::Alone;
};

// The new process's side.
class IncomingProcess {
 public:
  enum class State {
    Asking,    // Hello is said, or nobody could be asked yet
    Expected,  // Ready is said
    Serving    // takes connections
  };
  enum class Do { Nothing, SayReady, Serve, ServeAlone, AskAgain, HangUp };

  State state() const { return state_; }
  Do welcome();
  Do refused();   // another version or another dispatcher: ServeAlone, with a listener of its own
  Do yours();     // Serve
  Do nonsense();  // Nothing once it serves: nobody else does; else HangUp, and AskAgain follows
  Do ended();     // the link, before Yours: AskAgain, as the old one may live; after it: Nothing
  Do nobody();    // the path leads nowhere: the old one is dead. ServeAlone

 private:
  State state_ = State::Asking;
};

}  // namespace dispatcher::hot_restart
