#include "wire.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

namespace stand {

namespace {

constexpr int backlog = 512;
constexpr std::size_t read_bytes = 16'384;
constexpr long server_read_ms = 120'000;

sockaddr_in address_of(std::string const& ip, int port)
{
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<std::uint16_t>(port));
    ::inet_pton(AF_INET, ip.c_str(), &out.sin_addr);
    return out;
}

bool ready(int socket, short events, long timeout_ms)
{
    pollfd state{socket, events, 0};
    return ::poll(&state, 1, static_cast<int>(std::max(0L, timeout_ms))) > 0;
}

bool same_name(std::string const& a, std::string const& b)
{
    return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](unsigned char x, unsigned char y) {
        return std::tolower(x) == std::tolower(y);
    });
}

message parse_head(std::string const& head)
{
    message out;
    std::istringstream lines(head);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r') {
            line.pop_back();
        }
        if (out.start.empty()) {
            out.start = line;
            continue;
        }
        auto const colon = line.find(':');
        if (colon != std::string::npos) {
            auto const value = line.find_first_not_of(' ', colon + 1);
            out.fields.emplace_back(line.substr(0, colon),
                                    value == std::string::npos ? "" : line.substr(value));
        }
    }
    return out;
}

void no_delay(int socket)
{
    int const on = 1;
    ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

long ms_since(moment from)
{
    return static_cast<long>(std::chrono::duration_cast<milliseconds>(clock::now() - from).count());
}

void sleep_ms(long ms)
{
    std::this_thread::sleep_for(milliseconds(ms));
}

std::string message::field(std::string const& name) const
{
    for (auto const& [key, value] : fields) {
        if (same_name(key, name)) {
            return value;
        }
    }
    return {};
}

std::string message::word(int number) const
{
    std::istringstream words(start);
    std::string out;
    for (int i = 0; i <= number; ++i) {
        out.clear();
        words >> out;
    }
    return out;
}

int message::status() const
{
    return std::atoi(word(1).c_str());
}

std::string message::text() const
{
    std::string out = start + "\r\n";
    for (auto const& [key, value] : fields) {
        out.append(key).append(": ").append(value).append("\r\n");
    }
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

connection::~connection()
{
    close();
}

connection::connection(connection&& other) noexcept
    : socket_(std::exchange(other.socket_, -1)), unread_(std::move(other.unread_))
{
}

connection& connection::operator=(connection&& other) noexcept
{
    if (this != &other) {
        close();
        socket_ = std::exchange(other.socket_, -1);
        unread_ = std::move(other.unread_);
    }
    return *this;
}

void connection::close()
{
    if (socket_ >= 0) {
        static_cast<void>(::close(std::exchange(socket_, -1)));
    }
    unread_.clear();
}

connection connection::to(std::string const& ip, int port, milliseconds timeout)
{
    connection out(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
    auto const address = address_of(ip, port);
    int const done =
        ::connect(out.socket_, reinterpret_cast<sockaddr const*>(&address), sizeof address);
    int error = done == 0 ? 0 : errno;
    if (error == EINPROGRESS && ready(out.socket_, POLLOUT, timeout.count())) {
        socklen_t size = sizeof error;
        ::getsockopt(out.socket_, SOL_SOCKET, SO_ERROR, &error, &size);
    }
    if (error != 0) {
        out.close();
        return out;
    }
    ::fcntl(out.socket_, F_SETFL, ::fcntl(out.socket_, F_GETFL) & ~O_NONBLOCK);
    no_delay(out.socket_);
    return out;
}

bool connection::send(std::string const& bytes) const
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        auto const size = ::send(socket_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::optional<message> connection::receive(milliseconds timeout)
{
    moment const began = clock::now();
    std::optional<message> out;
    std::size_t body = 0;
    while (true) {
        auto const end = out ? std::string::npos : unread_.find("\r\n\r\n");
        if (end != std::string::npos) {
            out = parse_head(unread_.substr(0, end));
            unread_.erase(0, end + 4);
            body = static_cast<std::size_t>(std::atol(out->field("Content-Length").c_str()));
        }
        if (out && unread_.size() >= body) {
            out->body = unread_.substr(0, body);
            unread_.erase(0, body);
            return out;
        }
        std::array<char, read_bytes> part{};
        if (!ready(socket_, POLLIN, timeout.count() - ms_since(began))) {
            return std::nullopt;
        }
        auto const size = ::recv(socket_, part.data(), part.size(), 0);
        if (size <= 0) {
            return std::nullopt;
        }
        unread_.append(part.data(), static_cast<std::size_t>(size));
    }
}

int listen_on(std::string const& ip, int port)
{
    int const socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto const address = address_of(ip, port);
    if (::bind(socket, reinterpret_cast<sockaddr const*>(&address), sizeof address) != 0 ||
        ::listen(socket, backlog) != 0) {
        static_cast<void>(::close(socket));
        return -1;
    }
    return socket;
}

int free_ports(int count)
{
    constexpr int first = 13'000;
    constexpr int last = 31'000; // below the ports of outgoing connections
    int const blocks = (last - first) / count;
    for (int i = 0; i < blocks; ++i) {
        int const begin = first + (static_cast<int>(::getpid()) + i) % blocks * count;
        int free = 0;
        while (free < count) {
            int const socket = listen_on("0.0.0.0", begin + free);
            if (socket < 0) {
                break;
            }
            static_cast<void>(::close(socket));
            ++free;
        }
        if (free == count) {
            return begin;
        }
    }
    return 0;
}

bool server::start(std::string const& ip, int port)
{
    stopping_ = false;
    listening_ = listen_on(ip, port);
    if (listening_ < 0) {
        return false;
    }
    acceptor_ = std::thread([this] { accept_all(); });
    return true;
}

void server::accept_all()
{
    while (!stopping_) {
        constexpr long look_ms = 20;
        if (!ready(listening_, POLLIN, look_ms)) {
            continue;
        }
        int const socket = ::accept4(listening_, nullptr, nullptr, SOCK_CLOEXEC);
        if (socket < 0) {
            continue;
        }
        no_delay(socket);
        std::lock_guard const lock(mutex_);
        open_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void server::serve(int socket)
{
    connection client(socket);
    while (!stopping_) {
        auto const request = client.receive(milliseconds(server_read_ms));
        if (!request) {
            break;
        }
        auto const answer = answer_(*request);
        if (!answer || !client.send(answer->text())) {
            break;
        }
    }
    std::lock_guard const lock(mutex_);
    open_.remove(socket);
    client.close();
}

void server::stop()
{
    if (!acceptor_.joinable()) {
        return;
    }
    stopping_ = true;
    acceptor_.join();
    static_cast<void>(::close(listening_.exchange(-1)));
    std::vector<std::thread> threads;
    {
        std::lock_guard const lock(mutex_);
        for (int const socket : open_) {
            ::shutdown(socket, SHUT_RDWR);
        }
        threads.swap(threads_);
    }
    for (std::thread& each : threads) {
        each.join();
    }
}

} // namespace stand
