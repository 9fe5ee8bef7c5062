#include "host/request_admission.h"

#include "workspace/access_key.h"

#include <algorithm>
#include <charconv>

namespace cove {

namespace http = boost::beast::http;

namespace {

// Fields of a relayed request; read on the port for other hosts only.
constexpr char const* relay_workspace_field = "Cove-Workspace";
constexpr char const* relay_key_field = "Cove-Key"; ///< fingerprint of the access key
constexpr char const* relay_version_field = "Cove-Version";

std::string_view view_of(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

std::string_view field_of(http_request const& request, char const* name)
{
    return view_of(request[name]);
}

generation version_in(http_request const& request)
{
    std::string_view const text = field_of(request, relay_version_field);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return generation(value);
}

std::vector<std::string_view> authorizations_of(http_request const& request)
{
    std::vector<std::string_view> values;
    auto const [first, last] = request.equal_range(http::field::authorization);
    for (auto it = first; it != last; ++it) {
        values.push_back(view_of(it->value()));
    }
    return values;
}

void remove_relay_fields(http_request& message)
{
    for (char const* const name : {relay_workspace_field, relay_key_field, relay_version_field}) {
        message.erase(name);
    }
}

char const* reason_of(admission outcome)
{
    switch (outcome) {
    case admission::admitted:
        return "admitted";
    case admission::unauthorized:
        return "no_known_key";
    case admission::not_fresh:
        return "config_not_fresh";
    case admission::not_known_yet:
        return "config_older_than_that_of_the_relaying_host";
    case admission::no_home_region:
        return "no_home_region";
    }
    return "unknown";
}

} // namespace

request_admission::request_admission(admission_fields fields, log_limiter& log)
    : fields_(std::move(fields)), gate_(fields_.key_scheme), log_(log)
{
}

void request_admission::set_config(routing_config const& config)
{
    version_ = config.version;
    directory_ =
        config.has_workspaces ? std::make_unique<workspace_directory>(config.workspaces) : nullptr;
}

admission_decision request_admission::decide(http_request const& request, route_config const& route,
                                             bool by_other_host) const
{
    access_rules const rules{route.is_public, route.home_regions};
    if (!by_other_host) {
        return gate_.admit(rules, authorizations_of(request), *directory_, fresh());
    }
    return workspace_gate::admit_relayed(rules,
                                         {field_of(request, relay_workspace_field),
                                          field_of(request, relay_key_field), version_in(request)},
                                         *directory_, version_, fresh());
}

admission_result request_admission::admit(http_request& request, route_config const& route,
                                          bool relayed)
{
    // Hosts whose configuration has no workspaces relay requests as their clients sent them.
    bool const by_other_host = relayed && request.count(relay_version_field) > 0;
    admission_result out;
    if (!directory_) {
        if (by_other_host && version_ < version_in(request)) {
            out.refused = http::status::service_unavailable;
        }
        if (relayed) {
            remove_relay_fields(request);
        }
        out.identity = std::string(view_of(request[http::field::authorization]));
        return out;
    }
    admission_decision const decision = decide(request, route, by_other_host);
    std::string const fingerprint(by_other_host ? field_of(request, relay_key_field) : "");
    if (decision.outcome != admission::admitted) {
        note_refusal(decision, route, fingerprint);
        out.refused = decision.outcome == admission::unauthorized
                          ? http::status::unauthorized
                          : http::status::service_unavailable;
        return out;
    }
    out.credentials.key_needed = !route.is_public;
    if (decision.workspace != nullptr) {
        workspace_config const& workspace = *decision.workspace;
        out.credentials.workspace = workspace.name;
        out.credentials.key = std::string(decision.key);
        out.credentials.fingerprint = fingerprint;
        out.terms.workspace = workspace.name;
        out.terms.priority = workspace.priority;
        out.terms.home_regions = workspace.home_regions;
    }
    out.identity = out.credentials.workspace.value;
    remove_fields(request);
    return out;
}

void request_admission::note_refusal(admission_decision const& decision, route_config const& route,
                                     std::string const& fingerprint)
{
    unauthorized_ += decision.outcome == admission::unauthorized ? 1 : 0;
    bool const stale =
        decision.outcome == admission::not_fresh || decision.outcome == admission::not_known_yet;
    stale_refusals_ += stale ? 1 : 0;
    std::string key = fingerprint;
    if (!decision.key.empty()) {
        key = key_log_name(decision.key);
    }
    constexpr std::size_t logged_digits = 8;
    key.resize(std::min(key.size(), logged_digits));
    log_.event("request_not_admitted",
               {{"route", route.name.value},
                {"reason", reason_of(decision.outcome)},
                {"workspace", decision.workspace == nullptr ? "" : decision.workspace->name.value},
                {"key", key}},
               read_clocks().mono);
}

bool request_admission::key_known(request_credentials const& credentials) const
{
    if (!directory_) {
        return false;
    }
    workspace_config const* const found =
        credentials.key.empty() ? directory_->find_fingerprint(credentials.fingerprint)
                                : directory_->find(credentials.key);
    return found != nullptr && found->name == credentials.workspace;
}

bool request_admission::may_send(request_credentials const& credentials) const
{
    return !credentials.key_needed || (fresh() && key_known(credentials));
}

void request_admission::note_stopped(std::string const& request,
                                     request_credentials const& credentials)
{
    bool const known = key_known(credentials);
    ++(known ? stale_refusals_ : unauthorized_);
    log_.event("request_stopped",
               {{"request", request},
                {"workspace", credentials.workspace.value},
                {"reason", known ? "config_not_fresh" : "key_withdrawn"}},
               read_clocks().mono);
}

/** Removes what only clients and other hosts send. */
void request_admission::remove_fields(http_request& message) const
{
    message.erase(http::field::authorization);
    message.erase(fields_.workspace);
    remove_relay_fields(message);
}

void request_admission::prepare_for_target(http_request& message,
                                           request_credentials const& credentials) const
{
    if (!directory_ && credentials.workspace.value.empty()) {
        return;
    }
    remove_fields(message); // the request may have come before the first workspace did
    bool const named = !credentials.workspace.value.empty() && fresh() && key_known(credentials);
    if (named) {
        message.set(fields_.workspace, credentials.workspace.value);
    }
}

void request_admission::prepare_for_relay(http_request& message,
                                          request_credentials const& credentials) const
{
    remove_relay_fields(message);
    if (!directory_) {
        return;
    }
    remove_fields(message);
    message.set(relay_version_field, std::to_string(version_.value));
    if (!credentials.workspace.value.empty()) {
        message.set(relay_workspace_field, credentials.workspace.value);
        message.set(relay_key_field, credentials.key.empty() ? credentials.fingerprint
                                                             : key_fingerprint(credentials.key));
    }
}

} // namespace cove
