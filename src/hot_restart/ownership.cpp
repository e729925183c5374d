#include "hot_restart/ownership.h"

namespace dispatcher::hot_restart {

OutgoingProcess::Do OutgoingProcess::hello(std::uint32_t version, const Who& who) {
  if (state_ != State::Alone)
    return nonsense();
  if (version != kVersion || who != self_)
    return Do::Refuse;
  state_ = State::Courted;
  return Do::Welcome;
}

OutgoingProcess::Do OutgoingProcess::ready() {
  if (state_ != State::Courted)
    return nonsense();
  state_ = State::Yielded;
  return Do::Yield;
}

// Once it has yielded the other one serves, and hanging up would make two that do: what cannot be
// read is left alone then, and only the end of the link says that the other one is dead.
OutgoingProcess::Do OutgoingProcess::nonsense() {
  if (state_ == State::Yielded)
    return Do::Nothing;
  state_ = State::Alone;
  return Do::HangUp;
}

OutgoingProcess::Do OutgoingProcess::ended() {
  State was = state_;
  state_ = State::Alone;
  return was == State::Yielded ? Do::TakeBack : Do::Nothing;
}

IncomingProcess::Do IncomingProcess::welcome() {
  if (state_ != State::Asking)
    return nonsense();
  state_ = State::Expected;
  return Do::SayReady;
}

IncomingProcess::Do IncomingProcess::refused() {
  if (state_ == State::Serving)
    return Do::Nothing;
  state_ = State::Serving;
  return Do::ServeAlone;
}

IncomingProcess::Do IncomingProcess::yours() {
  if (state_ != State::Expected)
    return nonsense();
  state_ = State::Serving;
  return Do::Serve;
}

IncomingProcess::Do IncomingProcess::nonsense() {
  return state_ == State::Serving ? Do::Nothing : Do::HangUp;
}

IncomingProcess::Do IncomingProcess::ended() {
  if (state_ == State::Serving)
    return Do::Nothing;
  state_ = State::Asking;
  return Do::AskAgain;
}

IncomingProcess::Do IncomingProcess::nobody() {
  if (state_ == State::Serving)
    return Do::Nothing;
  state_ = State::Serving;
  return Do::ServeAlone;
}

}  // namespace dispatcher::hot_restart
