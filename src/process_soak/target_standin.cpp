#include "process_soak/target_standin.h"

#include "core/random.h"
#include "platform/wire_names.h"
#include "platform/writer_json.h"

#include <array>

namespace cove {

namespace {

constexpr int slots = 8;
constexpr milliseconds work_time{4};
constexpr std::uint64_t slow_one_in = 40;
constexpr milliseconds slow_work_time{300};
constexpr std::uint64_t failure_one_in = 16;
constexpr std::array failure_statuses{500, 503, 504, 429, 408};
constexpr char const* health_path = "/healthz";
constexpr char const* instance_header = "X-Instance-Id";
constexpr int ok_status = 200;
constexpr int bad_request_status = 400;
constexpr int misdirected_status = 421;
constexpr int unavailable_status = 503;

} // namespace

target_standin::target_standin(target_identity identity, store_standin& store,
                               run_recorder& recorder, std::size_t threads)
    : identity_(std::move(identity)), store_(store), recorder_(recorder),
      born_ms_(
          std::chrono::duration_cast<milliseconds>(read_clocks().wall.time_since_epoch()).count()),
      listener_(threads)
{
    auto const handler = [this](auto const& request, auto& response) { serve(request, response); };
    listener_.server.Get(".*", handler);
    listener_.server.Post(".*", handler);
}

bool target_standin::start(std::string const& ip, int port)
{
    if (!listener_.start(ip, port)) {
        return false;
    }
    report(target_phase::serving);
    return true;
}

void target_standin::leave()
{
    leaving_ = true;
    recorder_.add(target_departure{identity_.id, report(target_phase::leaving)});
}

void target_standin::stop()
{
    recorder_.begin(identity_.id, "stopped");
    store_.remove(wire::target_kind, identity_.id);
    listener_.stop();
}

mono_time target_standin::report(target_phase phase)
{
    target_entry entry;
    entry.id = target_id(identity_.id);
    entry.service = service_id(identity_.service);
    entry.address = identity_.address;
    entry.zone = zone_id(identity_.zone);
    entry.slots = slots;
    entry.phase = phase;
    entry.incarnation = target_incarnation(born_ms_);
    return store_.put(wire::target_kind, identity_.id, target_spec(entry));
}

void target_standin::serve(httplib::Request const& request, httplib::Response& response)
{
    std::string const attempt = request.get_header_value(wire::attempt_id_header);
    response.set_header(instance_header, identity_.id);
    if (leaving_) {
        response.set_header(wire::leaving_header, "1");
        response.set_header("Connection", "close");
    }
    if (request.path == health_path) {
        response.status = leaving_ ? unavailable_status : ok_status;
        return;
    }
    auto const refuse = [&response](int status) {
        response.status = status;
        response.set_header(wire::not_run_header, "1");
    };
    if (attempt.empty()) {
        refuse(bad_request_status);
        return;
    }
    response.set_header(wire::attempt_id_header, attempt);
    std::string const expected = request.get_header_value(wire::expected_target_header);
    if (!expected.empty() && expected != identity_.id) {
        refuse(misdirected_status);
        return;
    }
    int const running = ++running_;
    if (running > slots) {
        refuse(unavailable_status);
    }
    else {
        run(attempt, response);
    }
    --running_;
    response.set_header(wire::load_header,
                        std::to_string(running_) + ",0," + std::to_string(slots));
}

void target_standin::run(std::string const& attempt, httplib::Response& response)
{
    thread_local random_engine random(std::hash<std::thread::id>{}(std::this_thread::get_id()));
    recorder_.add(target_run{attempt, identity_.id, identity_.service, identity_.zone,
                             identity_.region, read_clocks().mono});
    std::this_thread::sleep_for(random_below(random, slow_one_in) == 0 ? slow_work_time
                                                                       : work_time);
    response.status = random_below(random, failure_one_in) == 0
                          ? failure_statuses.at(random_below(random, failure_statuses.size()))
                          : ok_status;
    response.set_header(wire::signature_header, identity_.id + "." + attempt);
    response.set_content("body of " + attempt, "text/plain");
}

} // namespace cove
