/** @file Hosts that lose their links to all targets while clients and peers still reach them. */

#include "support/crashing_target.h"
#include "support/cut_link.h"
#include "support/zone_case.h"

namespace cove {
namespace {

/** Two hosts; the first one reaches its six targets through links that the test cuts. */
class cut_off_case : public zone_case, public testing::WithParamInterface<link_cut> {
protected:
    static constexpr int host_count = 2;
    static constexpr std::size_t target_count = 6;
    static constexpr std::size_t object_count = 40;
    static constexpr milliseconds request_interval{33};

    cut_off_case() : zone_case(host_count) {}

    void start(bool idempotent)
    {
        config_document document = desk_config(1, "/a/", idempotent);
        document.config.routes[0].sticky = true;
        std::vector<target_entry> direct;
        std::vector<target_entry> linked;
        for (std::size_t i = 0; i < target_count; ++i) {
            targets.push_back(std::make_unique<crashing_target>(
                loop, served, [](std::string const&) { return false; }));
            links.push_back(
                std::make_unique<cut_link>(loop, endpoint_of(targets.back()->address())));
            target_entry entry;
            entry.id = target_id("t" + std::to_string(i));
            entry.service = service_id("desk");
            entry.address = targets.back()->address();
            entry.zone = zone_id("east");
            entry.slots = 8;
            direct.push_back(entry);
            entry.address = links.back()->address();
            linked.push_back(entry);
        }
        for (std::size_t i = 0; i < stores.size(); ++i) {
            stores[i].hosts_listed({});
            stores[i].config(document);
            stores[i].targets_listed({i == 0 ? linked : direct, position(1)});
        }
        ASSERT_TRUE(run_until(
            loop, [this] { return all_know_each_other(); }, milliseconds{10'000}));
    }

    void send(std::size_t host, std::map<unsigned, int>& statuses)
    {
        auto const connection = std::make_shared<exchange_connection>(
            loop, endpoint_of(clients[host]), exchange_limits{});
        http_request request(boost::beast::http::verb::put, "/a/" + std::to_string(sent), 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", "a1");
        request.set("Deadline", "900");
        request.set("Object", std::to_string(sent++ % object_count));
        request.prepare_payload();
        connection->exchange(std::move(request), nullptr,
                             [&statuses, connection](exchange_result const& result) {
                                 ++statuses[result.response.result_int()];
                                 connection->close();
                             });
    }

    /** Sends requests to both hosts for @p time. @return the share served by each host. */
    std::array<double, host_count> load_for(milliseconds time,
                                            milliseconds interval = request_interval)
    {
        std::array<std::map<unsigned, int>, host_count> statuses;
        auto const end = read_clocks().mono + time;
        int rounds = 0;
        for (; read_clocks().mono < end; ++rounds) {
            for (std::size_t host = 0; host < host_count; ++host) {
                send(host, statuses[host]);
            }
            run_until(
                loop, [] { return false; }, interval);
        }
        run_until(
            loop, [] { return false; }, milliseconds{1200}); // the deadline of the last request
        return {static_cast<double>(statuses[0][200]) / rounds,
                static_cast<double>(statuses[1][200]) / rounds};
    }

    void cut_all(link_cut how)
    {
        for (auto const& link : links) {
            link->cut(how);
        }
    }

    std::vector<std::unique_ptr<crashing_target>> targets;
    std::vector<std::unique_ptr<cut_link>> links;
    int sent = 0;
};

TEST_P(cut_off_case, clients_of_a_host_without_links_are_served_as_those_of_the_others)
{
    start(false);
    EXPECT_GT(load_for(milliseconds{1500})[0], 0.95);
    cut_all(GetParam());
    load_for(milliseconds{2000});
    auto const during = load_for(milliseconds{4000});
    EXPECT_GT(during[1], 0.95);
    EXPECT_GT(during[0], during[1] * 2 / 3);
    for (auto const& link : links) {
        link->mend();
    }
    load_for(milliseconds{1000});
    auto const after = load_for(milliseconds{2000});
    EXPECT_GT(after[0], 0.95);
    EXPECT_GT(after[1], 0.95);
}

TEST_P(cut_off_case, load_that_grows_while_connections_end_is_served_as_well)
{
    constexpr milliseconds short_interval{14};
    start(false);
    for (auto const& target : targets) {
        target->answers_per_connection = 40;
    }
    EXPECT_GT(load_for(milliseconds{1500})[0], 0.95);
    cut_all(GetParam());
    load_for(milliseconds{2000});
    auto const during = load_for(milliseconds{4000}, short_interval);
    EXPECT_GT(during[1], 0.95);
    EXPECT_GT(during[0], during[1] * 2 / 3);
}

/** The forms of a cut that little load is enough to notice. */
class quiet_host_case : public cut_off_case {};

TEST_P(quiet_host_case, notices_without_requests_that_its_links_are_back)
{
    start(true);
    load_for(milliseconds{1000});
    cut_all(GetParam());
    load_for(milliseconds{2500});
    ASSERT_EQ(metric(0, "cove_cut_off_from_targets"), 1U);
    for (auto const& link : links) {
        link->mend();
    }
    EXPECT_TRUE(run_until(
        loop, [this] { return metric(0, "cove_cut_off_from_targets") == 0; }, milliseconds{4000}));
}

std::string name_of_cut(testing::TestParamInfo<link_cut> const& info)
{
    std::array<char const*, 4> const names{"silent", "reset", "closed", "mute"};
    return names.at(static_cast<std::size_t>(info.param));
}

INSTANTIATE_TEST_SUITE_P(cuts, cut_off_case,
                         testing::Values(link_cut::silent, link_cut::reset, link_cut::closed,
                                         link_cut::mute),
                         name_of_cut);

INSTANTIATE_TEST_SUITE_P(cuts, quiet_host_case, testing::Values(link_cut::silent, link_cut::reset),
                         name_of_cut);

} // namespace
} // namespace cove
