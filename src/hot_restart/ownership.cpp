#include "hot_restart/ownership.h"

namespace dispatcher::hot_restart {

OutgoingOwnership::Action OutgoingOwnership::on_hello(std::uint32_t version,
                                                      const DispatcherIdentity& other) {
  if (state_ != State::Alone)
    return on_invalid_message();
  if (version != kProtocolVersion || other != self_)
    return Action::SendRejection;
  state_ = State::Introduced;
  return Action::SendWelcome;
}

OutgoingOwnership::Action OutgoingOwnership::on_ready() {
  if (state_ != State::Introduced)
    return on_invalid_message();
  state_ = State::Transferred;
  return Action::TransferOwnership;
}

// After the transfer the other process serves, and closing the link would make both serve: an
// unreadable message is ignored then, and only the end of the link says that the other is dead.
OutgoingOwnership::Action OutgoingOwnership::on_invalid_message() {
  if (state_ == State::Transferred)
    return Action::None;
  state_ = State::Alone;
  return Action::CloseLink;
}

OutgoingOwnership::Action OutgoingOwnership::on_link_ended() {
  State previous = std::exchange(state_, State::Alone);
  return previous == State::Transferred ? Action::Reclaim : Action::None;
}

IncomingOwnership::Action IncomingOwnership::on_welcome() {
  if (state_ != State::Asking)
    return on_invalid_message();
  state_ = State::AwaitTransfer;
  return Action::SendReady;
}

IncomingOwnership::Action IncomingOwnership::on_rejection() {
  if (state_ == State::Serving)
    return Action::None;
  state_ = State::Serving;
  return Action::ServeAlone;
}

IncomingOwnership::Action IncomingOwnership::on_ownership_transfer() {
  if (state_ != State::AwaitTransfer)
    return on_invalid_message();
  state_ = State::Serving;
  return Action::Serve;
}

IncomingOwnership::Action IncomingOwnership::on_invalid_message() {
  return state_ == State::Serving ? Action::None : Action::CloseLink;
}

IncomingOwnership::Action IncomingOwnership::on_link_ended() {
  if (state_ == State::Serving)
    return Action::None;
  state_ = State::Asking;
  return Action::AskAgain;
}

IncomingOwnership::Action IncomingOwnership::on_no_listener() {
  if (state_ == State::Serving)
    return Action::None;
  state_ = State::Serving;
  return Action::ServeAlone;
}

}  // namespace dispatcher::hot_restart
