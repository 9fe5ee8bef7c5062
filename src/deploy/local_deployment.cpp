#include "deploy/local_deployment.h"

#include "core/address.h"
#include "load/lookup_client.h"
#include "net/caller_api.h"
#include "net/threaded_http_server.h"
#include "settings/settings_table.h"

#include <algorithm>
#include <fstream>
#include <thread>

namespace cove {

namespace {

using json = nlohmann::json;

constexpr seconds ready_timeout{30};
constexpr milliseconds ready_poll_interval{200};
constexpr milliseconds request_timeout{300};
constexpr int load_threads = 96;
constexpr int load_callers = 200;

std::unique_ptr<httplib::Client> make_client(std::string const& address)
{
    auto const parsed = parse_address(address);
    return make_http_client(parsed->ip, parsed->port, request_timeout);
}

} // namespace

local_deployment::local_deployment(layout plan, std::filesystem::path programs)
    : plan_(std::move(plan)), programs_(std::move(programs))
{
    for (layout_process const& item : plan_.processes) {
        std::vector<std::string> command{(programs_ / item.program).string(), "--settings",
                                         plan_.file(item.name, "json")};
        processes_.emplace(item.name, std::make_unique<child_process>(
                                          std::move(command), plan_.file(item.name, "log")));
    }
}

result<void> local_deployment::start()
{
    for (layout_process const& item : plan_.processes) {
        if (!process(item.name).start()) {
            return fail("deployment.start", item.name, "could not start the process");
        }
    }
    mono_time const deadline = read_clocks().mono + ready_timeout;
    for (layout_process const& item : plan_.processes) {
        while (item.kind == process_kind::lookup && !lists_all_entry_hosts(item)) {
            if (read_clocks().mono > deadline) {
                return fail("deployment.start", item.name,
                            "did not list every entry host of its zone within " +
                                std::to_string(ready_timeout.count()) + " s");
            }
            std::this_thread::sleep_for(ready_poll_interval);
        }
    }
    for (layout_process const& item : plan_.processes) {
        if (!process(item.name).running()) {
            return fail("deployment.start", item.name,
                        "exited early; see " + plan_.file(item.name, "log"));
        }
    }
    return {};
}

bool local_deployment::lists_all_entry_hosts(layout_process const& lookup) const
{
    auto const response = make_client(lookup.address)->Get(caller_api::lookup_path);
    if (!response || response->status != 200) {
        return false;
    }
    auto const answer = parse_lookup_answer(response->body, lookup.name);
    auto const in_zone = std::ranges::count_if(plan_.processes, [&](layout_process const& item) {
        return item.kind == process_kind::entry && item.zone == lookup.zone;
    });
    return answer && answer->hosts.size() >= static_cast<std::size_t>(in_zone);
}

std::unique_ptr<child_process> local_deployment::start_load(local_load const& load) const
{
    json lookups = json::array();
    for (layout_process const& item : plan_.processes) {
        if (item.kind == process_kind::lookup) {
            lookups.push_back(item.address);
        }
    }
    json const settings{{"name", load.name},
                        {"lookup_addresses", lookups},
                        {"classes", plan_.classes},
                        {"profile", json::array({{{"at_ms", 0}, {"rate", load.rate}}})},
                        {"duration_ms", milliseconds(load.duration).count()},
                        {"threads", load_threads},
                        {"callers", load_callers},
                        {"comebacks", load.max_retries},
                        {"press_twice_percent", load.duplicate_percent},
                        {"cancel_percent", load.cancel_percent},
                        {"seed", load.seed},
                        {"report_file", plan_.file(load.name, "report")},
                        {"operation_file", plan_.file(load.name, "operations")}};
    std::ofstream(plan_.file(load.name, "json")) << settings.dump(2) << "\n";
    auto child = std::make_unique<child_process>(
        std::vector<std::string>{(programs_ / "cove-load").string(), "--settings",
                                 plan_.file(load.name, "json")},
        plan_.file(load.name, "log"));
    child->start();
    return child;
}

std::map<std::string, double> local_deployment::region_utilization() const
{
    std::map<std::string, std::pair<int, int>> slot_counts; // calls in flight, slots
    for (layout_process const& item : plan_.processes) {
        if (item.kind != process_kind::target) {
            continue;
        }
        auto const response = make_client(item.address)->Get("/load");
        if (!response || response->status != 200) {
            continue;
        }
        auto const report = json::parse(response->body, nullptr, false);
        if (report.is_object()) {
            slot_counts[item.region].first += report.value("in_flight", 0);
            slot_counts[item.region].second += item.slots;
        }
    }
    std::map<std::string, double> utilization;
    for (auto const& [region, counts] : slot_counts) {
        utilization[region] = static_cast<double>(counts.first) / counts.second;
    }
    return utilization;
}

result<journal_check_result> local_deployment::check(std::vector<std::string> const& loads) const
{
    std::vector<operation_line> operations;
    std::vector<journal_line> runs;
    for (std::string const& name : loads) {
        auto const lines = read_operation_lines(plan_.file(name, "operations"));
        if (!lines) {
            return tl::make_unexpected(lines.error());
        }
        operations.insert(operations.end(), lines->begin(), lines->end());
    }
    for (layout_process const& item : plan_.processes) {
        if (item.kind == process_kind::target) {
            auto const lines = read_journal_lines(plan_.file(item.name, "journal"));
            if (!lines) {
                return tl::make_unexpected(lines.error());
            }
            runs.insert(runs.end(), lines->begin(), lines->end());
        }
    }
    return check_journals(operations, runs);
}

json local_deployment::report(std::string const& name) const
{
    std::ifstream file(plan_.file(name, "report"));
    return json::parse(file, nullptr, false);
}

} // namespace cove
