#include "config/config_json.h"
#include "config/json_reader.h"
#include "core/address.h"
#include "ctl/ctl_command.h"
#include "ctl/fleet_status.h"
#include "ctl/submit.h"
#include "net/caller_api.h"
#include "net/threaded_http_server.h"
#include "settings/settings_table.h"
#include "store/store_api.h"

#include <algorithm>
#include <thread>

namespace cove {

namespace {

using json = nlohmann::json;

constexpr milliseconds wait_poll_interval{200};        ///< between two status queries of `wait`
constexpr milliseconds status_timeout{1000};           ///< of one query of an entry host
constexpr std::uint64_t max_searched_generations = 50; ///< how many are searched for a submit id

result<host_list> read_hosts(ctl_options const& options, object_client& store)
{
    if (!options.hosts.empty()) {
        auto const text = read_file(options.hosts);
        return text ? parse_host_list(*text, options.hosts)
                    : result<host_list>(tl::make_unexpected(text.error()));
    }
    auto const object = store.read(store_api::host_list_object);
    if (!object) {
        return tl::make_unexpected(object.error().details);
    }
    return parse_host_list(object->value, store_api::host_list_object);
}

json to_json(std::vector<node_status> const& nodes)
{
    json out = json::array();
    for (node_status const& node : nodes) {
        json item{{"node", node.node.value}, {"zone", node.zone.value}};
        if (node.answered()) {
            item["generation"] = node.number.value;
            item["stopping"] = node.stopping;
        }
        else {
            item["error"] = to_string(node.error);
        }
        out.push_back(std::move(item));
    }
    return out;
}

/** Searches the newest generations for the one made by a submit. */
ctl_report find_submit(object_client& store, std::string const& submit_id)
{
    auto const current = read_current(store);
    if (!current) {
        return report_error(ctl_not_known, current.error().details);
    }
    std::uint64_t const newest = current->manifest.number.value;
    for (std::uint64_t back = 0; back < std::min(newest, max_searched_generations); ++back) {
        generation const number{newest - back};
        auto const manifest = back == 0 ? store_result<config_manifest>(current->manifest)
                                        : read_generation(store, number);
        if (!manifest) {
            return report_error(ctl_not_known, manifest.error().details);
        }
        if (manifest->submit_id == submit_id) {
            return make_report(
                ctl_ok,
                {"accepted generation=" + std::to_string(number.value) + " submit_id=" + submit_id},
                {{"verdict", "accepted"}, {"generation", number.value}});
        }
    }
    return make_report(
        ctl_failed,
        {"not_accepted submit_id=" + submit_id + " newest_generation=" + std::to_string(newest)},
        {{"verdict", "not_accepted"}, {"newest_generation", newest}});
}

std::size_t count_behind(std::vector<node_status> const& nodes, generation wanted)
{
    return static_cast<std::size_t>(std::ranges::count_if(
        nodes, [&](node_status const& node) { return !node.answered() || node.number < wanted; }));
}

/** @return the share of the service's traffic that @p move has shifted by @p time. */
double planned_share(move_config const& move, wall_time time)
{
    if (time < move.start) {
        return 0;
    }
    auto const steps = (time - move.start) / move.interval + 1;
    return std::min(move.share, move.step * static_cast<double>(steps));
}

void explain_plan(deployment const& config, ctl_options const& options, wall_time time,
                  std::vector<std::string>& lines)
{
    for (event_config const& event : config.events) {
        if (event.service.value == options.service && event.start <= time && time < event.end) {
            lines.push_back("event " + event.id + " reserves a share of " +
                            std::to_string(event.reserve) + " of the slots for its classes");
        }
    }
    for (move_config const& move : config.moves) {
        if (move.service.value == options.service) {
            lines.push_back("move " + move.id.value + " from " + move.from.value + " to " +
                            move.to.value + ": planned share " +
                            std::to_string(planned_share(move, time)) + " at " +
                            format_wall_time(time));
        }
    }
}

result<json> query_lookup(ctl_options const& options)
{
    auto const endpoint = parse_address(options.lookup);
    if (!endpoint) {
        return tl::make_unexpected(endpoint.error());
    }
    auto const client = make_http_client(endpoint->ip, endpoint->port, seconds(options.timeout_s));
    httplib::Params const params{{"caller", options.caller}, {"service", options.service}};
    auto const response = client->Get(caller_api::lookup_path, params, httplib::Headers{});
    if (!response || response->status != 200) {
        return fail("lookup.read", options.lookup,
                    response ? response->body : httplib::to_string(response.error()));
    }
    return parse_json(response->body, options.lookup);
}

void explain_hosts(json const& response, std::vector<std::string>& lines)
{
    json const hosts = response.value("entry_hosts", json::array());
    for (std::size_t i = 0; i < hosts.size(); ++i) {
        std::string line = std::to_string(i + 1) + ". " + hosts[i].value("node", "?") +
                           " zone=" + hosts[i].value("zone", "?") +
                           " address=" + hosts[i].value("address", "?");
        if (i == 0) {
            line += " (own zone first, then ordered by weighted rendezvous hash of the caller)";
        }
        lines.push_back(std::move(line));
    }
}

} // namespace

ctl_report run_status(ctl_options const& options)
{
    object_client store(options.store.empty() ? "127.0.0.1:1" : options.store,
                        seconds(options.timeout_s));
    if (!options.submit_id.empty()) {
        return find_submit(store, options.submit_id);
    }
    std::vector<std::string> lines;
    json values;
    if (auto const current = read_current(store)) {
        lines.push_back("store generation=" + std::to_string(current->manifest.number.value) +
                        " submit_id=" + current->manifest.submit_id);
        values["generation"] = current->manifest.number.value;
        values["submit_id"] = current->manifest.submit_id;
    }
    else {
        lines.push_back("store no answer: " + to_string(current.error().details));
        values["store_error"] = to_string(current.error().details);
    }
    auto const hosts = read_hosts(options, store);
    if (!hosts) {
        return report_error(ctl_not_known, hosts.error());
    }
    auto const nodes = query_entry_hosts(*hosts, status_timeout);
    for (node_status const& node : nodes) {
        lines.push_back(to_string(node));
    }
    values["nodes"] = to_json(nodes);
    return make_report(ctl_ok, std::move(lines), std::move(values));
}

ctl_report run_wait(ctl_options const& options)
{
    if (options.number < 0) {
        return report_error(ctl_usage, {"option.check", "--generation", "missing"});
    }
    generation const wanted{static_cast<std::uint64_t>(options.number)};
    object_client store(options.store.empty() ? "127.0.0.1:1" : options.store,
                        seconds(options.timeout_s));
    auto const hosts = read_hosts(options, store);
    if (!hosts) {
        return report_error(ctl_not_known, hosts.error());
    }
    mono_time const begin = read_clocks().mono;
    while (true) {
        auto const nodes = query_entry_hosts(*hosts, status_timeout);
        auto const waited = std::chrono::duration_cast<milliseconds>(read_clocks().mono - begin);
        std::size_t const behind = count_behind(nodes, wanted);
        bool const timed_out = waited >= seconds(options.timeout_s);
        if (behind == 0 || timed_out) {
            std::vector<std::string> lines{
                std::to_string(nodes.size() - behind) + " of " + std::to_string(nodes.size()) +
                " entry hosts have generation " + std::to_string(wanted.value) + " after " +
                std::to_string(waited.count()) + " ms"};
            for (node_status const& node : nodes) {
                if (!node.answered() || node.number < wanted) {
                    lines.push_back(to_string(node));
                }
            }
            return make_report(behind == 0 ? ctl_ok : ctl_timeout, std::move(lines),
                               {{"waited_ms", waited.count()}, {"nodes", to_json(nodes)}});
        }
        std::this_thread::sleep_for(wait_poll_interval);
    }
}

ctl_report run_explain(ctl_options const& options)
{
    auto const time = read_time_option(options.time);
    if (!time) {
        return report_error(ctl_usage, time.error());
    }
    auto const response = query_lookup(options);
    if (!response) {
        return report_error(ctl_failed, response.error());
    }
    std::vector<std::string> lines;
    explain_hosts(*response, lines);
    object_client store(options.store, seconds(options.timeout_s));
    auto const current = read_current(store);
    auto const config = current ? read_configuration(store, current->manifest)
                                : result<deployment>(tl::make_unexpected(current.error().details));
    if (config) {
        explain_plan(*config, options, *time, lines);
    }
    else {
        lines.push_back("planned moves and events not available: " + to_string(config.error()));
    }
    return make_report(ctl_ok, lines, {{"answer", *response}, {"reasons", lines}});
}

} // namespace cove
