#pragma once
/** @file Sockets and HTTP/1.1 messages of the stand-ins; bodies have a Content-Length. */

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using std::chrono::milliseconds;
using clock = std::chrono::steady_clock;
using moment = clock::time_point;

/** @return whole ms from @p from to now. */
long ms_since(moment from);

void sleep_ms(long ms);

struct message {
    std::string start; ///< first line
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;

    /** @return the value of the field, in any case of letters; empty if it is absent. */
    [[nodiscard]] std::string field(std::string const& name) const;
    /** @return word @p number of the first line. */
    [[nodiscard]] std::string word(int number) const;
    [[nodiscard]] int status() const;
    [[nodiscard]] std::string text() const;
};

/** A connected socket; closed with the object. */
class connection {
public:
    explicit connection(int socket) : socket_(socket) {}
    ~connection();
    connection(connection&& other) noexcept;
    connection& operator=(connection&& other) noexcept;
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;

    /** Connects to @p port of @p ip; not open if that fails. */
    static connection to(std::string const& ip, int port, milliseconds timeout);

    [[nodiscard]] bool open() const { return socket_ >= 0; }
    [[nodiscard]] int socket() const { return socket_; }
    bool send(std::string const& bytes) const;
    /** @return the next message; nothing if the connection ends or the time is over. */
    std::optional<message> receive(milliseconds timeout);
    void close();

private:
    int socket_ = -1;
    std::string unread_;
};

/** @return a listening socket; negative if the address is in use. */
int listen_on(std::string const& ip, int port);

/** @return the first of @p count free ports in a row. */
int free_ports(int count);

/** Answers requests, each connection in a thread of its own. */
class server {
public:
    /** @return the answer; nothing closes the connection. */
    using handler = std::function<std::optional<message>(message const&)>;

    explicit server(handler answer) : answer_(std::move(answer)) {}
    ~server() { stop(); }
    server(server const&) = delete;
    server& operator=(server const&) = delete;
    server(server&&) = delete;
    server& operator=(server&&) = delete;

    bool start(std::string const& ip, int port);
    /** Closes the address and all connections. */
    void stop();

private:
    void accept_all();
    void serve(int socket);

    handler answer_;
    std::atomic<int> listening_{-1};
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::list<int> open_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

} // namespace stand
