/** @file Changes of the store reach every host in time, whoever of them is in trouble. */

#include "peer/replication_fleet.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <set>

namespace cove {
namespace {

constexpr milliseconds step{50};
constexpr milliseconds changes_period{4000};
constexpr milliseconds run_period{9500}; ///< until the last bound has passed

enum class change_kind { config, targets, evacuations };

/** @return how long a change may take to all hosts after the store has taken it. */
milliseconds bound_of(change_kind kind)
{
    return kind == change_kind::evacuations ? milliseconds{5000} : milliseconds{2000};
}

struct planned_change {
    change_kind kind;
    milliseconds at;
    known_versions wanted = {}; ///< by all hosts at the bound, once the store has taken it
    bool made = false;
    bool checked = false;
};

struct planned_pause {
    std::string ip;
    milliseconds at;
    milliseconds time;
    bool made = false;
};

/** A fleet with trouble in all zones but one, drawn by a seed. */
class troubled_fleet {
public:
    explicit troubled_fleet(std::uint64_t seed) : random_(seed), fleet_(random_(), model())
    {
        int const zones = 2 + draw(4);
        for (int zone = 0; zone < zones; ++zone) {
            add_zone(std::string(1, static_cast<char>('a' + zone)));
        }
        seeing_zone_ = draw(zones);
        fleet_.start();
        for (int zone = 0; zone < zones; ++zone) {
            if (zone != seeing_zone_) {
                trouble(zones_[zone]);
            }
        }
        fleet_.run_for(milliseconds(draw(1500)));
        plan_changes();
    }

    void run()
    {
        sent_before_ = fleet_.bytes_sent;
        for (milliseconds time{0}; time < run_period; time += step) {
            begin_pauses(time);
            make_changes(time);
            fleet_.run_for(step);
            expect_no_return();
            expect_changes(time + step);
        }
        expect_bytes();
    }

private:
    int draw(int bound) { return static_cast<int>(random_below(random_, bound)); }
    bool one_in(int count) { return draw(count) == 0; }

    replica_model model()
    {
        replica_model out;
        out.config_bytes = one_in(3) ? 100'000 : 8'000;
        out.lost_share = one_in(2) ? 0.02 : 0;
        return out;
    }

    void add_zone(std::string const& zone)
    {
        std::vector<std::string>& ips = zones_.emplace_back();
        int const hosts = 2 + draw(10);
        for (int i = 10; i < 10 + hosts; ++i) {
            bool const slow = one_in(5);
            ips.push_back(
                fleet_.add(zone + std::to_string(i), {zone, false, slow ? 6.0 : 1.0}).ip());
            if (slow) {
                excused_.insert(ips.back());
            }
        }
    }

    void trouble(std::vector<std::string> const& ips)
    {
        int const count = static_cast<int>(ips.size());
        int const blind = one_in(2) ? count : draw(count + 1);
        for (int i = 0; i < blind; ++i) {
            fleet_.hosts().at(ips[i])->blind(fleet_.now());
        }
        for (std::string const& ip : ips) {
            if (one_in(6)) {
                excused_.insert(ip);
                pauses_.push_back({ip, milliseconds(draw(5000)), milliseconds(500 + draw(3000))});
            }
        }
    }

    void plan_changes()
    {
        int const count = 1 + draw(6);
        for (int i = 0; i < count; ++i) {
            changes_.push_back({static_cast<change_kind>(draw(3)),
                                milliseconds(draw(static_cast<int>(changes_period.count())))});
        }
    }

    void begin_pauses(milliseconds time)
    {
        for (planned_pause& pause : pauses_) {
            if (!pause.made && pause.at <= time) {
                pause.made = true;
                fleet_.pause(pause.ip, pause.time);
            }
        }
    }

    void make_changes(milliseconds time)
    {
        for (planned_change& change : changes_) {
            if (change.made || change.at > time) {
                continue;
            }
            change.made = true;
            change.at = time;
            switch (change.kind) {
            case change_kind::config:
                fleet_.change_config();
                change.wanted.config = fleet_.newest().config;
                break;
            case change_kind::targets:
                fleet_.change_targets();
                change.wanted.targets = fleet_.newest().targets;
                break;
            case change_kind::evacuations:
                fleet_.change_evacuations();
                change.wanted.evacuations = fleet_.newest().evacuations;
                break;
            }
        }
    }

    void expect_changes(milliseconds time)
    {
        for (planned_change& change : changes_) {
            if (change.checked || time < change.at + bound_of(change.kind)) {
                continue;
            }
            change.checked = true;
            for (auto const& [ip, host] : fleet_.hosts()) {
                if (!excused_.contains(ip) && !host->versions().covers(change.wanted)) {
                    RC_FAIL(ip + " lacks a change of kind " +
                            std::to_string(static_cast<int>(change.kind)) + " made at " +
                            std::to_string(change.at.count()) + " ms");
                }
            }
        }
    }

    void expect_no_return()
    {
        for (auto const& [ip, host] : fleet_.hosts()) {
            RC_ASSERT(host->has_all_changes());
            known_versions& before = seen_[ip];
            RC_ASSERT(host->versions().covers(before));
            before = host->versions();
            known_versions& reported = reported_[ip];
            RC_ASSERT(host->reported_versions().covers(reported));
            reported = host->reported_versions();
        }
    }

    void expect_bytes()
    {
        double const limit =
            replica_model().link_bytes_per_second * static_cast<double>(changes_.size());
        for (auto const& [ip, bytes] : fleet_.bytes_sent) {
            RC_ASSERT(static_cast<double>(bytes - sent_before_[ip]) <= limit);
        }
    }

    random_engine random_;
    replica_fleet fleet_;
    std::vector<std::vector<std::string>> zones_; ///< IPs of their hosts
    int seeing_zone_ = 0;                         ///< its hosts have the store and do not stop
    std::set<std::string> excused_;               ///< slow or paused hosts
    std::vector<planned_pause> pauses_;
    std::vector<planned_change> changes_;
    std::map<std::string, known_versions> seen_;
    std::map<std::string, known_versions> reported_;
    std::map<std::string, std::size_t> sent_before_;
};

RC_GTEST_PROP(replication_property, every_change_reaches_every_sound_host_in_time, ())
{
    auto const seed = *rc::gen::noShrink(rc::gen::arbitrary<std::uint64_t>());
    troubled_fleet(seed).run();
}

} // namespace
} // namespace cove
