#include "http/exchange.h"

#include "core/address.h"
#include "http/status_type.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <cerrno>
#include <charconv>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace cove {

namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t max_read_bytes = 65'536; ///< in one call of the socket
/// A shorter response is not counted; most are.
constexpr std::uint64_t uncounted_bytes = 16'384;
/// A body that grows takes up to twice its bytes, and they are copied meanwhile.
constexpr std::uint64_t growth_factor = 2;
constexpr int probe_interval_s = 1; ///< between two keep-alive probes
constexpr int max_probes = 1;       ///< unanswered ones that end a connection

/** Sets an option of @p socket; one that fails leaves the defaults of the system. */
template <class Value>
void set_option(int socket, int level, int name, Value value)
{
    static_cast<void>(::setsockopt(socket, level, name, &value, sizeof value));
}

/** @return the error that @p socket has not reported yet, as errno; 0 if there is none. */
int pending_error(int socket)
{
    int error = 0;
    socklen_t size = sizeof error;
    return ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &size) == 0 ? error : errno;
}

/** @return whether the header is there with a status that no response has. */
bool has_invalid_status(http::response_parser<http::string_body> const& parser)
{
    if (!parser.is_header_done()) {
        return false;
    }
    unsigned const status = parser.get().result_int();
    return status < first_status || status > last_status;
}

/** Limits the time for which a connection that has fallen silent is kept, with or without data. */
void limit_silence(int socket, exchange_limits const& limits)
{
    // TCP_USER_TIMEOUT also decides when the probes give up, whatever their count.
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT,
               static_cast<unsigned>(limits.tcp_user_timeout.count()));
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, static_cast<int>(limits.probe_idle.count()));
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, max_probes);
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
}

} // namespace

http_endpoint endpoint_of(std::string const& address)
{
    auto const parsed = parse_address(address);
    boost::system::error_code error;
    auto const ip = boost::asio::ip::make_address(parsed ? parsed->ip : "", error);
    return {ip, static_cast<std::uint16_t>(parsed ? parsed->port : 0)};
}

exchange_connection::exchange_connection(boost::asio::io_context& loop, http_endpoint peer,
                                         exchange_limits limits)
    : socket_(loop), peer_(std::move(peer)), limits_(std::move(limits)),
      buffer_(limits_.header_bytes)
{
}

void exchange_connection::exchange(http_request request, response_matcher match, handler done,
                                   condition wanted, std::shared_ptr<std::string> body)
{
    body_ = body ? std::move(body) : std::make_shared<std::string>(std::move(request.body()));
    request_.base() = std::move(request.base());
    request_.body() = {body_->data(), body_->size()};
    match_ = std::move(match);
    done_ = std::move(done);
    wanted_ = std::move(wanted);
    sent_ = false;
    reusable_ = false;
    received_ = 0;
    if (connected_) {
        send();
        return;
    }
    connect([self = shared_from_this()](error_code error) {
        if (error) {
            self->finish({exchange_outcome::connect_failed, {}, error.message()});
            return;
        }
        self->reusable_ = false;
        self->send();
    });
}

void exchange_connection::connect(connect_handler done)
{
    connect_started_ = read_clocks().mono;
    socket_.async_connect(
        peer_, [self = shared_from_this(), done = std::move(done)](error_code error) {
            if (self->closed_) {
                return;
            }
            if (error) {
                done(error);
                return;
            }
            self->connect_time_ = read_clocks().mono - self->connect_started_;
            error_code ignored; // both options only save time; a dead socket fails on write
            self->socket_.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
            limit_silence(self->socket_.native_handle(), self->limits_);
            self->connected_ = true;
            self->reusable_ = true;
            done(error);
        });
}

void exchange_connection::give_up_connecting()
{
    if (!connected_ && !closed_) {
        exchange_result result{exchange_outcome::connect_failed, {}, "no reply in time"};
        result.connect_timed_out = true;
        finish(std::move(result));
    }
}

void exchange_connection::send()
{
    if (wanted_ && !wanted_()) {
        reusable_ = true;
        finish({exchange_outcome::withdrawn, {}, "the request is not wanted any more"});
        return;
    }
    sending_ = true;
    http::async_write(socket_, request_,
                      [self = shared_from_this()](error_code error, std::size_t) {
                          // After a failed write, an early response may still arrive.
                          self->sent_ = !error;
                      });
    read();
}

void exchange_connection::read()
{
    parser_.emplace();
    parser_->header_limit(limits_.header_bytes);
    parser_->body_limit(limits_.body_bytes);
    if (request_.method() == http::verb::head) {
        parser_->skip(true);
    }
    folded_lines_ = {};
    if (buffer_.size() == 0) {
        read_some();
        return;
    }
    // In the next turn of the loop, as there may be many short responses to other requests.
    boost::asio::post(socket_.get_executor(),
                      [self = shared_from_this()] { self->process({}, self->buffer_.size()); });
}

/** Reads more bytes of the response. */
void exchange_connection::read_some()
{
    auto const size = boost::beast::read_size(buffer_, max_read_bytes);
    socket_.async_read_some(buffer_.prepare(size),
                            [self = shared_from_this()](error_code error, std::size_t got) {
                                if (!self->closed_) {
                                    self->count_received(got);
                                    self->process(error, got);
                                }
                            });
}

void exchange_connection::count_received(std::size_t size)
{
    buffer_.commit(size);
    received_ += size;
    last_received_ = read_clocks().mono;
    account_for_received();
}

/**
 * Takes the result of a read; limits all bytes of a response, framing and trailers included.
 * @param added number of bytes at the end of the buffer that were not parsed before.
 */
void exchange_connection::process(error_code error, std::size_t added)
{
    if (closed_) {
        return; // by its owner, or as all responses together take too much memory
    }
    if (!error && received_ > limits_.header_bytes + limits_.body_bytes) {
        error = http::error::body_limit;
    }
    if (!error) {
        error = parse(added);
    }
    else if (error == boost::asio::error::eof) {
        error = end_of_stream();
    }
    if (has_invalid_status(*parser_)) {
        finish({exchange_outcome::broken, {}, "invalid status"});
        return;
    }
    if (!error && !parser_->is_done()) {
        read_some();
        return;
    }
    on_response(error);
}

/** Parses the buffer. @return the error of an invalid response; none if it is valid so far. */
error_code exchange_connection::parse(std::size_t added)
{
    std::string_view const bytes(static_cast<char const*>(buffer_.data().data()), buffer_.size());
    if (folded_lines_.take(bytes.substr(bytes.size() - added))) {
        return http::error::bad_field;
    }
    error_code error;
    while (!error && buffer_.size() > 0 && !parser_->is_done()) {
        buffer_.consume(parser_->put(buffer_.data(), error));
    }
    if (error == http::error::need_more) {
        error = buffer_.size() < buffer_.max_size() ? error_code() : http::error::buffer_overflow;
    }
    return error;
}

/** Takes the end of the stream. @return the error if the response is incomplete. */
error_code exchange_connection::end_of_stream()
{
    error_code error = http::error::end_of_stream;
    if (parser_->got_some()) {
        parser_->put_eof(error);
    }
    return error;
}

/** Counts the bytes of the response; a response that takes too much ends as broken. */
void exchange_connection::account_for_received()
{
    if (!limits_.memory || gives_up_ || received_ <= uncounted_bytes) {
        return;
    }
    if (!held_) {
        held_ = limits_.memory->join([weak = weak_from_this()] {
            if (auto const self = weak.lock()) {
                self->held_.reset();
                self->give_up_response();
            }
        });
    }
    limits_.memory->hold(*held_, growth_factor * received_);
}

/** In the next turn of the loop, as the owner may be at work on another request. */
void exchange_connection::give_up_response()
{
    gives_up_ = true;
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        if (self->gives_up_) {
            self->finish(
                {exchange_outcome::broken, {}, "the responses under way take too much memory"});
        }
    });
}

void exchange_connection::release_memory()
{
    if (held_) {
        limits_.memory->leave(*held_);
        held_.reset();
    }
}

/**
 * @return whether the peer closed the connection, as opposed to resetting it. A reset is reported
 * once: if the write has got the error, the read sees an ordinary end of the stream.
 */
bool exchange_connection::closed_cleanly()
{
    return sent_ && pending_error(socket_.native_handle()) == 0;
}

void exchange_connection::on_response(error_code error)
{
    if (error) {
        bool const cut_short =
            error == http::error::end_of_stream || error == http::error::partial_message;
        bool const invalid = error.category() == make_error_code(http::error::bad_value).category();
        finish({exchange_outcome::broken, {}, error.message(), cut_short || !invalid});
        return;
    }
    if (parser_->need_eof() && !closed_cleanly()) {
        finish({exchange_outcome::broken,
                {},
                "the connection broke in a response without length",
                true});
        return;
    }
    bool const keep_alive = parser_->get().keep_alive();
    http_response response = parser_->release();
    if (response.result_int() < first_final_status) {
        read();
        return;
    }
    if (match_ && match_(response) == response_match::other_request) {
        if (!keep_alive) {
            finish({exchange_outcome::broken,
                    {},
                    "peer closed the connection after a response to another request"});
            return;
        }
        read();
        return;
    }
    parse_keep_alive(response);
    reusable_ = keep_alive && sent_ && buffer_.size() == 0;
    if (reusable_) { // an idle connection holds no body and no large buffer
        parser_.reset();
        body_.reset();
        request_.body() = {};
        buffer_.shrink_to_fit();
    }
    finish({exchange_outcome::answered, std::move(response), {}});
}

void exchange_connection::parse_keep_alive(http_response const& response)
{
    constexpr std::string_view key = "timeout=";
    auto const text = response[http::field::keep_alive];
    std::string_view const value(text.data(), text.size());
    auto const at = value.find(key);
    if (at == std::string_view::npos) {
        return;
    }
    int number = 0;
    auto const* first = value.data() + at + key.size();
    if (std::from_chars(first, value.data() + value.size(), number).ec == std::errc{}) {
        keep_alive_ = seconds(number);
    }
}

void exchange_connection::finish(exchange_result result)
{
    release_memory();
    gives_up_ = false;
    auto const done = std::move(done_);
    done_ = nullptr;
    match_ = nullptr;
    wanted_ = nullptr;
    if (result.outcome != exchange_outcome::answered &&
        result.outcome != exchange_outcome::withdrawn) {
        close();
    }
    sending_ = false;
    if (done) {
        done(std::move(result));
    }
}

void exchange_connection::close()
{
    closed_ = true;
    gives_up_ = false;
    release_memory();
    done_ = nullptr;
    match_ = nullptr;
    wanted_ = nullptr;
    error_code ignored; // a socket that the peer has reset may fail to close
    if (sending_) {
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    }
    sending_ = false;
    socket_.close(ignored);
}

bool exchange_connection::usable()
{
    if (closed_ || !connected_ || !reusable_) {
        return false;
    }
    char byte = 0;
    auto const got = ::recv(socket_.native_handle(), &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
    // Readable means end of stream or bytes that belong to no request.
    return got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

} // namespace cove
