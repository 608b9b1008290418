// Measures the callers' front alone: jobs of one task that are answered at
// once, over kept-alive connections on loopback.
#include <crocuswood/http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/program_options.hpp>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace {

using namespace crocuswood;
using boost::asio::ip::tcp;
using clock_type = std::chrono::steady_clock;

/// Answers every job with its own inputs, within the submission.
class echoing_events : public caller_events {
public:
  bool jobSubmitted(request_id Request, job_request Job) override {
    job_results Results;
    for (task_request &Task : Job.Tasks) {
      Results.Outputs.push_back(std::move(Task.Input));
    }
    const job_id Id{.Entry = incarnation{1}, .Sequence = ++Count};
    Front->answer(Request, {.Job = Id, .Outcome = std::move(Results)});
    return true;
  }
  void jobCancelled(request_id, bool) override {}
  void inputDropped(std::uint64_t) override {}

  http::caller_front *Front = nullptr;
  std::uint64_t Count = 0;
};

/// One caller: sends the next job when it has the answer to the last.
class caller {
public:
  caller(boost::asio::io_context &Context, std::uint16_t Port,
         const std::string &Request, std::size_t AnswerBytes)
      : Socket(Context), Request(Request), Answer(AnswerBytes) {
    Socket.connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    Socket.set_option(tcp::no_delay(true));
  }

  void run() {
    Began = clock_type::now();
    boost::asio::async_write(
        Socket, boost::asio::buffer(Request),
        [this](const boost::system::error_code &Error, std::size_t) {
          if (!Error) {
            receive();
          }
        });
  }

  std::vector<double> Latencies; ///< Microseconds.

private:
  void receive() {
    Socket.async_read_some(
        boost::asio::buffer(Answer),
        [this](const boost::system::error_code &Error, std::size_t Bytes) {
          if (Error) {
            return;
          }
          // Answers are short and all alike but for the job's number.
          if (std::string_view(Answer.data(), Bytes).ends_with("]}")) {
            const std::chrono::duration<double, std::micro> Latency =
                clock_type::now() - Began;
            Latencies.push_back(Latency.count());
            run();
            return;
          }
          receive();
        });
  }

  tcp::socket Socket;
  const std::string &Request;
  std::vector<char> Answer;
  clock_type::time_point Began;
};

std::string makeRequest(std::size_t InputBytes) {
  const std::string Body =
      R"({"class":"pivot-check","team":"valbrenta","tasks":[{"input":")" +
      std::string(InputBytes, 'x') + R"(","run_time":"300ms"}]})";
  return "POST /v1/jobs HTTP/1.1\r\nHost: 127.0.0.1\r\n"
         "Content-Type: application/json\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

double threadSeconds() {
  timespec Time{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return static_cast<double>(Time.tv_sec) +
         static_cast<double>(Time.tv_nsec) / 1e9;
}

double quantile(std::vector<double> &Values, double Share) {
  if (Values.empty()) {
    return 0;
  }
  const auto Place =
      static_cast<std::size_t>(Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(),
                   Values.begin() + static_cast<std::ptrdiff_t>(Place),
                   Values.end());
  return Values[Place];
}

struct measured {
  double FrontSeconds = 0; ///< Processor time of the front's thread.
  double Seconds = 0;
  std::vector<double> Latencies;
};

measured measure(std::uint32_t Connections, std::uint32_t Threads,
                 std::size_t InputBytes, double Seconds) {
  boost::asio::io_context Context;
  echoing_events Events;
  http::caller_front Front(Context, {.MaxConnections = 65'536}, Events);
  Events.Front = &Front;
  const auto Port =
      std::get<std::uint16_t>(Front.listen({.Host = "127.0.0.1"}));
  measured Result;
  std::thread Server([&] {
    const auto Guard = boost::asio::make_work_guard(Context);
    const double Before = threadSeconds();
    Context.run();
    Result.FrontSeconds = threadSeconds() - Before;
  });

  const std::string Request = makeRequest(InputBytes);
  std::vector<std::unique_ptr<boost::asio::io_context>> Contexts;
  std::vector<std::vector<std::unique_ptr<caller>>> Callers(Threads);
  for (std::uint32_t Index = 0; Index < Threads; ++Index) {
    Contexts.push_back(std::make_unique<boost::asio::io_context>());
    for (std::uint32_t Number = 0; Number < Connections / Threads; ++Number) {
      Callers[Index].push_back(std::make_unique<caller>(
          *Contexts.back(), Port, Request, InputBytes + 1'024));
    }
  }
  const auto Began = clock_type::now();
  std::vector<std::thread> Workers;
  for (std::uint32_t Index = 0; Index < Threads; ++Index) {
    Workers.emplace_back([&, Index] {
      for (const auto &Caller : Callers[Index]) {
        Caller->run();
      }
      Contexts[Index]->run_for(
          std::chrono::milliseconds(static_cast<std::int64_t>(Seconds * 1e3)));
    });
  }
  for (std::thread &Worker : Workers) {
    Worker.join();
  }
  const std::chrono::duration<double> Elapsed = clock_type::now() - Began;
  Result.Seconds = Elapsed.count();
  Context.stop();
  Server.join();
  for (const auto &Group : Callers) {
    for (const auto &Caller : Group) {
      Result.Latencies.insert(Result.Latencies.end(), Caller->Latencies.begin(),
                              Caller->Latencies.end());
    }
  }
  return Result;
}

} // namespace

int main(int argc, char **argv) {
  namespace po = boost::program_options;
  po::options_description Options("bench_caller_front");
  Options.add_options()("help", "show this help")(
      "connections", po::value<std::uint32_t>()->default_value(60),
      "kept-alive connections")("threads",
                                po::value<std::uint32_t>()->default_value(2),
                                "threads of callers")(
      "input-bytes", po::value<std::size_t>()->default_value(100),
      "size of the task's input")(
      "seconds", po::value<double>()->default_value(5), "time to measure");
  po::variables_map Values;
  po::store(po::parse_command_line(argc, argv, Options), Values);
  if (Values.count("help") != 0) {
    std::cout << Options << '\n';
    return 0;
  }
  measured Result = measure(Values["connections"].as<std::uint32_t>(),
                            Values["threads"].as<std::uint32_t>(),
                            Values["input-bytes"].as<std::size_t>(),
                            Values["seconds"].as<double>());
  const auto Requests = static_cast<double>(Result.Latencies.size());
  std::cout << "{\"requests_per_second\":" << Requests / Result.Seconds
            << ",\"requests_per_cpu_second\":" << Requests / Result.FrontSeconds
            << ",\"p50_us\":" << quantile(Result.Latencies, 0.5)
            << ",\"p99_us\":" << quantile(Result.Latencies, 0.99) << "}\n";
  return 0;
}
