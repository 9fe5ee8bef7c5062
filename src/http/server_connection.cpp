#include "http/server_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

namespace cove {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr milliseconds write_timeout{30'000};    ///< a slower reader only occupies memory
constexpr milliseconds linger_timeout{1000};     ///< time for the client to read the response
constexpr std::size_t linger_bytes = 65'536;     ///< read and discarded at most
constexpr std::size_t linger_chunk_bytes = 4096; ///< read and discarded at a time
constexpr milliseconds no_timeout = milliseconds::max();
/// Bounds what one connection can make the host run and hold at once.
constexpr std::size_t max_calls = 16;
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
    : server_(server), socket_(std::move(socket)),
      pipeline_(server.hooks_.concurrent ? max_calls : 1)
{
}

void server_connection::start()
{
    error_code ignored; // without the option, Nagle's algorithm only adds latency
    socket_.set_option(tcp::no_delay(true), ignored);
    read_next();
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

bool server_connection::input_open() const
{
    return !closed_ && !gives_up_ && phase_ != phase::ended && phase_ != phase::lingering;
}

bool server_connection::request_arrives() const
{
    return phase_ == phase::header || phase_ == phase::held || phase_ == phase::body;
}

/** @return whether there are bytes of further requests that are to be served before a stop. */
bool server_connection::more_has_arrived()
{
    return request_arrives() || (phase_ == phase::between &&
                                 (buffer_.size() > 0 || (server_.accepting() && has_unread())));
}

/** @return whether bytes have arrived that are not read. */
bool server_connection::has_unread()
{
    int unread = 0;
    return ::ioctl(socket_.native_handle(), SIOCINQ, &unread) == 0 && unread > 0;
}

/** Reads the next request, or waits for it, if another may be read now. */
void server_connection::read_next()
{
    waiting_since_ = read_clocks().mono;
    enter_phase(phase::between, pipeline_.empty() ? server_.limits_.idle_timeout : no_timeout);
    bool const full = server_.memory_ && server_.memory_->nearly_full();
    bool const no_more = !server_.accepting() && buffer_.size() == 0;
    bool const waits = (no_more || full) && !pipeline_.empty();
    if (pipeline_.empty() && buffer_.size() == 0) {
        buffer_.shrink_to_fit();
        release_memory();
    }
    if (pipeline_.accepts() && !waits && (buffer_.size() > 0 || read_ahead_)) {
        read_header();
    }
    else {
        watch();
    }
}

/** Waits for bytes or the end of the connection without reading, so that no buffer is held. */
void server_connection::watch()
{
    if (watching_ || read_ahead_) {
        return;
    }
    watching_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
        self->watching_ = false;
        if (!self->closed_ && self->phase_ != phase::lingering) {
            self->on_readable(error);
        }
    });
}

void server_connection::on_readable(error_code error)
{
    if (reading_) {
        return; // the read finds what there is
    }
    if (pipeline_.unanswered() && (error || client_left())) {
        close();
        return;
    }
    // Unread bytes keep the socket readable, so close_if_ended() looks for the end of the
    // connection until they are read.
    read_ahead_ = true;
    if (phase_ == phase::between) {
        read_next();
    }
}

void server_connection::read_header()
{
    reader_.emplace(request_limits{server_.limits_.header_bytes, server_.limits_.body_bytes});
    buffer_.max_size(std::max(reader_->buffer_limit(), buffer_.size()));
    waiting_since_ = read_clocks().mono;
    enter_phase(phase::header, server_.limits_.header_timeout);
    count_memory();
    if (!input_open()) {
        return;
    }
    read_ahead_ = false;
    reading_ = true;
    http::async_read_header(socket_, buffer_, reader_->parse(),
                            [self = shared_from_this()](error_code error, std::size_t bytes) {
                                if (self->read_ended()) {
                                    self->on_header(error, bytes);
                                }
                            });
}

/** Notes the end of a read. @return whether its result still counts. */
bool server_connection::read_ended()
{
    reading_ = false;
    read_ahead_ = read_ahead_ || phase_ == phase::ended;
    return input_open();
}

void server_connection::on_header(error_code error, std::size_t bytes)
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
        end_input();
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
    reader_->start_body(bytes);
    if (expects_continue(reader_->parse().get()) && !reader_->parse().is_done()) {
        enter_phase(phase::held, no_timeout);
        ask_for_body();
        return;
    }
    read_body();
}

/** Asks the client for the body of a held request once the responses before it are sent. */
void server_connection::ask_for_body()
{
    if (!pipeline_.empty()) {
        watch();
        return;
    }
    writing_ = true;
    write_deadline_ = read_clocks().mono + write_timeout;
    boost::asio::async_write(socket_, boost::asio::buffer(continue_response),
                             [self = shared_from_this()](error_code, std::size_t) {
                                 self->writing_ = false;
                                 self->write_deadline_ = mono_time::max();
                                 if (self->input_open()) {
                                     self->read_body();
                                 }
                                 self->write_next(); // a refusal of this request
                             });
}

void server_connection::read_body()
{
    if (reader_->parse().is_done()) {
        add_call();
        return;
    }
    read_ahead_ = false;
    reading_ = true;
    if (phase_ != phase::body) {
        enter_phase(phase::body, server_.limits_.body_timeout);
    }
    http::async_read_some(socket_, buffer_, reader_->parse(),
                          [self = shared_from_this()](error_code error, std::size_t bytes) {
                              if (self->read_ended()) {
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
        end_input();
        return;
    }
    count_memory();
    if (input_open()) {
        read_body();
    }
}

/** Counts what this connection buffers; may release the memory of any connection, also of this. */
void server_connection::count_memory()
{
    if (!server_.memory_ || closed_ || gives_up_) {
        return;
    }
    if (!account_) {
        account_ = server_.memory_->join([weak = weak_from_this()] {
            if (auto const self = weak.lock()) {
                self->give_memory_back();
            }
        });
    }
    holding const stage = request_arrives()        ? holding::incomplete_request
                          : pipeline_.unanswered() ? holding::request
                                                   : holding::response;
    std::size_t const reading = reader_ ? reader_->held() : 0;
    // How much of a header has arrived is known only at its end.
    std::size_t const buffered = phase_ == phase::header
                                     ? std::max(buffer_.capacity(), reader_->buffer_limit())
                                     : buffer_.capacity();
    server_.memory_->hold(*account_, reading + pipeline_.held() + buffered, stage);
}

void server_connection::release_memory()
{
    if (account_) {
        server_.memory_->leave(*account_);
        account_.reset();
    }
}

/**
 * Refuses the request that arrives, if there is one, else closes the connection. It closes in the
 * next turn of the loop, as the owner may be at work on a call when another connection needs bytes.
 */
void server_connection::give_memory_back()
{
    account_.reset();
    if (!request_arrives()) {
        gives_up_ = true;
        boost::asio::post(server_.loop_, [self = shared_from_this()] { self->close(); });
        return;
    }
    reader_->discard();
    refuse_unfinished();
    count_memory(); // what the requests before it take
}

/** The client has left or sends nothing usable any more: its responses are all that is left. */
void server_connection::end_input()
{
    bool const left = client_left();
    if (pipeline_.empty() || (left && pipeline_.unanswered())) {
        close();
        return;
    }
    pipeline_.end();
    read_ahead_ = true; // close_if_ended() looks for the end of the connection
    enter_phase(phase::ended, no_timeout);
}

void server_connection::add_call()
{
    if (server_.hooks_.unread) {
        if (auto const unread = time_since_receive(socket_.native_handle())) {
            server_.hooks_.unread(*unread);
        }
    }
    if (client_left()) {
        end_input();
        return;
    }
    pipelined_call call{call_id(server_.next_call_++), {}};
    call.bytes = reader_->held();
    call.request = reader_->release();
    reader_.reset();
    call.concurrent = server_.hooks_.concurrent && server_.hooks_.concurrent(call.request);
    pipeline_.add(std::move(call));
    enter_phase(phase::between, no_timeout);
    count_memory();
    if (gives_up_) {
        return;
    }
    start_calls();
    if (!closed_ && phase_ == phase::between) {
        read_next();
    }
}

void server_connection::start_calls()
{
    while (auto call = pipeline_.start_next()) {
        server_.calls_[call->id] = this;
        if (!call->request.body().empty()) {
            count_memory(); // the owner of the call counts the body
        }
        server_.hooks_.request(call->id, std::move(call->request));
    }
}

bool server_connection::client_left()
{
    pollfd state{socket_.native_handle(), POLLRDHUP, 0};
    return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void server_connection::respond(call_id call, http_response response)
{
    pipeline_.respond(call, std::move(response));
    count_memory();
    write_next();
}

/** Answers the request that is being read, in its turn, and reads no more. */
void server_connection::reject(http::status status)
{
    read_ahead_ = true; // close_if_ended() looks for the end of the connection
    enter_phase(phase::ended, no_timeout);
    pipeline_.reject(http_response(status, http_version));
    write_next();
}

void server_connection::write_next()
{
    if (closed_ || gives_up_ || writing_) {
        return;
    }
    if (auto due = pipeline_.take_response(server_.closing_ && !more_has_arrived())) {
        write(std::move(*due));
    }
}

void server_connection::write(due_response due)
{
    if (due.closes) {
        enter_phase(phase::ended, no_timeout);
        if (reading_) {
            error_code ignored; // no other operation is pending whose result counts
            socket_.cancel(ignored);
        }
    }
    writing_ = true;
    write_deadline_ = read_clocks().mono + write_timeout;
    response_ = std::move(due.message);
    response_.version(http_version);
    response_.keep_alive(!due.closes);
    bool const has_no_body = response_.result() == http::status::no_content ||
                             response_.result() == http::status::not_modified;
    if (!has_no_body && !due.to_head) {
        response_.content_length(response_.body().size());
    }
    http::async_write(
        socket_, response_,
        [self = shared_from_this(), closes = due.closes](error_code error, std::size_t) {
            if (!self->closed_) {
                self->on_written(error, closes);
            }
        });
}

void server_connection::on_written(error_code error, bool closes)
{
    writing_ = false;
    write_deadline_ = mono_time::max();
    response_ = http_response();
    pipeline_.sent();
    if (account_) {
        count_memory();
    }
    if (error) {
        close();
        return;
    }
    if (closes || (phase_ == phase::ended && pipeline_.empty())) {
        linger();
        return;
    }
    if (pipeline_.unanswered() && client_left()) {
        close();
        return;
    }
    start_calls();
    write_next();
    if (phase_ == phase::between) {
        read_next();
    }
    else if (phase_ == phase::held) {
        ask_for_body();
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
    error_code ignored; // the read below fails if the connection is gone
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    if (reading_) { // a request that timed out while the last response was written
        socket_.cancel(ignored);
    }
    // Not buffer_, as the read that was cancelled has not let go of it yet.
    auto const chunk = std::make_shared<std::array<char, linger_chunk_bytes>>();
    auto discard = [self = shared_from_this(), chunk](auto&& again) -> void {
        self->socket_.async_read_some(
            boost::asio::buffer(*chunk), [self, again](error_code failed, std::size_t size) {
                self->discarded_ += size;
                if (failed || self->closed_ || self->discarded_ > linger_bytes) {
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
    if (now >= write_deadline_ || (read_ahead_ && pipeline_.unanswered() && client_left())) {
        close();
    }
    else if (now >= deadline_) {
        bool const receives = phase_ == phase::header || phase_ == phase::body;
        if (receives) {
            end_input();
        }
        else {
            close();
        }
    }
}

void server_connection::refuse_unfinished()
{
    if (request_arrives()) {
        reject(http::status::service_unavailable);
    }
}

void server_connection::close_if_idle()
{
    if (phase_ == phase::between && pipeline_.empty() && !has_unread()) {
        close();
    }
}

std::optional<waiting_connection> server_connection::waiting() const
{
    if (!pipeline_.empty() || writing_ || !input_open()) {
        return std::nullopt;
    }
    std::size_t const body = reader_ && phase_ == phase::body ? reader_->held() : 0;
    return waiting_connection{waiting_since_, body + buffer_.size()};
}

server_debts server_connection::debts()
{
    int unacknowledged = 0;
    if (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) != 0) {
        unacknowledged = 0; // the connection has ended
    }
    std::size_t const unanswered = pipeline_.unanswered_calls();
    return {1, unanswered, pipeline_.size() - unanswered, static_cast<std::size_t>(unacknowledged)};
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
    std::vector<call_id> const cancelled = pipeline_.clear();
    for (call_id const call : cancelled) {
        server_.calls_.erase(call);
    }
    for (call_id const call : cancelled) {
        server_.hooks_.client_disconnected(call);
    }
}

} // namespace cove
