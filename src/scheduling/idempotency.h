// The rules for sending a request again, checked before every send and every rejection.
//
// A worker has at most one attempt of a request at a time: it gets another one only after the
// earlier one has ended at the worker itself. After a connection reset, which is an end only by the
// protocol, other workers are preferred.
//
// An attempt may have run unless its outcome proves the contrary. A keyed request may be sent again
// to workers in its deduplication scope, as listed when the attempt was sent, within the
// deduplication window that begins with the first send. A hedge shares the window of the attempts
// that were open when it was sent, even if they turn out not to have run, because the scope may
// already know the key. A new window begins only when no attempt may have run.
//
// Margin: the time that counts is the arrival of the repeat at the worker. Its connection is
// established within the connect timeout or it never runs, and the request's one-way trip is
// shorter than a handshake, which is a round trip. The margin is therefore twice the timeout, plus
// one tick for the age of each of two clock readings. Whether the repeat also starts in time cannot
// be guaranteed, since the worker's queue is outside our control. Without a usable timeout, or with
// a window shorter than the margin, nothing is sent again. The margin is conservative where
// connecting takes far less than the timeout.
#pragma once

#include "dispatcher/scheduling/types.h"
#include "scheduling/request_state.h"

namespace dispatcher::scheduling {

// Whether the request may be rejected, after which the client may send it again.
bool may_reject(const RequestState& state);

// Whether another attempt of the request may go to the worker.
bool may_send(const Worker& worker, const RequestState& state, const Settings& settings, Time now);

// Whether the outcome proves that the attempt never ran.
constexpr bool proves_not_run(Outcome outcome) {
  return outcome == Outcome::Rejected || outcome == Outcome::ConnectFailed ||
         outcome == Outcome::NotSent;
}

}  // namespace dispatcher::scheduling
