/// \file
/// Beast and Asio, with the order of headers that Boost 1.74 needs.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <utility>

namespace crocuswood::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace beast_http = boost::beast::http;

using asio::ip::tcp;
using boost::system::error_code;
using steady_clock = std::chrono::steady_clock;

} // namespace crocuswood::http
