#include "http/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace cove {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr milliseconds write_timeout{30'000};    ///< a slower reader only occupies memory
constexpr milliseconds linger_timeout{1000};     ///< time for the client to read the response
constexpr std::size_t linger_bytes = 64 * 1024;  ///< read and discarded at most
constexpr std::size_t linger_chunk_bytes = 4096; ///< read and discarded at a time
constexpr milliseconds no_timeout = milliseconds::max();
constexpr std::string_view continue_response = "HTTP/1.1 100 Continue\r\n\r\n";

/** @return the time since the last bytes on @p socket were received; nullopt if unknown. */
std::optional<milliseconds> time_since_receive(int socket)
{
    tcp_info info{};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0) {
        return std::nullopt;
    }
    return milliseconds(info.tcpi_last_data_recv);
}

bool expects_continue(http::fields const& request)
{
    return boost::beast::iequals(request[http::field::expect], "100-continue");
}

} // namespace

server_connection::server_connection(http_server& server, tcp::socket socket)
    : server_(server), socket_(std::move(socket))
{
}

void server_connection::start()
{
    error_code ignored; // without the option, Nagle's algorithm only adds latency
    socket_.set_option(tcp::no_delay(true), ignored);
    wait_for_request();
}

std::string server_connection::client_ip() const
{
    error_code error;
    auto const peer = socket_.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
}

void server_connection::enter_phase(phase next, milliseconds timeout)
{
    phase_ = next;
    deadline_ = timeout == no_timeout ? mono_time::max() : read_clocks().mono + timeout;
}

void server_connection::wait_for_request()
{
    release_memory();
    response_ = {};
    reader_.emplace(request_limits{server_.limits_.header_bytes, server_.limits_.body_bytes});
    buffer_.max_size(std::max(reader_->buffer_limit(), buffer_.size()));
    if (buffer_.size() > 0) {
        read_header();
        return;
    }
    buffer_.shrink_to_fit();
    enter_phase(phase::idle, server_.limits_.idle_timeout);
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (self->closed_) {
            return;
        }
        if (error) {
            self->close();
            return;
        }
        self->read_header();
    });
}

void server_connection::read_header()
{
    enter_phase(phase::header, server_.limits_.header_timeout);
    http::async_read_header(socket_, buffer_, reader_->parse(),
                            [self = shared_from_this()](error_code error, std::size_t) {
                                if (!self->closed_ && !self->refused_) {
                                    self->on_header(error);
                                }
                            });
}

void server_connection::on_header(error_code error)
{
    if (error == http::error::header_limit) {
        reject(http::status::request_header_fields_too_large);
        return;
    }
    if (error == http::error::body_limit) {
        reject(http::status::payload_too_large);
        return;
    }
    if (error && error.category() == http::make_error_code(http::error::bad_method).category() &&
        error != http::error::end_of_stream && error != http::error::partial_message) {
        reject(http::status::bad_request);
        return;
    }
    if (error) {
        close();
        return;
    }
    if (reader_->parse().get().count(http::field::transfer_encoding) > 0 &&
        !reader_->parse().chunked()) {
        reject(http::status::not_implemented);
        return;
    }
    bool const has_content =
        reader_->parse().chunked() || reader_->parse().content_length().value_or(0) > 0;
    if (reader_->parse().get().method() == http::verb::trace && has_content) {
        reject(http::status::bad_request); // RFC 9110, 9.3.8
        return;
    }
    if (expects_continue(reader_->parse().get()) && !reader_->parse().is_done()) {
        boost::asio::async_write(socket_, boost::asio::buffer(continue_response),
                                 [self = shared_from_this()](error_code, std::size_t) {
                                     if (!self->closed_ && !self->refused_) {
                                         self->read_body();
                                     }
                                 });
        return;
    }
    read_body();
}

void server_connection::read_body()
{
    if (phase_ != phase::body) {
        reader_->start_body();
        enter_phase(phase::body, server_.limits_.body_timeout);
    }
    if (reader_->parse().is_done()) {
        dispatch_request();
        return;
    }
    http::async_read_some(socket_, buffer_, reader_->parse(),
                          [self = shared_from_this()](error_code error, std::size_t bytes) {
                              if (!self->closed_ && !self->refused_) {
                                  self->on_body(error, bytes);
                              }
                          });
}

void server_connection::on_body(error_code error, std::size_t bytes)
{
    bool const too_long = error == http::error::body_limit ||
                          error == http::error::buffer_overflow ||
                          error == http::error::header_limit || (!error && !reader_->count(bytes));
    if (too_long) {
        reader_->discard();
        reject(http::status::payload_too_large);
        return;
    }
    if (error) {
        close();
        return;
    }
    hold_memory(reader_->held() + buffer_.capacity(), holding::incomplete_request);
    if (!closed_ && !refused_) {
        read_body();
    }
}

/** Counts what this connection buffers; may release the memory of any connection, also of this. */
void server_connection::hold_memory(std::uint64_t bytes, holding what)
{
    if (!server_.memory_) {
        return;
    }
    if (!account_) {
        account_ = server_.memory_->join([weak = weak_from_this()] {
            if (auto const self = weak.lock()) {
                self->give_memory_back();
            }
        });
    }
    server_.memory_->hold(*account_, bytes, what);
}

void server_connection::release_memory()
{
    if (account_) {
        server_.memory_->leave(*account_);
        account_.reset();
    }
}

/** Ends the request: 503 while it has not been passed on, else the connection closes. */
void server_connection::give_memory_back()
{
    account_.reset();
    if (phase_ == phase::body) {
        reader_->discard();
        refuse_unfinished();
        return;
    }
    close();
}

void server_connection::dispatch_request()
{
    if (server_.hooks_.unread) {
        if (auto const unread = time_since_receive(socket_.native_handle())) {
            server_.hooks_.unread(*unread);
        }
    }
    if (client_left()) {
        close();
        return;
    }
    enter_phase(phase::call, no_timeout);
    http_request request = reader_->release();
    reader_.reset();
    hold_memory(request.body().size() + buffer_.capacity(), holding::request);
    if (closed_) {
        return;
    }
    keep_alive_ = request.keep_alive();
    is_head_ = request.method() == http::verb::head;
    read_ahead_ = false;
    call_ = call_id(server_.next_call_++);
    server_.calls_[*call_] = this;
    watch_for_disconnect();
    server_.hooks_.request(*call_, std::move(request));
}

void server_connection::watch_for_disconnect()
{
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        if (self->closed_ || self->phase_ != phase::call) {
            return;
        }
        if (error || self->client_left()) {
            self->close();
            return;
        }
        // Bytes of the next request are read after the response to this one. Until then they keep
        // the socket readable, so close_if_ended() looks for the end of the connection.
        self->read_ahead_ = true;
    });
}

bool server_connection::client_left()
{
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void server_connection::respond(http_response response)
{
    call_.reset();
    write(std::move(response), keep_alive_ && !server_.closing_);
}

void server_connection::reject(http::status status)
{
    write(http_response(status, http_version), false);
}

void server_connection::write(http_response response, bool keep_alive)
{
    enter_phase(phase::response, write_timeout);
    response_ = std::move(response);
    response_.version(http_version);
    response_.keep_alive(keep_alive);
    bool const has_no_body = response_.result() == http::status::no_content ||
                             response_.result() == http::status::not_modified;
    if (!has_no_body && !is_head_) {
        response_.content_length(response_.body().size());
    }
    hold_memory(response_.body().size() + buffer_.capacity(), holding::response);
    if (closed_) {
        return;
    }
    http::async_write(socket_, response_,
                      [self = shared_from_this(), keep_alive](error_code error, std::size_t) {
                          if (!self->closed_) {
                              self->on_written(error, keep_alive);
                          }
                      });
}

void server_connection::on_written(error_code error, bool keep_alive)
{
    if (error) {
        close();
    }
    else if (keep_alive) {
        wait_for_request();
    }
    else {
        linger();
    }
}

/**
 * Reads on until the client has closed: closing with unread bytes would reset the connection and
 * the client might lose the response.
 */
void server_connection::linger()
{
    enter_phase(phase::lingering, linger_timeout);
    release_memory();
    response_ = {};
    error_code ignored; // the read below fails if the connection is gone
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    buffer_.consume(buffer_.size());
    auto discard = [self = shared_from_this()](auto&& again) -> void {
        self->socket_.async_read_some(self->buffer_.prepare(linger_chunk_bytes),
                                      [self, again](error_code failed, std::size_t size) {
                                          self->discarded_ += size;
                                          if (failed || self->closed_ ||
                                              self->discarded_ > linger_bytes) {
                                              self->close();
                                              return;
                                          }
                                          again(again);
                                      });
    };
    discard(discard);
}

void server_connection::close_if_ended(mono_time now)
{
    if (now >= deadline_ || (phase_ == phase::call && read_ahead_ && client_left())) {
        close();
    }
}

void server_connection::refuse_unfinished()
{
    if (phase_ != phase::header && phase_ != phase::body) {
        return;
    }
    refused_ = true; // the pending read ends with an error, which is no failure of the connection
    error_code ignored;
    socket_.cancel(ignored);
    reject(http::status::service_unavailable);
}

void server_connection::close_if_idle()
{
    if (phase_ == phase::idle) {
        close();
    }
}

std::optional<mono_time> server_connection::idle_until() const
{
    return phase_ == phase::idle ? std::optional(deadline_) : std::nullopt;
}

void server_connection::close()
{
    if (closed_) {
        return;
    }
    closed_ = true;
    auto const self = shared_from_this();
    release_memory();
    error_code ignored; // a socket that the client has reset may fail to close
    socket_.close(ignored);
    server_.connections_.erase(this);
    if (call_) {
        call_id const left = *call_;
        call_.reset();
        server_.calls_.erase(left);
        server_.hooks_.client_disconnected(left);
    }
}

} // namespace cove
