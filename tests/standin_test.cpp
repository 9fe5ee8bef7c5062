#include "net/caller_api.h"
#include "standin/standin_link_server.h"
#include "standin/standin_target_server.h"
#include "support/free_port.h"

#include <filesystem>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cove;

int const target_port = free_port();
int const link_port = free_port();

target_settings small_target(int port)
{
    target_settings settings;
    settings.name = "t";
    settings.address = "127.0.0.1:" + std::to_string(port);
    settings.service_time = milliseconds(50);
    settings.drain_grace = milliseconds(0);
    return settings;
}

httplib::Result post(int port, std::string const& operation, int timeout_ms = 2000)
{
    auto const client = make_http_client("127.0.0.1", port, seconds(2));
    return client->Post(caller_api::request_path,
                        {{caller_api::operation_header, operation},
                         {caller_api::class_header, "block"},
                         {caller_api::timeout_header, std::to_string(timeout_ms)}},
                        operation, "text/plain");
}

nlohmann::json load_of(int port)
{
    return nlohmann::json::parse(
        make_http_client("127.0.0.1", port, seconds(2))->Get("/load")->body);
}

TEST(standin_target_server, serves_queues_or_sheds_depending_on_slots)
{
    struct {
        char const* name;
        int slots;
        int queue;
        int answered;
    } const cases[] = {{"one slot", 1, 0, 1}, {"two slots", 2, 0, 2}, {"queue of one", 1, 1, 2}};
    for (auto const& c : cases) {
        target_settings settings = small_target(target_port);
        settings.slots = c.slots;
        settings.queue = c.queue;
        settings.service_time = milliseconds(300);
        standin_target_server target(settings, [] {});
        ASSERT_TRUE(target.start());
        std::atomic<int> answered = 0;
        std::atomic<int> shed = 0;
        {
            std::vector<std::jthread> callers;
            for (int i = 0; i < 3; ++i) {
                callers.emplace_back([&, i] {
                    auto const answer = post(target_port, std::to_string(i));
                    if (answer && answer->status == 200) {
                        EXPECT_EQ(answer->body, "t:" + std::to_string(i));
                        ++answered;
                    }
                    else if (answer && answer->has_header(caller_api::not_started_header)) {
                        ++shed;
                    }
                });
            }
        }
        EXPECT_EQ(answered, c.answered) << c.name;
        EXPECT_EQ(shed, 3 - c.answered) << c.name;
        target.drain();
    }
}

TEST(standin_target_server, journals_started_finished_and_cancelled_operations)
{
    target_settings settings = small_target(target_port);
    settings.journal =
        std::filesystem::temp_directory_path() / ("standin_test." + std::to_string(::getpid()));
    settings.service_time = milliseconds(200);
    standin_target_server target(settings, [] {});
    ASSERT_TRUE(target.start());
    EXPECT_EQ(post(target_port, "a")->status, 200);
    EXPECT_EQ(post(target_port, "b", 100)->status, 504);
    {
        auto const client = make_http_client("127.0.0.1", target_port, milliseconds(50));
        EXPECT_FALSE(client->Post(caller_api::request_path, {{caller_api::operation_header, "c"}},
                                  "", "text/plain"));
    }
    target.drain();
    auto const lines = read_journal_lines(settings.journal);
    ASSERT_TRUE(lines);
    std::vector<std::pair<std::string, journal_event>> events;
    for (journal_line const& line : *lines) {
        events.emplace_back(line.operation, line.event);
    }
    using enum journal_event;
    std::erase(events, std::pair<std::string, journal_event>("", leaving));
    EXPECT_EQ(events, (std::vector<std::pair<std::string, journal_event>>{{"a", started},
                                                                          {"a", finished},
                                                                          {"b", started},
                                                                          {"b", finished},
                                                                          {"c", started},
                                                                          {"c", cancelled}}));
    std::filesystem::remove(settings.journal);
}

TEST(standin_target_server, reports_load_and_health_as_set_by_admin_requests)
{
    target_settings settings = small_target(target_port);
    settings.slots = 4;
    standin_target_server target(settings, [] {});
    ASSERT_TRUE(target.start());
    auto const client = make_http_client("127.0.0.1", target_port, seconds(2));
    EXPECT_EQ(load_of(target_port)["in_flight"], 0);
    EXPECT_EQ(client->Post("/admin/report?load=full&healthy=false")->status, 200);
    EXPECT_EQ(load_of(target_port)["in_flight"], 4);
    EXPECT_EQ(client->Get("/health")->status, 503);
    EXPECT_EQ(client->Post("/admin/report?load=nonsense")->status, 400);
    EXPECT_EQ(client->Post("/admin/report?load=truth&healthy=true")->status, 200);
    EXPECT_EQ(load_of(target_port)["in_flight"], 0);
    EXPECT_EQ(client->Get("/health")->status, 200);
}

TEST(standin_target_server, completes_running_requests_on_drain)
{
    target_settings settings = small_target(target_port);
    settings.service_time = milliseconds(300);
    standin_target_server target(settings, [] {});
    ASSERT_TRUE(target.start());
    int status = 0;
    std::jthread caller([&] { status = post(target_port, "a")->status; });
    while (load_of(target_port)["in_flight"] == 0) {
        std::this_thread::sleep_for(milliseconds(1));
    }
    target.drain();
    caller.join();
    EXPECT_EQ(status, 200);
    EXPECT_FALSE(post(target_port, "b"));
}

TEST(standin_link_server, delays_bytes_and_holds_them_while_cut)
{
    standin_target_server target(small_target(target_port), [] {});
    ASSERT_TRUE(target.start());
    link_settings settings;
    settings.address = loopback(link_port);
    settings.to = loopback(target_port);
    settings.delay = milliseconds(20);
    standin_link_server link(settings);
    ASSERT_TRUE(link.start());
    mono_time const begin = read_clocks().mono;
    EXPECT_EQ(post(link_port, "a")->body, "t:a");
    EXPECT_GE(read_clocks().mono - begin, milliseconds(40));
    EXPECT_GT(link.bytes(), 0U);
    link.set_cut(true);
    std::atomic<bool> answered = false;
    std::jthread caller([&] {
        EXPECT_EQ(post(link_port, "b")->body, "t:b");
        answered = true;
    });
    std::this_thread::sleep_for(milliseconds(200));
    EXPECT_FALSE(answered);
    link.set_cut(false);
    caller.join();
    EXPECT_TRUE(answered);
}

} // namespace
