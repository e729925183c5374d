// Plays a recorded exchange of bytes against the whole program, over a network and a clock that do
// what the file says. The words of such a file are explained in recorded/README.
#pragma once

#include <fstream>
#include <iterator>
#include <sstream>

#include "http/admin_server.h"
#include "program/app.h"
#include "tests/support/manual_clock.h"

namespace dispatcher::testing {

struct Mismatch : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in)
    throw Mismatch("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), {}};
}

class PlayedNetwork final : public transport::Network {
 public:
  struct End {
    std::string name;
    std::string address;
    std::string sent;  // no name: the file has not met this connection yet
    transport::ConnectionHandler* handler = nullptr;
    std::optional<transport::Time> answer =
        {};  // of a discovery that answers by itself: when the next one is due
    std::string revision = {};
    bool closed = false;
    bool finished = false;
    bool unread = false;
    bool stuck = false;
    std::size_t granted = SIZE_MAX;
  };
  std::map<transport::SlotRef, End> ends;
  int spare = -1;  // descriptors for connections that the program opens; -1: any number

  transport::SlotRef add(End end) {
    transport::SlotRef ref{next_++, 1};
    ends[ref] = std::move(end);
    return ref;
  }
  std::optional<transport::SlotRef> connect(const std::string& address,
                                            transport::ConnectionHandler& handler,
                                            transport::Urgency) override {
    if (spare == 0)
      return std::nullopt;
    if (spare > 0)
      --spare;
    return add({"", address, "", &handler});
  }
  void send(transport::SlotRef ref, std::string bytes) override { ends.at(ref).sent += bytes; }
  void send(transport::SlotRef ref, transport::Slice bytes) override {
    ends.at(ref).sent += bytes.bytes;
  }
  std::size_t unsent_bytes(transport::SlotRef ref) override {
    const End& end = ends.at(ref);
    return end.stuck ? end.sent.size() : 0;
  }
  void permit_reading(transport::SlotRef ref, std::size_t bytes) override {
    ends.at(ref).granted = bytes;
  }
  void set_bulk(transport::SlotRef, bool) override {}
  void schedule_on_written(transport::SlotRef ref) override { again_.push_back(ref); }
  void serve_bulk() {
    for (transport::SlotRef ref : std::exchange(again_, {})) {
      if (!ends.at(ref).closed)
        ends.at(ref).handler->on_written(ref);
    }
  }
  void finish(transport::SlotRef ref) override { ends.at(ref).finished = true; }
  void close(transport::SlotRef ref) override {
    ends.at(ref).closed = true;
    if (spare >= 0 && !ends.at(ref).address.empty())
      ++spare;
  }
  void reset(transport::SlotRef ref) override { close(ref); }
  transport::Descriptor release(transport::SlotRef) override { return {}; }
  bool has_unread(transport::SlotRef ref) override { return ends.at(ref).unread; }
  void pause_reading(transport::SlotRef ref, bool paused) override {
    permit_reading(ref, paused ? 0 : SIZE_MAX);
  }

 private:
  std::vector<transport::SlotRef> again_;
  std::uint32_t next_ = 0;
};

class Player {
 public:
  explicit Player(const std::string& folder)
      : folder_(folder), config_json_(protocol::parse_json(read_file(folder + "/config.json"))) {}

  void play(const std::string& file) {
    std::istringstream in(read_file(folder_ + "/recorded/" + file));
    int number = 0;
    for (std::string line; std::getline(in, line);) {
      ++number;
      if (line.empty() || line[0] == '#')
        continue;
      try {
        step(line);
        network_.serve_bulk();
      } catch (const std::exception& e) {
        throw Mismatch(file + ":" + std::to_string(number) + ": " + line + "\n  " + e.what());
      }
    }
  }
  // At the end of a file all that the program did has been named in it.
  void check_nothing_left() {
    for (auto& [ref, end] : network_.ends) {
      if (end.name.empty())
        throw Mismatch("a connection to " + end.address + " is not in the file");
      if (!end.sent.empty())
        throw Mismatch(end.name + " got more than the file has:\n" + end.sent);
    }
  }

 private:
  static void need(bool ok, const std::string& otherwise) {
    if (!ok)
      throw Mismatch(otherwise);
  }

  void step(const std::string& line) {
    std::istringstream words(line);
    std::string first;
    std::string second;
    std::string rest;
    words >> first >> second;
    std::getline(words, rest);
    if (!rest.empty())
      rest.erase(0, 1);
    if (first == "play") {
      play(second);
    } else if (first == "set") {
      set(second, rest);
    } else if (first == "features") {
      features_ = features::read_features(line.substr(9), "features");
    } else if (first == "environment") {
      environment_[second] = rest;
    } else if (first == "start") {
      start();
    } else if (first == "wait") {
      wait(std::stod(second));
    } else if (first == "open") {
      open(second, app_->acceptor());
    } else if (first == "operator") {
      open(second, *operators_);
    } else if (first == "connects" || first == "refuses" || first == "opens") {
      meet(second, rest, first);
    } else if (first == "callers") {
      need(operators_->shed_idle() == (second == "shed"), "it does otherwise");
    } else if (first == "crowd") {
      need(app_->acceptor().shed_idle() == (second == "sheds"), "it does otherwise");
    } else if (first == "descriptors") {
      network_.spare = second == "none" ? 0 : -1;
    } else if (first == "reload") {
      reload();
    } else if (first == "terminate") {
      app_->terminate();
    } else if (first == "givable") {
      need(givable() == std::stoi(second), "it does otherwise");
    } else if (first == "ended") {
      need(app_->finished() == (second == "yes"), "the program thinks otherwise");
    } else if (first == "log") {
      need(log_text_.find(line.substr(4)) != std::string::npos, "logged:\n" + log_text_);
    } else {
      speak(first, second, rest);
    }
  }

  int givable() {
    int n = 0;
    for (routing::RequestRef ref : app_->router().open_refs())
      n += app_->router().releasable(ref).has_value();
    return n;
  }

  void set(const std::string& path, const std::string& value) {
    Json::Value* at = &config_json_;
    std::istringstream names(path);
    for (std::string name; std::getline(names, name, '.');)
      at = &(*at)[name];
    *at = protocol::parse_json("[" + value + "]")[0];
  }

  program::Config read(program::Occasion occasion, const Json::Value& in_force = {}) {
    auto environment = [this](const char* variable) {
      return environment_[variable];
    };
    return program::read_config(config_json_.toStyledString(), environment, transport::Duration(0),
                                occasion, in_force);
  }

  void start() {
    app_.emplace(read(program::Occasion::Start), features_, network_, deadlines_, clock_, log_);
    operators_.emplace(network_, deadlines_, clock_, log_, *app_);
    app_->start();
  }

  void reload() try {
    app_->reload(read(program::Occasion::Reload, app_->in_force()));
  } catch (const std::runtime_error& e) {
    app_->reload_failed(e.what());
  }

  void wait(double ms) {
    transport::Time until = clock_.at + transport::Duration(ms);
    for (;;) {
      auto next = deadlines_.next();
      auto due = std::ranges::min_element(network_.ends, {}, [](const auto& e) {
        return e.second.answer.value_or(transport::Time::max());
      });
      if (due->second.answer && *due->second.answer <= until &&
          (!next || *due->second.answer <= *next)) {
        answer_watch(due->first, due->second);
      } else if (next && *next <= until) {
        clock_.at = std::max(clock_.at, *next);
        deadlines_.sweep(clock_.at);
      } else {
        break;
      }
    }
    clock_.at = until;
  }

  // A second before the wait of the call that this brings forth is over.
  void answer_watch(transport::SlotRef ref, PlayedNetwork::End& end) {
    clock_.at = std::max(clock_.at, *end.answer);
    end.answer = clock_.at + transport::Duration(1000);
    std::string list = "{\"rev\":" + end.revision + R"(,"all":false,"targets":[]})";
    end.handler->on_bytes(ref, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) +
                                   "\r\n\r\n" + list);
    need(end.sent.starts_with("GET /v1/endpoints?index=" + end.revision + "&wait="),
         "it got:\n" + end.sent);
    end.sent.clear();
  }

  void open(const std::string& name, transport::Acceptor& acceptor) {
    for (auto& [ref, end] : network_.ends) {  // an ended connection gives its name to the next
      if (end.name == name && (end.closed || end.finished))
        end.name += " (ended)";
    }
    auto ref = network_.add({name, "", "", &acceptor});
    acceptor.on_accepted(ref);
  }

  void meet(const std::string& name, const std::string& address, const std::string& how) {
    for (auto& [ref, end] : network_.ends) {
      if (!end.name.empty() || end.address != address)
        continue;
      end.name = name;
      if (how == "connects")
        return end.handler->on_connected(ref);
      if (how == "opens")
        return end.sent.clear();
      end.sent.clear();
      end.closed = true;
      return end.handler->on_closed(ref, false);
    }
    throw Mismatch("no connection was opened to " + address);
  }

  void speak(const std::string& name, const std::string& verb, std::string text) {
    for (auto& [ref, end] : network_.ends) {
      if (end.name != name)
        continue;
      // a body with the length that belongs to it
      if (verb == "<=" || verb == ">=")
        text = "Content-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
      if (verb == "<" || verb == "<|" || verb == "<=") {
        if (verb == "<")
          text += "\r\n";
        need(end.sent.starts_with(text), "it got:\n" + end.sent.substr(0, 400));
        end.sent.erase(0, text.size());
      } else if (verb == ">" || verb == ">|" || verb == ">=") {
        need(!end.closed && !end.finished, "the program has closed it");
        end.unread = false;
        end.handler->on_bytes(ref, verb == ">" ? text + "\r\n" : text);
      } else if (verb == "breaks" || verb == "cut") {  // cut: before all bytes were written
        if (verb == "cut")
          end.sent.clear();
        end.closed = true;
        end.handler->on_closed(ref, verb == "breaks");
      } else if (verb == "held") {
        need(end.granted == 0, "the program still takes input from it");
      } else if (verb == "taking") {
        need(end.granted > 0, "the program takes no input from it");
      } else if (verb == "once") {  // lines with | between, and an empty one, in one piece
        std::string piece = text + "||";
        for (std::size_t bar = piece.find('|'); bar != std::string::npos;
             bar = piece.find('|', bar))
          piece.replace(bar, 1, "\r\n");
        end.handler->on_bytes(ref, piece);
      } else if (verb == "floods") {  // as often as the number says, in one piece
        std::string much;
        std::string request = text.substr(text.find(' ') + 1) + "\r\n\r\n";
        for (int i = std::stoi(text); i > 0; --i)
          much += request;
        end.handler->on_bytes(ref, much);
      } else if (verb == "pours") {  // as much as it may, up to so many bytes
        need(!end.closed, "the program has closed it");
        for (std::size_t left = std::stoul(text); left > 0 && end.granted > 0;) {
          std::size_t n = std::min({left, end.granted, std::size_t{16384}});
          if (end.granted != SIZE_MAX)
            end.granted -= n;
          left -= n;
          end.handler->on_bytes(ref, std::string(n, 'x'));
        }
      } else if (verb == "gets") {
        need(end.sent == std::string(std::stoul(text), 'x'),
             "it got " + std::to_string(end.sent.size()));
        end.sent.clear();
      } else if (verb == "up") {
        need(!end.closed, "the program has closed it");
        end.handler->on_connected(ref);
      } else if (verb == "answers") {
        end.revision = text;
        end.answer = clock_.at + transport::Duration(1000);
      } else if (verb == "stuck") {
        end.stuck = true;
      } else if (verb == "drains") {
        end.stuck = false;
        end.handler->on_written(ref);
      } else if (verb == "has") {
        need(end.sent.find(text) != std::string::npos, "it got:\n" + end.sent.substr(0, 1200));
      } else if (verb == "read") {
        end.sent.clear();
      } else if (verb == "unread") {
        end.unread = true;
      } else if (verb == "closed") {
        need(end.closed, "it is open");
      } else if (verb == "finished") {
        need(end.finished, "it is open");
      } else if (verb == "open") {
        need(!end.closed && !end.finished, "it is closed");
      } else if (verb == "silent") {
        need(end.sent.empty() && !end.closed && !end.finished,
             "it got:\n" + end.sent.substr(0, 400));
      } else {
        throw Mismatch("the file has an unknown word");
      }
      return;
    }
    throw Mismatch("the file has not opened a connection of this name");
  }

  std::string folder_;
  Json::Value config_json_;
  ManualClock clock_;
  transport::Deadlines deadlines_;
  PlayedNetwork network_;
  std::string log_text_;
  operations::Log log_{clock_, [this](const std::string& line) {
                         log_text_ += line + '\n';
                       }};
  std::map<std::string, std::string> environment_;
  features::Features features_;
  std::optional<program::App> app_;
  std::optional<http::AdminServer> operators_;
};

}  // namespace dispatcher::testing
