/** @file Requests that may run once, answered with a status that promises that they have not run.
 */

#include "support/cut_link.h"
#include "support/zone_case.h"

#include <array>

namespace cove {
namespace {

constexpr char const* not_run = "Not-Run: 1\r\n";
constexpr char const* signature = "Signature: s\r\n";

/** How a target treats a request. */
struct target_behaviour {
    char const* status = nullptr; ///< of the answer; null: none
    char const* fields = "";
    bool runs = false;
    connection_action then = connection_action::keep;
    bool twice = false; ///< the answer is written twice
};

constexpr std::array behaviours{
    target_behaviour{"200 OK", signature, true, connection_action::keep},
    target_behaviour{"200 OK", signature, true, connection_action::close},
    target_behaviour{"200 OK", signature, true, connection_action::reset},
    target_behaviour{"200 OK", signature, true, connection_action::keep, true},
    target_behaviour{"500 Failed", signature, true, connection_action::keep},
    target_behaviour{"503 Failed", signature, true, connection_action::keep},
    target_behaviour{"429 Failed", signature, true, connection_action::keep},
    target_behaviour{"408 Failed", signature, true, connection_action::keep},
    target_behaviour{"421 Failed", signature, true, connection_action::keep},
    target_behaviour{"503 Failed", "", true, connection_action::keep},
    target_behaviour{nullptr, "", true, connection_action::keep},
    target_behaviour{nullptr, "", true, connection_action::close},
    target_behaviour{nullptr, "", true, connection_action::reset},
    target_behaviour{"503 Busy", not_run, false, connection_action::keep},
    target_behaviour{"503 Busy", not_run, false, connection_action::keep, true},
    target_behaviour{"503 Busy", not_run, false, connection_action::reset},
    target_behaviour{"429 Many", not_run, false, connection_action::close},
    target_behaviour{"421 Other", not_run, false, connection_action::keep},
};

class promises : public zone_case, public testing::WithParamInterface<link_cut> {
protected:
    static constexpr int host_count = 2;
    static constexpr std::size_t target_count = 6;
    static constexpr std::size_t object_count = 40;
    static constexpr int requests_per_fault = 3;
    static constexpr milliseconds span{1500};
    static constexpr milliseconds request_interval{10};
    static constexpr milliseconds longest_request{1200};

    promises() : zone_case(host_count) {}

    scripted_answer answer_to(std::string const& head)
    {
        constexpr std::string_view field = "Attempt: ";
        auto const at = head.find(field) + field.size();
        std::string const attempt = head.substr(at, head.find("\r\n", at) - at);
        // A request that another target has refused is served.
        bool const first = arrivals[attempt]++ == 0;
        bool const faulty = first && faults && ++first_arrivals % requests_per_fault == 0;
        target_behaviour const how =
            faulty ? behaviours.at(next_behaviour++ % behaviours.size()) : behaviours.front();
        runs[attempt] += how.runs ? 1 : 0;
        std::string bytes;
        if (how.status != nullptr) {
            bytes = response(how.status, "Attempt: " + attempt + "\r\n" + how.fields, "x");
        }
        return {how.twice ? bytes + bytes : bytes, how.then};
    }

    void start()
    {
        config_document document = desk_config(1, "/a/");
        document.config.routes[0].sticky = true;
        std::vector<scripted_server*> listed;
        for (std::size_t i = 0; i < target_count; ++i) {
            targets.push_back(std::make_unique<scripted_server>(
                loop, [this](std::string const& head) { return answer_to(head); }));
            links.push_back(std::make_unique<cut_link>(loop, targets.back()->endpoint()));
            listed.push_back(targets.back().get());
        }
        auto const direct = desk_targets(listed);
        std::vector<target_entry> linked = direct;
        for (std::size_t i = 0; i < target_count; ++i) {
            linked[i].address = links[i]->address();
        }
        for (std::size_t i = 0; i < stores.size(); ++i) {
            stores[i].hosts_listed({});
            stores[i].config(document);
            stores[i].targets_listed({i == 0 ? linked : direct, position(1)});
        }
        ASSERT_TRUE(run_until(
            loop, [this] { return all_know_each_other(); }, milliseconds{10'000}));
    }

    void send()
    {
        std::string const attempt = "p" + std::to_string(sent);
        auto const connection =
            std::make_shared<exchange_connection>(loop, endpoint_of(clients[0]), exchange_limits{});
        http_request request(boost::beast::http::verb::put, "/a/1", 11);
        request.set(boost::beast::http::field::host, "desk.example");
        request.set("Attempt", attempt);
        request.set("Deadline", "900");
        request.set("Object", std::to_string(sent++ % object_count));
        request.prepare_payload();
        connection->exchange(std::move(request), nullptr,
                             [this, attempt, connection](exchange_result const& result) {
                                 statuses[attempt] = result.response.result_int();
                                 connection->close();
                             });
    }

    void load_for(milliseconds time)
    {
        auto const end = read_clocks().mono + time;
        while (read_clocks().mono < end) {
            send();
            run_until(
                loop, [] { return false; }, request_interval);
        }
    }

    std::vector<std::unique_ptr<scripted_server>> targets;
    std::vector<std::unique_ptr<cut_link>> links;
    std::map<std::string, int> arrivals;
    std::map<std::string, int> runs;
    std::map<std::string, unsigned> statuses;
    bool faults = false;
    int first_arrivals = 0; ///< of requests at any target, while there are faults
    std::size_t next_behaviour = 0;
    int sent = 0;
};

TEST_P(promises, are_kept_on_each_leg_of_a_request)
{
    start();
    load_for(span);
    for (auto const& link : links) {
        link->cut(GetParam());
    }
    load_for(span);
    faults = true;
    load_for(2 * span);
    EXPECT_GT(metric(0, "cove_relayed_requests"), 0U);
    run_until(
        loop, [] { return false; }, longest_request);
    std::map<unsigned, int> answered;
    for (auto const& [attempt, status] : statuses) {
        ++answered[status];
        bool const promised = status == 408 || status == 421 || status == 429 || status == 503;
        EXPECT_FALSE(promised && runs[attempt] > 0) << attempt << " " << status;
    }
    for (auto const& [attempt, count] : runs) {
        EXPECT_LE(count, 1) << attempt;
    }
    EXPECT_GT(answered[200], 0);
    EXPECT_GT(answered[502], 0);
    for (auto const& [status, count] : answered) {
        RecordProperty("answers_" + std::to_string(status), count);
    }
}

INSTANTIATE_TEST_SUITE_P(cuts, promises, testing::Values(link_cut::reset, link_cut::silent),
                         [](auto const& info) {
                             return info.param == link_cut::reset ? "reset" : "silent";
                         });

} // namespace
} // namespace cove
