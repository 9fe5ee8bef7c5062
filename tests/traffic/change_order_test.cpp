/** @file Lists and changes of targets in any order, cut into answers anywhere. */

#include "support/position.h"
#include "traffic/target_list.h"
#include "traffic/traffic_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

constexpr milliseconds heartbeat{1500};
constexpr milliseconds drain{2000};

/** A list of targets and a reducer that is told of its changes, as in a host. */
class informed_reducer {
public:
    explicit informed_reducer(std::vector<std::string> const& names) : names_(names) {}

    void change(std::vector<target_change> const& changes)
    {
        forward(list.apply(changes, fixture.now));
    }

    void replace(std::vector<target_entry> const& entries, store_position at)
    {
        if (list.replace(entries, at, fixture.now)) {
            fixture.feed(targets_listed{list.entries()});
        }
    }

    /** Lets time pass until all entries that are held or doubted have been decided on. */
    void settle()
    {
        fixture.now += seconds{20};
        forward(list.expire(fixture.now));
    }

    /** @return the targets to which the reducer sends requests. */
    std::set<target_id> used()
    {
        std::set<target_id> out;
        for (std::string const& name : names_) {
            request_id const id(fixture.next++);
            fixture.feed(request_arrived{id, std::make_shared<route_config const>(fixture.route),
                                         service_id(name), object_key(), "c", milliseconds{1000}});
            if (auto const sent = fixture.single<send_attempt>()) {
                out.insert(sent->attempt.target);
                fixture.end(id, sent->attempt.target, attempt_end::succeeded);
            }
            else {
                fixture.feed(client_disconnected{id}); // it waits for a target
            }
        }
        return out;
    }

    /** @return an entry that is the only one of its service. */
    target_entry entry(std::string const& name, target_phase phase, std::int64_t incarnation) const
    {
        target_entry out = fixture.target(name, "home", 1);
        out.service = service_id(name);
        out.phase = phase;
        out.incarnation = target_incarnation(incarnation);
        return out;
    }

    traffic_fixture fixture;
    target_list list{heartbeat, drain};

private:
    void forward(targets_changed const& changes) { fixture.feed(changes); }

    std::vector<std::string> names_;
};

std::set<target_id> serving(std::map<std::string, target_entry> const& entries)
{
    std::set<target_id> out;
    for (auto const& [name, entry] : entries) {
        if (entry.phase == target_phase::serving) {
            out.insert(entry.id);
        }
    }
    return out;
}

std::vector<target_entry> entries_of(std::map<std::string, target_entry> const& model)
{
    std::vector<target_entry> out;
    for (auto const& [name, entry] : model) {
        out.push_back(entry);
    }
    return out;
}

// RECOVER: a target was in the list, but unknown to what places requests, or the other way round.
RC_GTEST_PROP(change_order, leaves_the_last_state_of_each_target_in_use, ())
{
    std::vector<std::string> const names{"a", "b", "c"};
    informed_reducer host(names);
    std::map<std::string, target_entry> model; // the last state of each name
    std::int64_t incarnation = 0;
    std::uint64_t revision = 1;
    std::vector<target_change> answer;
    auto const pass_on = [&] {
        host.change(std::exchange(answer, {}));
        host.list.advance(position(revision));
        RC_ASSERT(host.used() == serving(model));
    };
    host.fixture.now += seconds{20};
    host.replace({}, position(revision));
    for (int left = *rc::gen::inRange(1, 40); left > 0; --left) {
        std::string const name = *rc::gen::elementOf(names);
        target_change change{target_id(name), std::nullopt};
        if (*rc::gen::arbitrary<bool>()) {
            bool const restarts = *rc::gen::arbitrary<bool>();
            auto const phase = *rc::gen::element(target_phase::serving, target_phase::leaving);
            change.entry = host.entry(name, phase, restarts ? ++incarnation : incarnation);
            model[name] = *change.entry;
        }
        else {
            model.erase(name);
        }
        answer.push_back(std::move(change));
        ++revision;
        if (*rc::gen::inRange(0, 3) == 0) {
            pass_on();
        }
        if (*rc::gen::inRange(0, 8) == 0) { // a list in place of the answer
            answer.clear();
            host.replace(entries_of(model), position(revision));
            RC_ASSERT(host.used() == serving(model));
        }
    }
    pass_on();
}

// Entries lapse during an outage and are written again, perhaps within one answer.
RC_GTEST_PROP(change_order, ends_with_the_last_state_after_outages_and_returns_of_the_store, ())
{
    std::vector<std::string> const names{"a", "b", "c"};
    informed_reducer host(names);
    std::map<std::string, target_entry> model;
    std::uint64_t era = 1;
    std::uint64_t revision = 1;
    host.fixture.now += seconds{20};
    host.replace({}, position(revision, era));
    auto const list_all = [&] { host.replace(entries_of(model), position(revision, era)); };
    for (int left = *rc::gen::inRange(1, 40); left > 0; --left) {
        std::vector<target_change> changes;
        for (int count = *rc::gen::inRange(1, 4); count > 0; --count) {
            std::string const name = *rc::gen::elementOf(names);
            target_change change{target_id(name), std::nullopt};
            if (*rc::gen::arbitrary<bool>()) {
                change.entry = host.entry(name, target_phase::serving, *rc::gen::inRange(1, 3));
                model[name] = *change.entry;
            }
            else {
                model.erase(name);
            }
            changes.push_back(std::move(change));
            ++revision;
        }
        switch (*rc::gen::inRange(0, 5)) {
        case 0:
            host.list.store_recovered(host.fixture.now);
            host.change(changes);
            host.list.advance(position(revision, era));
            break;
        case 1:
            ++era;
            list_all();
            break;
        case 2:
            list_all();
            break;
        default:
            host.change(changes);
            host.list.advance(position(revision, era));
            break;
        }
        host.fixture.now += milliseconds(*rc::gen::inRange(0, 2000));
    }
    host.settle();
    RC_ASSERT(host.used() == serving(model));
}

} // namespace
} // namespace cove
