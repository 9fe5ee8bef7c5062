#include "config/config_check.h"
#include "config/config_section.h"
#include "config/json_reader.h"
#include "ctl/ctl_command.h"
#include "ctl/submit.h"

#include <random>
#include <sstream>
#include <thread>

namespace cove {

namespace {

constexpr int max_submit_attempts = 5; ///< at each write to the store
constexpr milliseconds submit_retry_interval{300};

using json = nlohmann::json;

std::string random_submit_id()
{
    std::random_device device;
    std::ostringstream id;
    for (int i = 0; i < 4; ++i) {
        id << std::hex << device();
    }
    return id.str();
}

int exit_code_of(submit_verdict verdict)
{
    switch (verdict) {
    case submit_verdict::accepted:
    case submit_verdict::unchanged:
        return ctl_ok;
    case submit_verdict::conflict:
        return ctl_conflict;
    case submit_verdict::not_accepted:
        return ctl_failed;
    case submit_verdict::not_known:
        break;
    }
    return ctl_not_known;
}

ctl_report to_ctl_report(submit_report const& report, submit_request const& request,
                         std::string const& store)
{
    std::string const number = std::to_string(report.number.value);
    std::vector<std::string> lines{std::string(to_string(report.verdict)) +
                                   " generation=" + number + " submit_id=" + request.submit_id};
    json values{{"verdict", to_string(report.verdict)},
                {"generation", report.number.value},
                {"submit_id", request.submit_id},
                {"changes", report.changes}};
    if (!report.error.step.empty()) {
        lines.push_back(to_string(report.error));
        values["error"] = {{"step", report.error.step},
                           {"peer", report.error.peer},
                           {"message", report.error.message}};
    }
    lines.insert(lines.end(), report.changes.begin(), report.changes.end());
    if (report.verdict == submit_verdict::not_known) {
        lines.push_back("find out with: covectl status --store " + store + " --submit-id " +
                        request.submit_id);
        values["find_out_with"] = lines.back();
    }
    return make_report(exit_code_of(report.verdict), std::move(lines), std::move(values));
}

ctl_report run_submitter(object_client& store, submit_request const& request,
                         std::string const& store_address)
{
    submitter sender(store, max_submit_attempts,
                     [] { std::this_thread::sleep_for(submit_retry_interval); });
    return to_ctl_report(sender.submit(request), request, store_address);
}

std::string submit_id_of(ctl_options const& options)
{
    return options.submit_id.empty() ? random_submit_id() : options.submit_id;
}

/** Adds a planned move of all traffic of @p service from the zone to drain. */
void add_drain_move(deployment& config, service_config const& service, ctl_options const& options,
                    wall_time start)
{
    move_config move;
    move.id =
        move_id{"drain " + options.zone + " " + service.id.value + " " + format_wall_time(start)};
    move.service = service.id;
    move.from = zone_id{options.zone};
    move.to = zone_id{options.to};
    move.start = start;
    move.step = options.step;
    move.interval = seconds(options.interval_s);
    config.moves.push_back(std::move(move));
}

result<deployment> add_drain_moves(deployment config, ctl_options const& options)
{
    auto const start = read_time_option(options.time);
    if (!start) {
        return tl::make_unexpected(start.error());
    }
    for (service_config const& service : config.services) {
        if (options.service.empty() || service.id.value == options.service) {
            add_drain_move(config, service, options, *start);
        }
    }
    try {
        check_deployment(config);
    }
    catch (format_error const& error) {
        return fail("config.check", "drain#" + error.location.to_string(), error.message);
    }
    return config;
}

} // namespace

ctl_report run_validate(ctl_options const& options)
{
    auto const config = read_configuration_file(options.file);
    if (!config) {
        return report_error(ctl_failed, config.error());
    }
    auto const sections = split_sections(*config);
    if (!sections) {
        return report_error(ctl_failed, sections.error());
    }
    return make_report(
        ctl_ok, {options.file + ": valid, " + std::to_string(sections->size()) + " sections"},
        {{"sections", sections->size()}});
}

ctl_report run_diff(ctl_options const& options)
{
    auto const config = read_configuration_file(options.file);
    if (!config) {
        return report_error(ctl_failed, config.error());
    }
    object_client store(options.store, seconds(options.timeout_s));
    auto const current = read_current(store);
    if (!current) {
        return report_error(ctl_failed, current.error().details);
    }
    auto const before = read_configuration(store, current->manifest);
    if (!before) {
        return report_error(ctl_failed, before.error());
    }
    auto lines = diff_deployments(*before, *config);
    json values{{"generation", current->manifest.number.value}, {"changes", lines}};
    lines.insert(lines.begin(),
                 "against generation " + std::to_string(current->manifest.number.value));
    return make_report(ctl_ok, std::move(lines), std::move(values));
}

ctl_report run_submit(ctl_options const& options)
{
    if (options.number < 0) {
        return report_error(ctl_usage,
                            {"option.check", "--generation",
                             "missing; expected the generation that covectl diff printed"});
    }
    auto config = read_configuration_file(options.file);
    if (!config) {
        return report_error(ctl_failed, config.error());
    }
    object_client store(options.store, seconds(options.timeout_s));
    submit_request const request{std::move(*config),
                                 generation{static_cast<std::uint64_t>(options.number)},
                                 submit_id_of(options)};
    return run_submitter(store, request, options.store);
}

ctl_report run_drain(ctl_options const& options)
{
    object_client store(options.store, seconds(options.timeout_s));
    auto const current = read_current(store);
    if (!current) {
        return report_error(ctl_failed, current.error().details);
    }
    auto const config = read_configuration(store, current->manifest);
    if (!config) {
        return report_error(ctl_failed, config.error());
    }
    auto drained = add_drain_moves(*config, options);
    if (!drained) {
        return report_error(ctl_failed, drained.error());
    }
    generation const base = options.number < 0
                                ? current->manifest.number
                                : generation{static_cast<std::uint64_t>(options.number)};
    return run_submitter(store, {std::move(*drained), base, submit_id_of(options)}, options.store);
}

} // namespace cove
