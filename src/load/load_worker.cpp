#include "load/load_worker.h"

#include "net/caller_api.h"
#include "net/threaded_http_server.h"
#include "operation/answer_type.h"
#include "operation/operation_id.h"

#include <charconv>

namespace cove {

namespace {

constexpr milliseconds response_grace{500}; ///< wait for an answer after the deadline
constexpr milliseconds lookup_timeout{1000};
constexpr milliseconds retry_backoff{20}; ///< multiplied by the number of failed attempts
constexpr milliseconds max_retry_backoff{500};
constexpr int percent = 100;
constexpr char const* lost_outcome = "lost";

milliseconds parse_ms(std::string const& text)
{
    std::int64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return milliseconds(value);
}

} // namespace

load_worker::load_worker(load_settings const& settings, load_worker_hooks hooks, std::uint64_t seed)
    : settings_(settings), hooks_(std::move(hooks)), random_(seed),
      nonce_salt_(std::random_device()())
{
    lookup_answer direct;
    for (std::string const& address : settings.target_addresses) {
        direct.hosts.push_back({address, incarnation_id{0}, period_id{0}});
    }
    if (!direct.hosts.empty()) {
        direct_targets_ = std::make_shared<lookup_answer const>(std::move(direct));
    }
    thread_ = std::jthread([this] { run(); });
}

load_results const& load_worker::finish()
{
    thread_.join();
    return results_;
}

void load_worker::run()
{
    while (auto job = hooks_.next_job()) {
        if (job->kind == load_job::job_kind::cancel) {
            send_cancel(*job);
        }
        else {
            send_attempt(std::move(*job));
        }
        hooks_.job_finished();
    }
}

void load_worker::send_attempt(load_job job)
{
    if (job.failed_attempts == 0) {
        results_.add_start_lag(read_clocks().mono - job.due);
    }
    bool const is_new_operation = job.operation.empty();
    if (!assign_operation_id(job)) {
        on_failed_attempt(std::move(job));
        return;
    }
    if (is_new_operation) {
        add_duplicate_and_cancel(job);
    }
    load_class const& kind = settings_.classes[job.request_class];
    httplib::Headers const headers{
        {caller_api::service_header, kind.service.value},
        {caller_api::class_header, kind.request_class.value},
        {caller_api::operation_header, job.operation},
        {caller_api::timeout_header, std::to_string(kind.timeout.count())}};
    std::string const body = body_of(job);
    auto const response =
        client_to(address_of(job), kind.timeout + response_grace)
            .Post(caller_api::request_path, headers, body, "application/octet-stream");
    if (response) {
        on_answer(job, read_answer(*response, body));
    }
    else {
        on_failed_attempt(std::move(job));
    }
}

bool load_worker::assign_operation_id(load_job& job)
{
    if (!job.operation.empty()) {
        return true;
    }
    job.hosts = direct_targets_ != nullptr
                    ? direct_targets_
                    : hooks_.lookup_cache_of(job.caller).get(read_clocks().mono, [&] {
                          return look_up(job.caller);
                      });
    if (job.hosts == nullptr) {
        return false;
    }
    if (direct_targets_ != nullptr) {
        job.host = random_();
    }
    named_entry_host const& home = job.hosts->hosts.front();
    job.operation = to_string(operation_id{home.incarnation, home.period, random_() ^ nonce_salt_});
    return true;
}

void load_worker::add_duplicate_and_cancel(load_job const& job)
{
    if (chance(settings_.duplicate_percent)) {
        load_job duplicate = job;
        duplicate.is_duplicate = true;
        duplicate.due = read_clocks().mono;
        ++duplicate.host;
        hooks_.add_job(std::move(duplicate));
    }
    if (chance(settings_.cancel_percent)) {
        load_job cancel = job;
        cancel.kind = load_job::job_kind::cancel;
        auto const limit = settings_.classes[job.request_class].timeout;
        cancel.due = read_clocks().mono +
                     microseconds(random_below(
                         random_, static_cast<std::uint64_t>(microseconds(limit).count() / 4)));
        hooks_.add_job(std::move(cancel));
    }
}

void load_worker::send_cancel(load_job const& job)
{
    ++results_.counts.cancels;
    client_to(address_of(job), lookup_timeout)
        .Post(caller_api::cancel_path, {{caller_api::operation_header, job.operation}}, "",
              "application/octet-stream");
}

void load_worker::on_failed_attempt(load_job job)
{
    mono_time const now = read_clocks().mono;
    if (now - job.start >= settings_.client_timeout) {
        record_result(job, {lost_outcome, "", "caller.patience", {}});
        return;
    }
    ++results_.counts.retries;
    ++job.failed_attempts;
    ++job.host;
    job.due = now + std::min(max_retry_backoff, retry_backoff * job.failed_attempts);
    hooks_.add_job(std::move(job));
}

bool load_worker::retries_as_new_operation(load_job const& job, caller_answer const& answer) const
{
    bool const safe_to_repeat = answer.outcome == to_string(outcome::not_run) ||
                                (answer.outcome == to_string(outcome::unknown) &&
                                 settings_.classes[job.request_class].idempotent);
    return safe_to_repeat && answer.retry_after > milliseconds::zero() && !job.is_duplicate &&
           job.new_operation_retries < settings_.max_retries;
}

void load_worker::on_answer(load_job const& job, caller_answer const& answer)
{
    if (!retries_as_new_operation(job, answer)) {
        record_result(job, answer);
        return;
    }
    ++results_.counts.new_operation_retries;
    load_job retry = job;
    hooks_.log_operation(
        {job.operation, job.intent, settings_.classes[job.request_class].request_class.value,
         settings_.classes[job.request_class].idempotent, answer.outcome, answer.body_check,
         address_of(job), answer.step, read_clocks().mono - job.start});
    retry.operation.clear();
    retry.host = 0;
    retry.failed_attempts = 0;
    ++retry.new_operation_retries;
    retry.due = read_clocks().mono + answer.retry_after;
    hooks_.add_job(std::move(retry));
}

void load_worker::record_result(load_job const& job, caller_answer const& answer)
{
    load_class const& kind = settings_.classes[job.request_class];
    microseconds const latency = read_clocks().mono - job.start;
    results_.add(kind, answer.outcome, latency);
    if (answer.body_check == "wrong") {
        ++results_.counts.wrong_answer;
    }
    hooks_.log_operation({job.operation, job.intent, kind.request_class.value, kind.idempotent,
                          answer.outcome, answer.body_check,
                          job.hosts == nullptr ? "" : address_of(job), answer.step, latency});
}

load_worker::caller_answer load_worker::read_answer(httplib::Response const& response,
                                                    std::string const& body) const
{
    caller_answer out;
    out.step = response.get_header_value(caller_api::step_header);
    out.retry_after = parse_ms(response.get_header_value(caller_api::retry_after_ms_header));
    out.outcome = response.get_header_value(caller_api::outcome_header);
    if (direct_targets_ != nullptr) {
        out.outcome = to_string(
            response.has_header(caller_api::not_started_header) ? outcome::not_run : outcome::done);
    }
    if (out.outcome == to_string(outcome::done)) {
        auto const colon = response.body.find(':');
        bool const matches_request =
            colon != std::string::npos && response.body.substr(colon + 1) == body;
        out.body_check = matches_request ? "own" : "wrong";
    }
    else if (out.outcome.empty()) {
        out.outcome = lost_outcome;
    }
    return out;
}

std::string load_worker::body_of(load_job const& job) const
{
    std::string body = job.operation + "/" + std::to_string(job.intent) + "/";
    auto const min_size = static_cast<std::size_t>(settings_.body_bytes);
    if (body.size() < min_size) {
        body.resize(min_size, 'x');
    }
    return body;
}

std::string const& load_worker::address_of(load_job const& job) const
{
    return job.hosts->hosts[job.host % job.hosts->hosts.size()].address;
}

result<lookup_answer> load_worker::look_up(std::size_t caller)
{
    ++results_.counts.lookups;
    std::string const path =
        std::string(caller_api::lookup_path) + "?caller=caller-" + std::to_string(caller);
    auto const& addresses = settings_.lookup_addresses;
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        std::string const& address = addresses[(caller + i) % addresses.size()];
        auto const response = client_to(address, lookup_timeout).Get(path);
        if (response && response->status == 200) {
            if (auto answer = parse_lookup_answer(response->body, address)) {
                return answer;
            }
        }
    }
    ++results_.counts.failed_lookups;
    return fail("caller.lookup", "", "no look-up process returned a valid answer");
}

httplib::Client& load_worker::client_to(std::string const& address, milliseconds timeout)
{
    auto& client = clients_[address];
    if (client == nullptr) {
        auto const where = parse_address(address);
        client = make_http_client(where ? where->ip : "", where ? where->port : 0, timeout);
    }
    client->set_read_timeout(timeout);
    return *client;
}

bool load_worker::chance(int share)
{
    return random_below(random_, percent) < static_cast<std::uint64_t>(share);
}

} // namespace cove
