// The rules on repeating a request, asked before every send and every rejection.
//
// A worker gets one attempt of a request at a time: another one only once the earlier one has ended
// there too. After a reset, which only the protocol takes for an end, other workers come first.
//
// An attempt counts as one that may have run unless its end proves the contrary. A keyed request
// may be repeated to the workers of its deduplication scope, as listed at the send, within the
// deduplication window that begins with the first send. A hedge shares the window of the attempts
// that were open before it, also if they turn out not to have run: the key was known. A new window
// begins only when nothing may have run.
//
// Margin: a repeat counts when it reaches the worker. It is connected within the connect timeout or
// never runs, and the way there is shorter than a handshake, which goes there and back: twice the
// timeout, and a tick for the age of each of two clock readings. A start in time cannot be proved,
// since the worker's queue is not ours. Without a usable timeout, or with a shorter window, nothing
// is repeated. This is strict where connecting is far quicker than the timeout.
#pragma once

#include "dispatcher/scheduling/types.h"
#include "scheduling/request_state.h"

namespace dispatcher::scheduling {

// Whether the request may be rejected, which invites the client to send it again.
bool may_reject(const RequestState& state);

// Whether another attempt of the request may go to the worker.
bool may_send(const Worker& worker, const RequestState& state, const Settings& settings, Time now);

// Whether the outcome proves that the attempt never ran.
constexpr bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed ||
         outcome == Outcome::NotSent;
}

}  // namespace dispatcher::scheduling
