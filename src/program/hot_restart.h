// The other process of this dispatcher during an upgrade: the one that was here before, or the one
// that comes after. Who takes new jobs is decided by hot_restart::OutgoingProcess and
// hot_restart::IncomingProcess; this carries it out over local sockets.
#pragma once

#include <map>
#include <memory>
#include <set>

#include "hot_restart.pb.h"
#include "hot_restart/ownership.h"
#include "program/app.h"
#include "transport/gio_network.h"
#include "transport/local_link.h"

namespace dispatcher::program {

// What one process of a dispatcher has from the other for its talk with the rest of the fleet;
// nothing in it where there was none.
struct Inherited {
  transport::Descriptor socket;
  std::uint32_t incarnation = 0;
  std::vector<fleet::MembershipView::Entry> known;
};

class HotRestart {
 public:
  struct Found {  // a process that was here before
    transport::ObjectPtr<GSocket> socket;
    std::optional<hot_restart::Welcome>
        welcome;  // none: it has not said a word yet, or turned us away
    bool refused = false;
    transport::Descriptor listener;
  };
  // Before there is a loop; nothing: nobody listens at the path. Waits a second at most.
  static std::optional<Found> ask(const std::string& path, const hot_restart::Who& self, Log& log);
  static protocol::EndpointUpdate list_of(const hot_restart::Welcome& welcome,
                                          const protocol::IdentifierTables& words);

  struct Options {
    std::string path;
    hot_restart::Who self;
    Shares shares;
    transport::Duration wall_to_steady{0};
    transport::Duration overload_window{0};
    transport::Duration ramp{0};           // of cold workers
    transport::Duration budget_window{0};  // of the retry budget; 0: there is none
    // Speaks with the other dispatchers from now on; with the other process's socket, where it had
    // one.
    std::function<void(Inherited)> talk;
  };
  HotRestart(GMainContext* context, Options options, App& app, transport::GioNetwork& network,
             transport::Deadlines& deadlines, const transport::Clock& clock, Log& log);

  // With the one that was found, or alone. Throws std::runtime_error where the clients' address
  // cannot be had.
  void start(std::optional<Found> found);

 private:
  struct Waiting {  // a call-back that others were asked about
    int answers = 0;
    std::function<void(bool)> told;
  };
  using Link = std::unique_ptr<transport::LocalLink>;

  void serve();
  void be_found();
  void ask_again();
  void link_old(transport::ObjectPtr<GSocket> socket);
  void came(transport::ObjectPtr<GSocket> socket);
  void from_old(transport::Packet packet);
  void from_new(transport::Packet packet);
  void common(Link& from, const hot_restart::Message& message);
  void act(hot_restart::IncomingProcess::Do what);
  void act(hot_restart::OutgoingProcess::Do what);
  void take_yours(const hot_restart::Yours& yours, transport::Packet packet);
  void take_job(const hot_restart::Job& job, transport::Packet packet);
  void give(routing::RequestRef command);
  void take_connection(const hot_restart::Connection& connection, transport::Packet packet);
  void yield();
  void take_back();
  void inherit(const google::protobuf::RepeatedPtrField<hot_restart::ByHand>& by_hand);
  void old_is_gone();
  void welcome();
  bool forward(std::string_view body, std::function<void(bool)> told);
  void answered(std::uint64_t number, bool taken);
  void tell(Link& link, const hot_restart::Message& message,
            std::vector<transport::Descriptor> descriptors = {});
  void tell_all(const hot_restart::Message& message, const Link* but = nullptr);

  GMainContext* context_;
  Options options_;
  App& app_;
  transport::GioNetwork& network_;
  transport::Deadlines& deadlines_;
  const transport::Clock& clock_;
  Log& log_;
  hot_restart::IncomingProcess heir_;
  hot_restart::OutgoingProcess elder_;
  Link old_;
  Link new_;
  transport::Descriptor listener_;  // of the old one, until we take from it
  Inherited inherited_;             // likewise
  std::unique_ptr<transport::LocalListener> found_here_;
  std::map<std::uint64_t, Waiting> asked_;
  std::uint64_t asked_last_ = 0;
  std::set<scheduling::RequestId>
      given_;  // jobs that the new process has, or will have in a moment
  std::size_t accepted_limit_ = 0;
};

}  // namespace dispatcher::program
