#include "entry/entry_process.h"
#include "net/caller_api.h"
#include "support/free_port.h"

#include <arpa/inet.h>
#include <filesystem>
#include <fstream>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

namespace {

using namespace cove;

int const caller_port = free_port();
int const peer_port = free_port();
int const publish_port = free_port();
int const target_port = free_port();

/** A target that reads one request per connection and responds with a function of the test. */
class scripted_target {
public:
    /** @param respond called with the connected socket and the text of the request. */
    explicit scripted_target(std::function<void(int, std::string const&)> respond)
        : respond_(std::move(respond)), listener_(::socket(AF_INET, SOCK_STREAM, 0))
    {
        int const on = 1;
        setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(target_port);
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        EXPECT_EQ(::bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof name), 0);
        EXPECT_EQ(::listen(listener_, 64), 0);
        thread_ = std::jthread([this] { run(); });
    }

    ~scripted_target()
    {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        ::close(listener_);
    }

    scripted_target(scripted_target const&) = delete;
    scripted_target& operator=(scripted_target const&) = delete;
    scripted_target(scripted_target&&) = delete;
    scripted_target& operator=(scripted_target&&) = delete;

private:
    void run()
    {
        std::vector<std::jthread> connections;
        for (int socket = 0; (socket = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            connections.emplace_back([this, socket] {
                std::string text;
                std::array<char, 4096> buffer{};
                while (!text.ends_with("#")) { // every request body of these tests ends with #
                    ssize_t const got = ::recv(socket, buffer.data(), buffer.size(), 0);
                    if (got <= 0) {
                        break;
                    }
                    text.append(buffer.data(), static_cast<std::size_t>(got));
                }
                respond_(socket, text);
                ::close(socket);
            });
        }
    }

    std::function<void(int, std::string const&)> respond_;
    int listener_;
    std::jthread thread_;
};

void send_text(int socket, std::string const& text)
{
    ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
}

std::string body_of(std::string const& request)
{
    return request.substr(request.find("\r\n\r\n") + 4);
}

void echo(int socket, std::string const& request)
{
    std::string const body = body_of(request);
    send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                          "\r\nConnection: close\r\n\r\n" + body);
}

/** One entry host with one target. */
class entry_fixture : public testing::Test {
protected:
    entry_fixture()
    {
        directory_ =
            std::filesystem::temp_directory_path() / ("entry_test." + std::to_string(::getpid()));
        std::filesystem::create_directories(directory_);
        write(
            "hosts",
            R"({"version":1,"entry_hosts":[{"id":"n","zone":"z","caller_address":
)"
            "\"" +
                loopback(caller_port) + R"(","peer_address":")" + loopback(peer_port) +
                R"(","state":"live"}],"targets":[{"id":"t","service":"s","zone":"z","address":")" +
                loopback(target_port) + R"(","state":"live"}]})");
        write("config", R"({"name":"d","regions":["r"],"zones":[{"id":"z","region":"r"}],"services":
[{"id":"s","slots":8,"connections":100,"classes":[{"id":"once","idempotent":false,"priority":0,
"deadline_ms":700}]}]})");
        entry_ = std::make_unique<entry_process>(make_settings(), incarnation_id{10}, 1);
        EXPECT_TRUE(entry_->start());
    }

    void TearDown() override
    {
        entry_.reset();
        std::filesystem::remove_all(directory_);
    }

    static httplib::Result send_request(std::string const& nonce)
    {
        return make_http_client("127.0.0.1", caller_port, seconds(5))
            ->Post(caller_api::request_path,
                   {{caller_api::service_header, "s"},
                    {caller_api::class_header, "once"},
                    {caller_api::operation_header, "a.1." + nonce}},
                   "body " + nonce + "#", "text/plain");
    }

    /** Stops the entry process; all callers have been answered when it returns. */
    void stop() { entry_->stop(); }

private:
    [[nodiscard]] entry_settings make_settings() const
    {
        entry_settings settings;
        settings.node = "n";
        settings.zone = "z";
        settings.caller_address = loopback(caller_port);
        settings.peer_address = loopback(peer_port);
        settings.publish_address = loopback(publish_port);
        settings.config_file = directory_ / "config";
        settings.host_list_file = directory_ / "hosts";
        return settings;
    }

    void write(char const* name, std::string const& text) const
    {
        std::ofstream(directory_ / name) << text;
    }

    std::filesystem::path directory_;
    std::unique_ptr<entry_process> entry_;
};

/** Waits until the entry host is a member of its own view and serves requests. */
void wait_until_serving(std::function<httplib::Result(std::string const&)> const& send_request)
{
    for (int i = 0; i < 200; ++i) {
        auto const answer = send_request("f" + std::to_string(i));
        if (answer && answer->get_header_value(caller_api::outcome_header) == "done") {
            return;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    FAIL() << "the entry host served no request within 200 attempts";
}

TEST_F(entry_fixture, outcome_depends_on_how_the_target_responds)
{
    {
        scripted_target const good(echo);
        wait_until_serving(send_request);
    }
    struct {
        char const* name;
        std::function<void(int, std::string const&)> respond;
        char const* outcome;
    } const cases[] = {
        {"whole answer", echo, "done"},
        {"closes before the first byte", [](int, std::string const&) {}, "unknown"},
        {"closes after half of the head",
         [](int socket, std::string const&) { send_text(socket, "HTTP/1.1 200 OK\r\nContent-Le"); },
         "unknown"},
        {"closes after half of the body",
         [](int socket, std::string const&) {
             send_text(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\nhalf");
         },
         "unknown"},
        {"resets in a body without length",
         [](int socket, std::string const&) {
             send_text(socket, "HTTP/1.1 200 OK\r\n\r\nhalf");
             linger const at_once{1, 0};
             setsockopt(socket, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
         },
         "unknown"},
        {"status 000",
         [](int socket, std::string const&) {
             send_text(socket, "HTTP/1.1 000 Odd\r\nContent-Length: 3\r\n\r\nodd");
         },
         "unknown"},
        {"status 999",
         [](int socket, std::string const&) {
             send_text(socket, "HTTP/1.1 999 Odd\r\nContent-Length: 3\r\n\r\nodd");
         },
         "unknown"},
        {"blank in the name of a field",
         [](int socket, std::string const&) {
             send_text(socket, "HTTP/1.1 200 OK\r\nContent Length: 3\r\n\r\nodd and more");
         },
         "unknown"},
        {"blank before the name of a field",
         [](int socket, std::string const&) {
             send_text(socket,
                       "HTTP/1.1 200 OK\r\nOdd: x\r\n Content-Length: 3\r\n\r\nodd and more");
         },
         "unknown"},
        {"control byte in the name of a field",
         [](int socket, std::string const&) {
             send_text(socket, "HTTP/1.1 200 OK\r\nContent\x01Length: 3\r\n\r\nodd and more");
         },
         "unknown"},
        {"sheds",
         [](int socket, std::string const&) {
             send_text(socket,
                       "HTTP/1.1 503 Full\r\nCove-Not-Started: true\r\nContent-Length: 0\r\n"
                       "Connection: close\r\n\r\n");
         },
         "not_run"},
        {"slower than the deadline",
         [](int socket, std::string const& request) {
             std::this_thread::sleep_for(milliseconds(1500));
             echo(socket, request);
         },
         "unknown"},
    };
    int nonce = 100;
    for (auto const& c : cases) {
        scripted_target const target(c.respond);
        std::string const id = std::to_string(++nonce);
        auto const answer = send_request(id);
        ASSERT_TRUE(answer) << c.name;
        EXPECT_EQ(answer->get_header_value(caller_api::outcome_header), c.outcome) << c.name;
        if (answer->status == 200) {
            EXPECT_EQ(answer->body, "body " + id + "#") << c.name;
        }
        else {
            EXPECT_TRUE(answer->has_header(caller_api::step_header)) << c.name;
        }
    }
}

TEST_F(entry_fixture, concurrent_callers_get_the_answers_to_their_own_requests)
{
    std::atomic<int> order = 0;
    scripted_target const target([&](int socket, std::string const& request) {
        // Later requests finish first.
        std::this_thread::sleep_for(milliseconds(100 - 12 * (order++ % 8)));
        echo(socket, request);
    });
    wait_until_serving(send_request);
    std::vector<std::jthread> callers;
    for (int i = 0; i < 8; ++i) {
        callers.emplace_back([i] {
            std::string const id = std::to_string(200 + i);
            auto const answer = send_request(id);
            ASSERT_TRUE(answer);
            EXPECT_EQ(answer->body, "body " + id + "#");
        });
    }
}

TEST_F(entry_fixture, stop_completes_requests_and_closes_idle_connections)
{
    std::atomic<bool> arrived = false;
    scripted_target const target([&](int socket, std::string const& request) {
        if (body_of(request) == "body 300#") {
            arrived = true;
            std::this_thread::sleep_for(milliseconds(400));
        }
        echo(socket, request);
    });
    wait_until_serving(send_request);
    auto const idle = make_http_client("127.0.0.1", caller_port, seconds(5));
    EXPECT_TRUE(idle->Get(caller_api::metrics_path));
    std::jthread caller([] {
        auto const answer = send_request("300");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->body, "body 300#");
        EXPECT_EQ(answer->get_header_value("Connection"), "close");
    });
    while (!arrived) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    stop();
    caller.join();
    EXPECT_FALSE(idle->Get(caller_api::metrics_path));
}

TEST_F(entry_fixture, cancelled_request_is_answered_without_waiting_for_the_target)
{
    std::atomic<bool> arrived = false;
    scripted_target const target([&](int socket, std::string const& request) {
        if (body_of(request) == "body 400#") {
            arrived = true;
            std::this_thread::sleep_for(milliseconds(400));
        }
        echo(socket, request);
    });
    wait_until_serving(send_request);
    std::jthread caller([] {
        auto const answer = send_request("400");
        ASSERT_TRUE(answer);
        EXPECT_EQ(answer->get_header_value(caller_api::outcome_header), "unknown");
        EXPECT_EQ(answer->body, "the caller cancelled\n");
    });
    while (!arrived) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    auto const client = make_http_client("127.0.0.1", caller_port, seconds(5));
    auto const cancelled =
        client->Post(caller_api::cancel_path, {{caller_api::operation_header, "a.1.400"}}, "", "");
    ASSERT_TRUE(cancelled);
    EXPECT_EQ(cancelled->body, R"({"cancelled":1})");
    EXPECT_EQ(client->Post(caller_api::cancel_path)->status, caller_api::bad_request_status);
    stop();
}

} // namespace
