#include "hot_restart/ownership.h"

namespace dispatcher::hot_restart {

OutgoingOwnership::Action OutgoingOwnership::on_hello(std::uint32_t version,
                                                      const DispatcherIdentity& other) {
  if (state_ != State::NoSuccessor)
    return on_invalid_message();
  if (version != kProtocolVersion || other != self_)
    return Action::SendRejection;
  state_ = State::AwaitingReady;
  return Action::SendWelcome;
}

OutgoingOwnership::Action OutgoingOwnership::on_ready() {
  if (state_ != State::AwaitingReady)
    return on_invalid_message();
  state_ = State::Transferred;
  return Action::TransferOwnership;
}

// After the transfer the incoming process serves. Closing the link then would make both processes
// serve, so an invalid message is ignored; only the end of the link shows that the other one is
// dead.
OutgoingOwnership::Action OutgoingOwnership::on_invalid_message() {
  if (state_ == State::Transferred)
    return Action::None;
  state_ = State::NoSuccessor;
  return Action::CloseLink;
}

OutgoingOwnership::Action OutgoingOwnership::on_link_ended() {
  State previous = std::exchange(state_, State::NoSuccessor);
  return previous == State::Transferred ? Action::Reclaim : Action::None;
}

IncomingOwnership::Action IncomingOwnership::on_welcome() {
  if (state_ != State::AwaitingWelcome)
    return on_invalid_message();
  state_ = State::AwaitingTransfer;
  return Action::SendReady;
}

IncomingOwnership::Action IncomingOwnership::on_rejection() {
  if (state_ == State::Serving)
    return Action::None;
  state_ = State::Serving;
  return Action::ServeAlone;
}

IncomingOwnership::Action IncomingOwnership::on_ownership_transfer() {
  if (state_ != State::AwaitingTransfer)
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
  state_ = State::AwaitingWelcome;
  return Action::Reconnect;
}

IncomingOwnership::Action IncomingOwnership::on_no_listener() {
  if (state_ == State::Serving)
    return Action::None;
  state_ = State::Serving;
  return Action::ServeAlone;
}

}  // namespace dispatcher::hot_restart
