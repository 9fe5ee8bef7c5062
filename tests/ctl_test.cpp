#include "config/config_check.h"
#include "config/config_json.h"
#include "config/sample.h"
#include "ctl/ctl_command.h"
#include "ctl/submit.h"
#include "local_store.h"
#include "store/store_api.h"

#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace {

using namespace cove;

/** @return a submit of the sample deployment with @p slots slots in its first service. */
submit_request request_of(int slots, std::uint64_t base, std::string id)
{
    submit_request out{sample_deployment(), generation{base}, std::move(id)};
    out.config.services[0].slots = slots;
    normalize(out.config);
    return out;
}

struct submit_fixture : testing::Test {
    local_store local;
    object_client client{local.address(), milliseconds(300)};
    std::function<void()> pause = [] {};
    submitter operator_a{client, 3, [this] { pause(); }};
};

TEST_F(submit_fixture, generations_increase_and_identical_content_is_unchanged)
{
    EXPECT_EQ(operator_a.submit(request_of(1, 0, "a")).number.value, 1U);
    EXPECT_EQ(operator_a.submit(request_of(2, 1, "b")).number.value, 2U);
    auto const again = operator_a.submit(request_of(2, 0, "c"));
    EXPECT_EQ(again.verdict, submit_verdict::unchanged);
    EXPECT_EQ(again.number.value, 2U);
    EXPECT_EQ(read_current(client)->manifest.submit_id, "b");
    EXPECT_EQ(read_generation(client, generation{1})->submit_id, "a");
    EXPECT_EQ(read_configuration(client, read_current(client)->manifest)->services[0].slots, 2);
}

TEST_F(submit_fixture, conflict_reports_changes_since_the_base_generation)
{
    ASSERT_EQ(operator_a.submit(request_of(1, 0, "a")).verdict, submit_verdict::accepted);
    ASSERT_EQ(operator_a.submit(request_of(2, 1, "b")).verdict, submit_verdict::accepted);
    auto const lost = operator_a.submit(request_of(3, 1, "c"));
    EXPECT_EQ(lost.verdict, submit_verdict::conflict);
    EXPECT_EQ(lost.changes, std::vector<std::string>{"~ services desk slots: 1 -> 2"});
    EXPECT_EQ(read_current(client)->manifest.submit_id, "b");
}

TEST_F(submit_fixture, only_one_of_two_concurrent_submits_is_accepted)
{
    object_client other_client{local.address(), milliseconds(300)};
    submitter operator_b{other_client, 3, [] {}};
    for (std::uint64_t base = 0; base < 20; ++base) {
        submit_report second;
        std::jthread concurrent_submit([&] {
            second = operator_b.submit(request_of(1000 + static_cast<int>(base), base, "b"));
        });
        auto const first = operator_a.submit(request_of(1 + static_cast<int>(base), base, "a"));
        concurrent_submit.join();
        bool const first_won = first.verdict == submit_verdict::accepted;
        EXPECT_EQ(second.verdict, first_won ? submit_verdict::conflict : submit_verdict::accepted);
        EXPECT_EQ(read_current(client)->manifest.submit_id, first_won ? "a" : "b");
        EXPECT_EQ(read_current(client)->manifest.number.value, base + 1);
    }
}

TEST_F(submit_fixture, write_after_a_concurrent_submit_is_a_conflict)
{
    object_client other_client{local.address(), milliseconds(300)};
    submitter operator_b{other_client, 3, [] {}};
    submit_report second;
    local.store.set_write_hook([&](std::string const&) {
        local.store.set_write_hook({});
        second = operator_b.submit(request_of(2, 0, "b"));
    });
    auto const first = operator_a.submit(request_of(1, 0, "a"));
    EXPECT_EQ(first.verdict, submit_verdict::conflict);
    EXPECT_EQ(second.verdict, submit_verdict::accepted);
    EXPECT_EQ(read_current(client)->manifest.submit_id, "b");
    EXPECT_EQ(read_current(client)->manifest.number.value, 1U);
}

TEST_F(submit_fixture, verdict_matches_the_stored_generation_under_faults)
{
    struct {
        char const* name = "";
        store_faults during;
        submit_verdict verdict = submit_verdict::accepted;
        std::uint64_t number = 0; ///< in force afterwards
    } const cases[] = {
        {"responses lost", {.lose_answers = 2}, submit_verdict::accepted, 2},
        {"outage", {.outage = true}, submit_verdict::not_accepted, 2},
        {"slower than the timeout", {.delay = milliseconds(500)}, submit_verdict::not_accepted, 2},
        {"fault cleared", {}, submit_verdict::accepted, 3},
    };
    ASSERT_EQ(operator_a.submit(request_of(1, 0, "first")).number.value, 1U);
    int slots = 1;
    for (auto const& c : cases) {
        std::uint64_t const base = read_current(client)->manifest.number.value;
        local.store.set_faults(c.during);
        auto const report = operator_a.submit(request_of(++slots, base, c.name));
        local.store.set_faults({});
        EXPECT_EQ(report.verdict, c.verdict) << c.name;
        EXPECT_EQ(read_current(client)->manifest.number.value, c.number) << c.name;
        EXPECT_EQ(report.error.step.empty(), c.verdict == submit_verdict::accepted) << c.name;
    }
}

TEST_F(submit_fixture, lost_response_to_manifest_write_is_resolved_or_not_known)
{
    for (bool const store_comes_back : {true, false}) {
        std::uint64_t const base = read_current(client)->manifest.number.value;
        auto const request = request_of(50 + store_comes_back, base, "x");
        local.store.set_write_hook([&](std::string const& name) {
            if (name == store_api::manifest_object) {
                local.store.set_faults({.outage = !store_comes_back, .lose_answers = 1});
            }
        });
        auto const report = operator_a.submit(request);
        local.store.set_write_hook({});
        local.store.set_faults({});
        EXPECT_EQ(report.verdict,
                  store_comes_back ? submit_verdict::accepted : submit_verdict::not_known);
        EXPECT_EQ(read_current(client)->manifest.number.value, base + 1);
    }
}

TEST_F(submit_fixture, unreachable_store_accepts_nothing)
{
    local.stop();
    auto const report = operator_a.submit(request_of(1, 0, "a"));
    EXPECT_EQ(report.verdict, submit_verdict::not_accepted);
    EXPECT_EQ(report.error.step, "store.read");
    EXPECT_NE(report.error.peer.find(local.address()), std::string::npos);
}

/** Runs commands on a temporary file and one stub entry host that reports shown_generation. */
struct command_fixture : testing::Test {
    local_store local;
    int shown_generation = 1;
    std::string entry_address;
    std::unique_ptr<threaded_http_server> entry;
    ctl_options options;

    void SetUp() override
    {
        options.file = testing::TempDir() + "ctl_test." + std::to_string(getpid()) + ".json";
        options.store = local.address();
        options.timeout_s = 1;
        write_file(2);
        do {
            entry_address = "127.0.0.1:" + std::to_string(next_test_port());
            entry = std::make_unique<threaded_http_server>(
                entry_address, [this](httplib::Server& server) {
                    server.Get("/v1/status", [this](auto const&, httplib::Response& response) {
                        response.set_content("{\"generation\":" + std::to_string(shown_generation) +
                                                 "}",
                                             "application/json");
                    });
                });
        } while (!entry->start());
        local.store.put(store_api::host_list_object,
                        R"({"version":1,"targets":[],"entry_hosts":[{"id":"e1","zone":"n1",
                            "peer_address":"127.0.0.1:1","state":"live","caller_address":")" +
                            entry_address + "\"}]}");
    }
    void TearDown() override { std::remove(options.file.c_str()); }

    void write_file(int slots) const
    {
        std::ofstream(options.file) << print_deployment(request_of(slots, 0, "").config);
    }
};

TEST_F(command_fixture, exit_codes_report_the_outcome_of_a_submit)
{
    EXPECT_EQ(run_submit(options).exit_code, ctl_usage);
    options.number = 0;
    options.submit_id = "mine";
    EXPECT_EQ(run_submit(options).exit_code, ctl_ok);
    EXPECT_EQ(run_submit(options).values->at("verdict"), "unchanged");
    EXPECT_EQ(run_status(options).values->at("generation"), 1);
    write_file(3);
    EXPECT_EQ(run_submit(options).exit_code, ctl_conflict);
    EXPECT_EQ(run_diff(options).lines.back(), "~ services desk slots: 2 -> 3");
    options.submit_id = "nobody's";
    EXPECT_EQ(run_status(options).exit_code, ctl_failed);
    local.stop();
    EXPECT_EQ(run_status(options).exit_code, ctl_not_known);
    EXPECT_EQ(run_submit(options).exit_code, ctl_failed);
    std::ofstream(options.file) << "{}";
    EXPECT_EQ(run_validate(options).exit_code, ctl_failed);
}

TEST_F(command_fixture, unknown_outcome_prints_the_command_that_resolves_it)
{
    options.number = 0;
    options.submit_id = "mine";
    local.store.set_write_hook([&](std::string const& name) {
        if (name == store_api::manifest_object) {
            local.store.set_faults({.outage = true, .lose_answers = 1});
        }
    });
    auto const report = run_submit(options);
    EXPECT_EQ(report.exit_code, ctl_not_known);
    EXPECT_NE(report.lines.back().find("status --store " + local.address() + " --submit-id mine"),
              std::string::npos);
    local.store.set_faults({});
    EXPECT_EQ(run_status(options).exit_code, ctl_ok);
}

TEST_F(command_fixture, wait_lists_the_hosts_with_an_older_generation)
{
    options.number = 1;
    EXPECT_EQ(run_wait(options).exit_code, ctl_ok);
    options.number = 2;
    auto const late = run_wait(options);
    EXPECT_EQ(late.exit_code, ctl_timeout);
    EXPECT_EQ(late.lines.back(), "e1 zone=n1 generation=1");
    entry.reset();
    options.number = 1;
    EXPECT_NE(run_wait(options).lines.back().find("status.read [" + entry_address + "]"),
              std::string::npos);
}

TEST_F(command_fixture, drain_submits_a_move_for_each_service)
{
    options.number = 0;
    ASSERT_EQ(run_submit(options).exit_code, ctl_ok);
    options.number = -1;
    options.submit_id.clear();
    options.zone = "s1";
    options.to = "nowhere";
    options.time = "2030-01-01T00:00:00Z";
    EXPECT_NE(run_drain(options).lines[0].find("drain#/moves/1/to"), std::string::npos);
    options.to = "n1";
    EXPECT_EQ(run_drain(options).exit_code, ctl_ok);
    object_client client(local.address(), milliseconds(500));
    auto const config = read_configuration(client, read_current(client)->manifest);
    ASSERT_EQ(config->moves.size(), 2U);
    EXPECT_EQ(config->moves[1].from, zone_id{"s1"});
    EXPECT_EQ(config->moves[1].share, 1);
}

} // namespace
