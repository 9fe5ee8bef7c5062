#include "load/job_queue.h"
#include "load/journal_check.h"
#include "load/load_run.h"
#include "net/caller_api.h"
#include "net/threaded_http_server.h"
#include "support/free_port.h"

#include <gtest/gtest.h>

namespace {

using namespace cove;

int const entry_port = free_port();
int const closed_port = free_port(); ///< never listened on; connections are refused

TEST(arrival_schedule, follows_the_profile_and_repeats_for_a_seed)
{
    std::vector<rate_step> const profile{{milliseconds(0), 100}, {milliseconds(5000), 1000}};
    arrival_schedule first(profile, seconds(10), 7);
    arrival_schedule second(profile, seconds(10), 7);
    int before = 0;
    int after = 0;
    microseconds last{};
    while (auto const at = first.next()) {
        EXPECT_EQ(second.next(), at);
        EXPECT_GE(*at, last);
        EXPECT_LT(*at, seconds(10));
        last = *at;
        ++(*at < seconds(5) ? before : after);
    }
    EXPECT_NEAR(before, 500, 100);
    EXPECT_NEAR(after, 5000, 350);
}

TEST(lookup_answer, reads_incarnations_as_number_and_as_hex)
{
    struct {
        char const* text;
        bool valid;
    } const cases[] = {
        {R"({"lifetime_s":5,"entry_hosts":[{"address":"127.0.0.1:1","incarnation":31,"period":2}]})",
         true},
        {R"({"lifetime_s":5,"entry_hosts":[{"address":"127.0.0.1:1","incarnation":"1f","period":2}]})",
         true},
        {R"({"lifetime_s":5,"entry_hosts":[{"address":"127.0.0.1:1","incarnation":"xy","period":2}]})",
         false},
        {R"({"lifetime_s":5,"entry_hosts":[]})", false},
        {R"({"entry_hosts":[]})", false},
        {R"([)", false},
    };
    for (auto const& c : cases) {
        auto const answer = parse_lookup_answer(c.text, "test");
        ASSERT_EQ(answer.has_value(), c.valid) << c.text;
        if (c.valid) {
            EXPECT_EQ(answer->hosts.front().incarnation.value, 31U) << c.text;
        }
    }
}

TEST(lookup_cache, looks_up_after_the_lifetime_and_keeps_a_stale_answer)
{
    lookup_cache cache;
    int lookups = 0;
    bool up = true;
    auto const look_up = [&]() -> result<lookup_answer> {
        ++lookups;
        if (!up) {
            return fail("lookup", "", "down");
        }
        return lookup_answer{{{"127.0.0.1:1", incarnation_id{1}, period_id{1}}}, seconds(5)};
    };
    mono_time const begin{seconds(100)};
    ASSERT_NE(cache.get(begin, look_up), nullptr);
    cache.get(begin + seconds(4), look_up);
    EXPECT_EQ(lookups, 1);
    up = false;
    EXPECT_NE(cache.get(begin + seconds(6), look_up), nullptr);
    EXPECT_EQ(lookups, 2);
}

operation_line make_operation_line(std::string operation, std::uint64_t intent, std::string outcome,
                                   bool idempotent = false)
{
    operation_line line;
    line.operation = std::move(operation);
    line.intent = intent;
    line.outcome = std::move(outcome);
    line.idempotent = idempotent;
    return line;
}

TEST(job_queue, earlier_job_is_taken_before_one_already_waited_for)
{
    struct timed_job {
        mono_time due{};
        int number = 0;
    };
    job_queue<timed_job> queue;
    mono_time const now = read_clocks().mono;
    queue.push({now + milliseconds(100), 2});
    std::vector<int> order;
    std::mutex mutex;
    std::vector<std::jthread> workers;
    for (int i = 0; i < 4; ++i) {
        workers.emplace_back([&] {
            while (auto const job = queue.pop()) {
                std::lock_guard const lock(mutex);
                order.push_back(job->number);
                if (order.size() == 2) {
                    queue.close();
                }
            }
        });
    }
    queue.push({now, 1});
    workers.clear();
    EXPECT_EQ(order, (std::vector<int>{1, 2}));
}

TEST(check_journals, finds_each_kind_of_violation)
{
    journal_line const started_a{"a", "c", journal_event::started, {}};
    journal_line const started_b{"b", "c", journal_event::started, {}};
    struct {
        char const* name;
        std::vector<operation_line> operations;
        std::vector<journal_line> journal;
        journal_check_result expected;
    } const cases[] = {
        {"clean",
         {make_operation_line("a", 1, "done"), make_operation_line("b", 2, "not_run")},
         {started_a},
         {}},
        {"lost", {make_operation_line("a", 1, "lost")}, {}, {.lost = 1}},
        {"doubled", {make_operation_line("a", 1, "done")}, {started_a, started_a}, {.doubled = 1}},
        {"idempotent operation repeated",
         {make_operation_line("a", 1, "done", true)},
         {started_a, started_a},
         {}},
        {"doubled by a retry under a new operation id",
         {make_operation_line("a", 1, "not_run"), make_operation_line("b", 1, "done")},
         {started_a, started_b},
         {.doubled = 1, .false_not_run = 1}},
        {"reported not_run but started",
         {make_operation_line("a", 1, "not_run")},
         {started_a},
         {.false_not_run = 1}},
        {"reported done but not started",
         {make_operation_line("a", 1, "done")},
         {},
         {.false_done = 1}},
        {"unknown", {make_operation_line("a", 1, "unknown")}, {started_a}, {.cut_off = 1}},
    };
    for (auto const& c : cases) {
        auto const check = check_journals(c.operations, c.journal);
        EXPECT_EQ(check.lost, c.expected.lost) << c.name;
        EXPECT_EQ(check.doubled, c.expected.doubled) << c.name;
        EXPECT_EQ(check.false_not_run, c.expected.false_not_run) << c.name;
        EXPECT_EQ(check.false_done, c.expected.false_done) << c.name;
        EXPECT_EQ(check.cut_off, c.expected.cut_off) << c.name;
    }
}

/** Entry host and look-up process in one; its look-up answer lists closed_port first. */
class fake_entry {
public:
    fake_entry(int port, httplib::Server::Handler const& answer)
        : address_("127.0.0.1:" + std::to_string(port)),
          server_(address_, [this, answer](httplib::Server& routes) {
              routes.Post(caller_api::request_path, answer);
              routes.Get(caller_api::lookup_path,
                         [this](httplib::Request const&, httplib::Response& response) {
                             response.set_content(R"({"lifetime_s":5,"entry_hosts":[)" +
                                                      named(loopback(closed_port)) + "," +
                                                      named(address_) + "]}",
                                                  "application/json");
                         });
          })
    {
        EXPECT_TRUE(server_.start());
    }

private:
    static std::string named(std::string const& address)
    {
        return R"({"address":")" + address + R"(","incarnation":"a","period":1})";
    }

    std::string address_;
    threaded_http_server server_;
};

load_settings small_run(std::string lookup)
{
    load_settings settings;
    settings.lookup_addresses = {std::move(lookup)};
    settings.classes = {{service_id{"kasa"}, class_id{"block"}, false, 1, milliseconds(500)}};
    settings.profile = {{milliseconds(0), 200}};
    settings.duration = milliseconds(200);
    settings.client_timeout = milliseconds(500);
    settings.threads = 4;
    return settings;
}

/** Every request needs a retry: the first entry host in the look-up answer refuses connections. */
TEST(load_run, classifies_answers_of_entry_hosts)
{
    struct {
        char const* name;
        std::function<void(httplib::Request const&, httplib::Response&)> answer;
        std::uint64_t load_counts::*all;
        bool wrong;
    } const cases[] = {
        {"done",
         [](httplib::Request const& request, httplib::Response& response) {
             response.set_header(caller_api::outcome_header, "done");
             response.set_content("t:" + request.body, "text/plain");
         },
         &load_counts::done, false},
        {"answer to another request",
         [](httplib::Request const& request, httplib::Response& response) {
             response.set_header(caller_api::outcome_header, "done");
             response.set_content("t:y" + request.body, "text/plain");
         },
         &load_counts::done, true},
        {"truncated answer",
         [](httplib::Request const& request, httplib::Response& response) {
             response.set_header(caller_api::outcome_header, "done");
             response.set_content("t:" + request.body.substr(0, 20), "text/plain");
         },
         &load_counts::done, true},
        {"refused",
         [](httplib::Request const&, httplib::Response& response) {
             response.set_header(caller_api::outcome_header, "not_run");
             response.status = caller_api::not_run_status;
         },
         &load_counts::not_run, false},
        {"no outcome", [](httplib::Request const&, httplib::Response&) {}, &load_counts::lost,
         false},
    };
    for (auto const& c : cases) {
        fake_entry const entry(entry_port, c.answer);
        auto const counts = load_run(small_run(loopback(entry_port))).run().counts;
        EXPECT_GT(counts.requests, 0U) << c.name;
        EXPECT_EQ(counts.*c.all, counts.requests) << c.name;
        EXPECT_EQ(counts.wrong_answer, c.wrong ? counts.requests : 0U) << c.name;
        EXPECT_GE(counts.retries, counts.requests) << c.name;
    }
}

TEST(load_run, keeps_operation_id_on_errors_and_uses_a_new_one_after_retry_after)
{
    std::mutex mutex;
    std::vector<std::string> ids;
    fake_entry const entry(
        entry_port, [&](httplib::Request const& request, httplib::Response& response) {
            std::lock_guard const lock(mutex);
            ids.push_back(request.get_header_value(caller_api::operation_header));
            response.set_header(caller_api::outcome_header, "not_run");
            response.set_header(caller_api::retry_after_ms_header, "10");
            response.status = caller_api::not_run_status;
        });
    load_settings settings = small_run(loopback(entry_port));
    settings.max_retries = 1;
    auto const counts = load_run(settings).run().counts;
    EXPECT_EQ(counts.new_operation_retries, counts.requests);
    std::ranges::sort(ids);
    EXPECT_EQ(std::unique(ids.begin(), ids.end()), ids.end());
    EXPECT_EQ(ids.size(), 2 * counts.requests);
    EXPECT_TRUE(ids.front().starts_with("a.1."));
}

} // namespace
