// Handlers for the messages of clients and workers.
#include "http/client_server.h"

namespace dispatcher::http {

using protocol::Headers;
using protocol::Message;
using transport::SlotRef;

namespace {

const Headers kPlainText{{"Content-Type", "text/plain"}};

// wire: paths of the listening address
enum class Endpoint { Readiness, JobEvent, Request, Unknown };

Endpoint endpoint_of(std::string_view target) {
  std::string_view path = target.substr(0, target.find('?'));
  if (path == "/ready")
    return Endpoint::Readiness;
  if (path == "/_jobs/news")
    return Endpoint::JobEvent;
  return protocol::is_request_path(target) ? Endpoint::Request : Endpoint::Unknown;
}

scheduling::Outcome outcome_of(protocol::JobEvent::State what) {
  using State = protocol::JobEvent::State;
  switch (what) {
    case State::Done:
      return scheduling::Outcome::Success;
    case State::Returned:
      return scheduling::Outcome::Rejected;
    case State::Lost:
      return scheduling::Outcome::ConnectionReset;
    default:
      return scheduling::Outcome::Failure;
  }
}

}  // namespace

void ClientServer::handle_message(SlotRef connection, Message message) {
  Endpoint endpoint = endpoint_of(message.target);
  if (endpoint == Endpoint::Unknown)
    return respond(connection, 404, kPlainText, "no such path");
  const char* allowed = endpoint == Endpoint::Readiness ? "GET" : "POST";
  if (message.method != allowed)
    return respond(connection, 405, {{"Allow", allowed}}, "");
  if (endpoint == Endpoint::Readiness)
    return respond_readiness(connection);
  if (endpoint == Endpoint::JobEvent)
    return handle_job_event(connection, message);
  handle_request(connection, std::move(message));
}

void ClientServer::respond_readiness(SlotRef connection) {
  if (ready())
    return respond(connection, 200, kPlainText, "ready");
  respond(connection, 503, kPlainText, stage_ == Stage::Starting ? "no list yet" : "draining");
}

void ClientServer::handle_request(SlotRef connection, Message message) {
  // parse_client_request() consumes the message; these parts of it are needed afterwards.
  Message rest;
  rest.streamed = message.streamed;
  Headers content_headers;
  if (message.streamed) {
    rest.headers = message.headers;
    rest.body = std::exchange(message.body, {});
    content_headers = protocol::select_content_headers(message.headers);
  }
  protocol::ClientRequest request;
  try {
    request = protocol::parse_client_request(std::move(message), platform_.identifier_tables);
  } catch (const protocol::MessageError& error) {
    return respond_error(connection, 400, error.what());
  }
  transport::Time now = platform_.clock.now();
  Session& session = sessions_.at(connection);
  auto waited = now - session.arrivals.last_parsed_arrival(session.parser.buffered(), now);
  scheduling::Duration left = request.request.timeout - waited;
  request.request.timeout = std::max(scheduling::Duration(0), left);
  if (rest.streamed) {
    request.content_headers = std::move(content_headers);
    split_timeout(request.request);
  }
  submit_request(connection, std::move(request), rest);
}

// `message`: headers and first part of the body if the request is streamed.
void ClientServer::submit_request(SlotRef connection, protocol::ClientRequest parsed,
                                  const Message& message) {
  scheduling::Request request = parsed.request;
  if (stage_ == Stage::Ending) {
    router_->count_rejected(request.job_class);
    return respond(connection, 503, {}, "this dispatcher ends");
  }
  auto payload = std::make_shared<HttpRequestPayload>(std::move(parsed));
  if (!open_pipes(*payload, message.streamed)) {
    platform_.log.line("stream", "no memory for another body; a request was rejected");
    router_->count_rejected(request.job_class);
    return reject_unscheduled(connection, message.streamed, "too many bodies are on their way");
  }
  auto on_admitted = [&](routing::RequestRef admitted) {
    Session& session = sessions_.at(connection);
    session.open_request = admitted;
    connection_of_[admitted] = connection;
    if (!message.streamed)
      return;
    if (session.parser.body_reader().framing() == protocol::Framing::Length)
      payload->length = session.parser.body_reader().length();
    begin_upload(connection, session, payload->upload, message);
  };
  using Admission = routing::Router::AdmissionResult;
  Admission result = router_->admit({request, payload}, on_admitted);
  if (result == Admission::TableFull) {
    platform_.log.line("full", "the request table is full; a request was rejected");
    reject_unscheduled(connection, message.streamed, "too many commands are open");
  } else if (result == Admission::Duplicate) {
    respond_error(connection, 409, "a command had this X-Correlation-Id a moment ago");
  }
}

// The request has not reached the scheduler, so the client may safely retry it.
void ClientServer::reject_unscheduled(SlotRef connection, bool streamed, std::string_view reason) {
  if (streamed)
    sessions_.at(connection).keep_alive = false;
  respond(connection, 503, {}, reason);
}

void ClientServer::handle_job_event(SlotRef connection, const Message& message) {
  protocol::JobEvent event;
  try {
    event = protocol::parse_job_event(message.body, platform_.identifier_tables);
  } catch (const protocol::MessageError& error) {
    return respond_error(connection, 400, std::string("call-back: ") + error.what());
  }
  if (!knows(event.id) && forward_job_event(connection, message.body)) {
    sessions_.at(connection).awaits_other_process = true;
    return;
  }
  respond(connection, 204, {}, {});
  on_job_event(std::move(event));
}

bool ClientServer::forward_job_event(SlotRef connection, const std::string& body) {
  if (!job_event_forwarder_)
    return false;
  return job_event_forwarder_(body, [this, connection](bool accepted) {
    Session* session = find(connection);
    if (!session)
      return;
    session->awaits_other_process = false;
    respond(connection, accepted ? 204 : 503, {}, {});  // after a 503 the worker retries
    process_messages(connection);
  });
}

bool ClientServer::knows(scheduling::RequestId id) const {
  return router_->knows(id) || (adopted_jobs_ && adopted_jobs_->holds(id));
}

void ClientServer::on_job_event(protocol::JobEvent event) {
  if (adopted_jobs_ && adopted_jobs_->holds(event.id))
    return adopted_jobs_->on_job_event(event);
  using State = protocol::JobEvent::State;
  routing::WorkerJobEvent progress;
  progress.id = event.id;
  progress.worker = std::move(event.worker_uid);
  progress.report = event.report;
  progress.result = std::move(event.result);
  progress.started = event.state == State::Started;
  progress.progress = event.state == State::Progress;
  progress.outcome = outcome_of(event.state);
  router_->job_event_reported(std::move(progress));
}

}  // namespace dispatcher::http
