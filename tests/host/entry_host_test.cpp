/** @file One whole entry host over loopback. */

#include "support/host_case.h"

#include <fstream>
#include <gtest/gtest.h>

namespace cove {
namespace {

/**
 * @return the template with null for each placeholder, which keeps it valid JSON.
 * @param with_sections whether the optional sections are rendered.
 */
std::string fill_in(std::string const& text, bool with_sections)
{
    std::string filled;
    for (std::size_t at = 0; at < text.size();) {
        if (text.compare(at, 2, "{{") != 0) {
            filled += text[at++];
            continue;
        }
        auto const end = text.find("}}", at) + 2;
        std::string const name = text.substr(at + 3, end - at - 5);
        if (text[at + 2] == '#') {
            at = with_sections ? end : text.find("{{/" + name + "}}", end) + name.size() + 5;
            continue;
        }
        filled += text[at + 2] == '/' ? "" : "null";
        at = end;
    }
    return filled;
}

// Guards against a setting that the deployment does not pass, and against a template that is no
// valid JSON when the deployment has no bound for an optional section.
TEST(host_settings, match_the_deployment_template)
{
    std::ifstream file(COVE_SOURCE_DIR "/deploy/settings.json");
    ASSERT_TRUE(file);
    std::string const text{std::istreambuf_iterator<char>(file), {}};
    auto const fields = nlohmann::json::parse(fill_in(text, true));
    auto const settings = nlohmann::json::parse(settings_text());
    for (auto const& [name, value] : settings.items()) {
        EXPECT_TRUE(fields.contains(name)) << name;
    }
    EXPECT_EQ(fields.size(), settings.size());
    auto const required = nlohmann::json::parse(fill_in(text, false));
    for (char const* const optional :
         {"key_withdrawal_max", "quota_window", "quota_overage", "quota_slack"}) {
        EXPECT_FALSE(required.contains(optional)) << optional;
    }
    EXPECT_EQ(required.size() + 4, settings.size());
}

TEST(host_settings, errors_name_the_setting)
{
    for (auto const& [field, value] :
         std::map<std::string, std::string>{{"grace", "6"},
                                            {"ip", "\"\""},
                                            {"regions", "[]"},
                                            {"client_address", "\"x\""},
                                            {"first_start", "1"},
                                            {"shift_cap", "-1"}}) {
        auto const read = host_settings_table().parse(settings_text(field, value), "boot.json");
        ASSERT_FALSE(read) << field;
        EXPECT_NE(to_string(read.error()).find("boot.json#/" + field), std::string::npos);
    }
    nlohmann::json missing = nlohmann::json::parse(settings_text());
    missing.erase("zone");
    auto const read = host_settings_table().parse(missing.dump(), "boot.json");
    ASSERT_FALSE(read);
    EXPECT_NE(to_string(read.error()).find("missing"), std::string::npos);
}

TEST_F(host_case, refuses_until_configured_and_ignores_older_configurations)
{
    auto const early = ask(client_address, "/new/1");
    EXPECT_EQ(early.response.result_int(), 503U);
    EXPECT_GT(early.response.count(boost::beast::http::field::retry_after), 0U);
    EXPECT_EQ(ask(ready_address, "/ready").response.result_int(), 503U);
    scripted_server target(loop, [](std::string const&) {
        return scripted_answer{served, connection_action::keep};
    });
    list({&target});
    configure(7, "/new/");
    configure(6, "/old/"); // an older version, as a stale read returns it
    EXPECT_EQ(status("/new/1"), 200U);
    EXPECT_EQ(status("/old/1"), 404U);
    EXPECT_EQ(ask(ready_address, "/ready").response.result_int(), 200U);
}

TEST_F(host_case, forwards_a_request_unchanged_except_for_its_own_fields)
{
    scripted_server target(loop, [](std::string const&) {
        return scripted_answer{served, connection_action::keep};
    });
    list({&target});
    configure(1, "/a/");
    auto const answer = ask(client_address, "/a/x%2Fy?q=1", "");
    EXPECT_EQ(answer.response.body(), "whole body");
    EXPECT_EQ(answer.response["Signature"], "s");
    ASSERT_EQ(target.request_heads.size(), 1U);
    std::string const& head = target.request_heads[0];
    EXPECT_EQ(head.find("PUT /a/x%2Fy?q=1 HTTP/1.1\r\n"), 0U) << head;
    EXPECT_NE(head.find("Expected: t0\r\n"), std::string::npos);
    EXPECT_NE(head.find("Attempt: a1\r\n"), std::string::npos);
    auto const at = head.find("Deadline: ");
    ASSERT_NE(at, std::string::npos);
    EXPECT_LE(std::stoi(head.substr(at + 10)), 1000); // the route's timeout less the time spent
}

struct target_case {
    char const* name;
    scripted_answer answer;
    bool idempotent;
    unsigned status;
    int arrivals; ///< requests received by both targets together
};

class host_and_targets : public host_case, public testing::WithParamInterface<target_case> {};

TEST_P(host_and_targets, map_the_targets_response_to_the_clients_status)
{
    int arrivals = 0;
    bool first = true;
    auto const script = [&](std::string const&) {
        ++arrivals;
        bool const bad = std::exchange(first, false);
        return bad ? GetParam().answer : scripted_answer{served, connection_action::keep};
    };
    scripted_server one(loop, script);
    scripted_server two(loop, script);
    list({&one, &two});
    configure(1, "/a/", GetParam().idempotent);
    EXPECT_EQ(status("/a/1"), GetParam().status);
    EXPECT_EQ(arrivals, GetParam().arrivals);
}

INSTANTIATE_TEST_SUITE_P(
    cases, host_and_targets,
    testing::Values(
        target_case{"shed",
                    {response("503 Busy", "Not-Run: 1\r\n"), connection_action::keep},
                    false,
                    200,
                    2},
        target_case{
            "wrong_target", {response("421 Other", ""), connection_action::keep}, false, 200, 2},
        target_case{
            "failed",
            {response("500 Failed", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            false,
            500,
            1},
        target_case{
            "failed_repeatable",
            {response("500 Failed", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            true,
            200,
            2},
        target_case{
            "unavailable_without_saying_not_run",
            {response("503 Failed", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            false,
            502,
            1},
        target_case{
            "too_many_without_saying_not_run",
            {response("429 Failed", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            false,
            502,
            1},
        target_case{
            "too_late_without_saying_not_run",
            {response("408 Failed", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            false,
            502,
            1},
        target_case{
            "misdirected_without_saying_not_run",
            {response("421 Failed", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            false,
            502,
            1},
        target_case{"wrong_target_that_signs",
                    {response("421 Other", "Attempt: a1\r\nSignature: s\r\nNot-Run: 1\r\n"),
                     connection_action::keep},
                    false,
                    200,
                    2},
        target_case{"answer_lost", {"", connection_action::reset}, false, 502, 1},
        target_case{"answer_lost_repeatable", {"", connection_action::reset}, true, 200, 2},
        target_case{
            "cut_short",
            {"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\nContent-Length: 99\r\n\r\nx",
             connection_action::close},
            false,
            502,
            1},
        target_case{"success_without_signature",
                    {response("200 OK", "Attempt: a1\r\n", "x"), connection_action::keep},
                    false,
                    502,
                    1},
        target_case{
            "encoded",
            {response("200 OK", "Attempt: a1\r\nSignature: s\r\nContent-Encoding: gzip\r\n", "x"),
             connection_action::keep},
            false,
            502,
            1},
        // Each of these guards against a status that is passed on or waited out until a time-out.
        target_case{
            "status_000",
            {response("000 Nothing", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            false,
            502,
            1},
        target_case{
            "status_000_repeatable",
            {response("000 Nothing", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            true,
            200,
            2},
        target_case{"status_099_without_id_or_end",
                    {"HTTP/1.1 099 Nothing\r\nContent-Length: 9\r\n\r\n", connection_action::keep},
                    false,
                    502,
                    1},
        target_case{
            "status_600",
            {response("600 Odd", "Attempt: a1\r\nSignature: s\r\n"), connection_action::keep},
            false,
            502,
            1},
        target_case{"status_999_that_says_not_run",
                    {response("999 Odd", "Attempt: a1\r\nSignature: s\r\nNot-Run: 1\r\n"),
                     connection_action::keep},
                    false,
                    502,
                    1},
        target_case{"silent", {"", connection_action::keep}, false, 504, 1}),
    [](auto const& info) { return info.param.name; });

TEST_F(host_case, refuses_with_retry_after_when_there_is_no_target)
{
    configure(1, "/a/");
    list({});
    auto const answer = ask(client_address, "/a/1");
    EXPECT_EQ(answer.response.result_int(), 503U);
    std::string const wait(answer.response["Retry-After"]);
    EXPECT_GT(std::stod(wait), 0);
    EXPECT_LT(std::stod(wait), 1.5);
}

TEST_F(host_case, does_not_send_to_a_target_removed_from_the_list)
{
    scripted_server target(loop, [](std::string const&) {
        return scripted_answer{served, connection_action::keep};
    });
    configure(1, "/a/");
    list({&target}, 1);
    EXPECT_EQ(status("/a/1"), 200U);
    store.targets_changed({position(1), position(2), {{target_id("t0"), std::nullopt}}});
    EXPECT_EQ(status("/a/2"), 503U);
    EXPECT_EQ(target.request_heads.size(), 1U);
}

TEST_F(host_case, applies_a_change_after_a_watch_without_events)
{
    // Such a watch still advances the revision, and the next change starts from the new one.
    scripted_server target(loop, [](std::string const&) {
        return scripted_answer{served, connection_action::keep};
    });
    configure(1, "/a/");
    list({&target}, 1);
    store.targets_changed({position(1), position(9), {}});
    store.targets_changed({position(9), position(10), {{target_id("t0"), std::nullopt}}});
    EXPECT_EQ(status("/a/1"), 503U);
}

TEST_F(host_case, serves_its_metrics)
{
    scripted_server target(loop, [](std::string const&) {
        return scripted_answer{served, connection_action::keep};
    });
    configure(7, "/a/");
    list({&target}, 9);
    EXPECT_EQ(status("/a/1"), 200U);
    auto const answer = ask(metrics_address, "/metrics");
    EXPECT_EQ(answer.response.result_int(), 200U);
    std::string const& text = answer.response.body();
    for (char const* const line :
         {"cove_config_version 7\n", "cove_targets_revision 9\n", "cove_targets 1\n",
          "cove_log_lines_left_out 0\n", "cove_open_sends 0\n",
          "cove_withdrawn_sends{reason=\"overdue\"} 0\n",
          "cove_withdrawn_sends{reason=\"cut_off\"} 0\n", "outcome=\"served\"",
          "cove_loop_delay_seconds_count ", "cove_request_unread_seconds_count 1\n",
          "cove_loop_work_seconds_count{kind=\"attempt_ended\"} 1\n"}) {
        EXPECT_NE(text.find(line), std::string::npos) << line << text;
    }
    EXPECT_EQ(ask(metrics_address, "/other").response.result_int(), 404U);
}

TEST_F(host_case, includes_itself_in_look_up_answers)
{
    configure(1, "/a/");
    list({});
    run_until(
        loop, [] { return false; }, 2 * host_view::tick_interval); // until its first report
    auto const answer = ask(directory_address, "/lookup");
    EXPECT_EQ(answer.response.result_int(), 200U);
    EXPECT_EQ(answer.response.body(), nlohmann::json({client_address}).dump());
}

TEST_F(host_case, completes_open_requests_after_sigterm)
{
    constexpr milliseconds response_delay{600};
    boost::asio::steady_timer finish(loop);
    std::optional<exchange_result> got;
    // The target sends the start of its response at once, the end after the SIGTERM.
    scripted_server target(loop, [&](std::string const&) {
        return scripted_answer{"HTTP/1.1 200 OK\r\nAttempt: a1\r\nSignature: s\r\n"
                               "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
                               connection_action::keep};
    });
    configure(1, "/a/");
    list({&target});
    auto const where = parse_address(client_address);
    auto const connection = std::make_shared<exchange_connection>(
        loop,
        http_endpoint(boost::asio::ip::make_address(where->ip),
                      static_cast<std::uint16_t>(where->port)),
        exchange_limits{});
    http_request request(boost::beast::http::verb::put, "/a/1", 11);
    request.set(boost::beast::http::field::host, "desk.example");
    request.set("Attempt", "a1");
    request.prepare_payload();
    connection->exchange(std::move(request), nullptr,
                         [&](exchange_result result) { got = std::move(result); });
    ASSERT_TRUE(run_until(loop, [&] { return target.request_heads.size() == 1; }));
    ::raise(SIGTERM);
    finish.expires_after(response_delay);
    finish.async_wait([&](boost::system::error_code) { target.send_to_all("0\r\n\r\n"); });
    ASSERT_TRUE(run_until(loop, [&] { return got.has_value(); }));
    EXPECT_EQ(got->response.result_int(), 200U) << got->detail;
    EXPECT_EQ(got->response.body(), "body");
    EXPECT_EQ(got->response[boost::beast::http::field::connection], "close");
    EXPECT_EQ(ask(ready_address, "/ready").response.result_int(), 503U);
}

} // namespace
} // namespace cove
