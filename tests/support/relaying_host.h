#pragma once
/** @file Two hosts; the first one reaches its targets through links that are cut. */

#include "support/cut_link.h"
#include "support/raw_client.h"
#include "support/zone_case.h"

namespace cove {

/** Requests to the first host go to the target over the second one. */
class relaying_host : public zone_case {
protected:
    relaying_host() : zone_case(2) {}

    void cut_off_first_host(bool idempotent)
    {
        std::vector<target_entry> direct;
        for (int i = 0; i < 3; ++i) {
            direct.push_back(desk_targets({&target})[0]);
            direct.back().id = target_id("t" + std::to_string(i));
            direct.back().slots = 64;
        }
        auto linked = direct;
        for (target_entry& entry : linked) {
            entry.address = link.address();
        }
        for (std::size_t i = 0; i < stores.size(); ++i) {
            stores[i].hosts_listed({});
            stores[i].config(desk_config(1, "/a/", idempotent));
            stores[i].targets_listed({i == 0 ? linked : direct, position(1)});
        }
        ASSERT_TRUE(run_until(
            loop, [this] { return all_know_each_other(); }, milliseconds{10'000}));
        link.cut(link_cut::reset);
        std::vector<std::unique_ptr<raw_client>> earlier;
        ASSERT_TRUE(run_until(loop, [&] {
            earlier.push_back(std::make_unique<raw_client>(loop, clients[0]));
            earlier.back()->send(raw_request("/a/earlier"));
            run_until(
                loop, [] { return false; }, milliseconds{20});
            return metric(0, "cove_cut_off_from_targets") == 1;
        }));
        run_until(
            loop, [] { return false; }, milliseconds{1500}); // until earlier requests have ended
    }

    scripted_answer answer{""};
    scripted_server target{loop, [this](std::string const&) { return answer; }};
    cut_link link{loop, target.endpoint()};
};

} // namespace cove
