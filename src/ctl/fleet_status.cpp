#include "ctl/fleet_status.h"

#include "core/address.h"
#include "net/caller_api.h"
#include "net/threaded_http_server.h"
#include "json/json_text.h"

#include <atomic>

namespace cove {

namespace {

constexpr std::size_t max_parallel_queries = 16; ///< entry hosts queried at the same time

result<void> query_entry_host(entry_host const& host, milliseconds timeout, node_status& status)
{
    auto const endpoint = parse_address(host.caller_address);
    if (!endpoint) {
        return tl::make_unexpected(endpoint.error());
    }
    auto const client = make_http_client(endpoint->ip, endpoint->port, timeout);
    auto const response = client->Get(caller_api::status_path);
    if (!response || response->status != 200) {
        return fail("status.read", host.caller_address,
                    response ? "HTTP status " + std::to_string(response->status)
                             : httplib::to_string(response.error()));
    }
    auto const parsed = parse_json(response->body, host.caller_address);
    nlohmann::json const body = parsed.value_or(nullptr);
    if (!body.is_object() || !body.contains("generation") ||
        !body["generation"].is_number_unsigned()) {
        return fail("status.read", host.caller_address,
                    "expected a JSON object with an unsigned integer \"generation\"");
    }
    status.number = generation{body["generation"].get<std::uint64_t>()};
    status.stopping = body.value("stopping", false);
    return {};
}

} // namespace

std::vector<node_status> query_entry_hosts(host_list const& hosts, milliseconds timeout)
{
    std::vector<node_status> out(hosts.entry_hosts.size());
    std::atomic<std::size_t> next = 0;
    auto const query_remaining = [&] {
        for (std::size_t i = next++; i < out.size(); i = next++) {
            entry_host const& host = hosts.entry_hosts[i];
            out[i].node = host.id;
            out[i].zone = host.zone;
            if (auto const queried = query_entry_host(host, timeout, out[i]); !queried) {
                out[i].error = queried.error();
            }
        }
    };
    std::vector<std::jthread> threads;
    for (std::size_t i = 0; i < std::min(max_parallel_queries, out.size()); ++i) {
        threads.emplace_back(query_remaining);
    }
    threads.clear();
    return out;
}

std::string to_string(node_status const& status)
{
    std::string line = status.node.value + " zone=" + status.zone.value;
    if (!status.answered()) {
        return line + " no answer: " + to_string(status.error);
    }
    return line + " generation=" + std::to_string(status.number.value) +
           (status.stopping ? " stopping" : "");
}

} // namespace cove
