#include "hot_restart/ownership.h"

namespace dispatcher::hot_restart {

Elder::Do Elder::hello(std::uint32_t version, const Who& who) {
  if (state_ != State::Alone)
    return nonsense();
  if (version != kVersion || who != self_)
    return Do::Refuse;
  state_ = State::Courted;
  return Do::Welcome;
}

Elder::Do Elder::ready() {
  if (state_ != State::Courted)
    return nonsense();
  state_ = State::Yielded;
  return Do::Yield;
}

// Once it has yielded the other one serves, and hanging up would make two that do: what cannot be
// read is left alone then, and only the end of the link says that the other one is dead.
Elder::Do Elder::nonsense() {
  if (state_ == State::Yielded)
    return Do::Nothing;
  state_ = State::Alone;
  return Do::HangUp;
}

Elder::Do Elder::ended() {
  State was = state_;
  state_ = State::Alone;
  return was == State::Yielded ? Do::TakeBack : Do::Nothing;
}

Heir::Do Heir::welcome() {
  if (state_ != State::Asking)
    return nonsense();
  state_ = State::Expected;
  return Do::SayReady;
}

Heir::Do Heir::refused() {
  if (state_ == State::Serving)
    return Do::Nothing;
  state_ = State::Serving;
  return Do::ServeAlone;
}

Heir::Do Heir::yours() {
  if (state_ != State::Expected)
    return nonsense();
  state_ = State::Serving;
  return Do::Serve;
}

Heir::Do Heir::nonsense() {
  return state_ == State::Serving ? Do::Nothing : Do::HangUp;
}

Heir::Do Heir::ended() {
  if (state_ == State::Serving)
    return Do::Nothing;
  state_ = State::Asking;
  return Do::AskAgain;
}

Heir::Do Heir::nobody() {
  if (state_ == State::Serving)
    return Do::Nothing;
  state_ = State::Serving;
  return Do::ServeAlone;
}

}  // namespace dispatcher::hot_restart
