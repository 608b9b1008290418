/// \file
/// Runs commands against fakes of servers and files.
#pragma once

#include "program.h"

#include <deque>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

namespace crocuswood::command_line {

/// Answers requests from lists by `SERVER METHOD PATH`. The last answer of a
/// list stays. A request without a list is not written.
class fake_http : public http_port {
public:
  std::vector<http_call> Calls;

  void answer(const std::string &What, unsigned Status,
              const std::string &Body) {
    http::plain_reply Reply{.Kind = http::plain_reply::kind::Answered};
    Reply.Response.Status = Status;
    Reply.Response.Body = Body;
    Replies[What].push_back(Reply);
  }
  void lose(const std::string &What) {
    Replies[What].push_back(
        {.Kind = http::plain_reply::kind::Lost, .Reason = "closed"});
  }

  std::vector<http::plain_reply>
  sendAll(const std::vector<http_call> &Sent) override {
    std::vector<http::plain_reply> Results;
    for (const http_call &Call : Sent) {
      Calls.push_back(Call);
      Results.push_back(take(toString(Call.Server) + " " + Call.Request.Method +
                             " " + Call.Request.Path));
    }
    return Results;
  }

private:
  http::plain_reply take(const std::string &What) {
    std::deque<http::plain_reply> &List = Replies[What];
    if (List.empty()) {
      return {.Reason = "refused"};
    }
    http::plain_reply Reply = List.front();
    if (List.size() > 1) {
      List.pop_front();
    }
    return Reply;
  }

  std::map<std::string, std::deque<http::plain_reply>> Replies;
};

class fake_files : public file_port {
public:
  std::map<std::string, std::string> Contents;

  std::optional<std::string> read(const std::string &Path) override {
    const auto Position = Contents.find(Path);
    if (Position == Contents.end()) {
      return std::nullopt;
    }
    return Position->second;
  }
  bool write(const std::string &Path, std::string_view Text) override {
    Contents[Path] = Text;
    return true;
  }
};

/// What a test needs to run the program.
class command_fixture {
public:
  fake_http Http;
  fake_files Files;
  std::ostringstream Out;
  std::ostringstream Err;
  int Sleeps = 0;

  /// \returns the exit code.
  int run(const std::vector<std::string> &Arguments) {
    run_context Context{
        .Out = Out,
        .Err = Err,
        .Http = Http,
        .Files = Files,
        .Environment = {{"CROCUSWOOD_OPERATORS", "10.0.0.1:9000"},
                        {"CROCUSWOOD_CALLERS", "10.0.0.1:8080"}},
        .MakeId = [] { return std::string("made-id"); },
        .Sleep = [this](duration) { ++Sleeps; }};
    return static_cast<int>(program().run(Arguments, Context));
  }
  bool printed(const std::string &Part) const {
    return Out.str().find(Part) != std::string::npos;
  }
  bool complained(const std::string &Part) const {
    return Err.str().find(Part) != std::string::npos;
  }
};

} // namespace crocuswood::command_line
