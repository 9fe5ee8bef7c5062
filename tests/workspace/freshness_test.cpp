/** @file Several hosts as reducers: no host admits a key later than the bound after its withdrawal.
 */

#include "workspace/config_freshness.h"

#include "core/random.h"

#include <array>
#include <functional>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace cove {
namespace {

constexpr milliseconds bound{5000};

/** Faults that a run may have. A store that goes back hides what only cut-off hosts know. */
struct fault_choice {
    bool cuts = false;
    bool store_goes_back = false;
};

/**
 * Hosts before one store. Every version withdraws a key, so a host may count its configuration as
 * fresh only until the bound after the next version was acknowledged. Events run in the order of
 * real time; each host has a boot clock of its own.
 */
class simulation {
public:
    static constexpr std::size_t host_count = 4;

    simulation(std::uint64_t seed, fault_choice faults) : random_(seed), faults_(faults)
    {
        for (std::size_t i = 0; i < host_count; ++i) {
            start(i);
            at(draw(250), [this, i] { tick(i); });
        }
    }

    void run(milliseconds length)
    {
        while (!events_.empty() && events_.begin()->first < length) {
            now_ = events_.begin()->first;
            auto const event = std::move(events_.begin()->second);
            events_.erase(events_.begin());
            event();
            check();
        }
    }

    int fresh_checks = 0;
    int checks = 0;
    int wrong = 0; ///< checks at which a withdrawn key would have been admitted

    /** Writes a version, or disturbs a host or the store, with the given chance per event. */
    std::function<void()> disturb = [] {};

    void write_version()
    {
        store_ = acknowledged_.size();
        acknowledged_.push_back(now_);
    }

    void pause(std::size_t i) { hosts_[i].paused_until = now_ + milliseconds(draw(8000)); }
    void cut(std::size_t i) { hosts_[i].cut_until = now_ + milliseconds(draw(12'000)); }
    void cut_store() { store_cut_until_ = now_ + milliseconds(draw(9000)); }

    /** The store returns from an older copy; peers tell of the newest version that they have. */
    void go_back()
    {
        if (newest() < store_ || store_ < 2) {
            return; // a version that no host has is lost for good
        }
        ++era_;
        store_ -= 1 + draw(store_ - 1);
        for (std::size_t i = 0; i < host_count; ++i) {
            at_host(i, draw(900), [this, i] { apply(i, newest()); });
        }
    }

    /** Restarts a host, unless it alone has the newest version. */
    void restart(std::size_t i)
    {
        host const before = hosts_[i];
        hosts_[i].version = 0;
        bool const alone = newest() < before.version;
        hosts_[i] = before;
        if (!alone || faults_.cuts) {
            start(i);
        }
    }

    void start(std::size_t i)
    {
        host& self = hosts_[i];
        self = host{};
        self.clock_offset = milliseconds(draw(1'000'000));
        self.state = config_freshness(bound, draw(1'000'000'000));
        self.process = ++processes_;
        call_store(i, false);
        // Within 2 s of its first answer a new process learns from its peers what they have.
        if (!faults_.cuts) {
            at(draw(900), [this, i, process = self.process] {
                if (hosts_[i].process == process) {
                    apply(i, newest());
                }
            });
        }
    }

    std::uint64_t draw(std::uint64_t end) { return random_below(random_, end); }

private:
    struct host {
        config_freshness state{bound, 0};
        milliseconds clock_offset{};
        std::uint64_t version = 0;
        int process = 0;
        milliseconds paused_until{};
        milliseconds cut_until{}; ///< from the store and from all hosts
    };

    void at(std::uint64_t delay, std::function<void()> event)
    {
        events_.emplace(now_ + milliseconds(delay), std::move(event));
    }

    /** Runs @p event at host @p i after @p delay, later if the host is paused, never if it
     * restarts.
     */
    void at_host(std::size_t i, std::uint64_t delay, std::function<void()> event)
    {
        at(delay, [this, i, event = std::move(event), process = hosts_[i].process]() mutable {
            host const& self = hosts_[i];
            if (self.process != process) {
                return;
            }
            if (now_ < self.paused_until) {
                auto const rest = static_cast<std::uint64_t>((self.paused_until - now_).count());
                at_host(i, rest, std::move(event));
                return;
            }
            event();
        });
    }

    [[nodiscard]] boot_time clock(std::size_t i) const
    {
        return boot_time(now_ + hosts_[i].clock_offset);
    }

    [[nodiscard]] std::uint64_t newest() const
    {
        std::uint64_t version = 0;
        for (host const& each : hosts_) {
            version = std::max(version, each.version);
        }
        return version;
    }

    void apply(std::size_t i, std::uint64_t version)
    {
        if (version > hosts_[i].version) {
            hosts_[i].version = version;
            hosts_[i].state.config_applied(generation(version));
        }
    }

    [[nodiscard]] bool is_cut(std::size_t i) const { return now_ < hosts_[i].cut_until; }

    /** A list, or a watch that waits for 1.5 s or a change. Answers take up to 1.2 s. */
    void call_store(std::size_t i, bool watch)
    {
        boot_time const started = clock(i);
        constexpr std::uint64_t wait = 1500;
        bool const lost = now_ < store_cut_until_ || is_cut(i);
        std::uint64_t const known = hosts_[i].version;
        bool const waits = watch && known == store_;
        at(draw(100) + (waits ? wait : 0), [=, this, process = hosts_[i].process] {
            bool const empty = waits && known == store_;
            std::uint64_t const read = store_;
            std::uint64_t const era = era_;
            if (hosts_[i].process != process) {
                return;
            }
            at_host(i, draw(draw(8) == 0 ? 1200 : 30), [=, this] {
                if (!lost && !is_cut(i)) {
                    host& self = hosts_[i];
                    self.state.enter_era(store_era(era), clock(i));
                    self.state.store_has(generation(read));
                    apply(i, read);
                    self.state.store_proved(started + milliseconds(empty ? wait : 0),
                                            store_era(era));
                }
                at_host(i, 150, [=, this] { call_store(i, i < 2); });
            });
        });
    }

    /** Carries a message, unless it is lost; it may be late or come twice. */
    void carry(std::size_t from, std::size_t to, std::function<void()> const& deliver)
    {
        for (std::uint64_t copies = draw(10) == 0 ? draw(3) : 1; copies > 0; --copies) {
            if (!is_cut(from) && !is_cut(to)) {
                at_host(to, draw(draw(5) == 0 ? 3000 : 40), deliver);
            }
        }
    }

    void send(std::size_t from, outgoing_freshness_answer const& answer)
    {
        std::size_t const to = std::stoul(answer.ip);
        carry(from, to, [=, this] {
            hosts_[to].state.on_answer(answer.nonce, answer.offset, answer.version, clock(to));
        });
        carry(from, to, [=, this] { apply(to, hosts_[from].version); });
    }

    void tick(std::size_t i)
    {
        at(250, [this, i] { tick(i); });
        disturb();
        if (now_ < hosts_[i].paused_until) {
            return;
        }
        freshness_sources const sources{i == 0 ? "" : "0", i == 1 ? "2" : "1", "3", i < 2};
        freshness_effects const effects = hosts_[i].state.tick(sources, clock(i));
        for (outgoing_freshness_query const& query : effects.queries) {
            std::size_t const to = std::stoul(query.ip);
            carry(i, to, [=, this] {
                if (auto const answer =
                        hosts_[to].state.on_query(std::to_string(i), query.nonce, clock(to))) {
                    send(to, *answer);
                }
            });
        }
        for (outgoing_freshness_answer const& answer : effects.answers) {
            send(i, answer);
        }
    }

    void check()
    {
        for (std::size_t i = 0; i < host_count; ++i) {
            host const& self = hosts_[i];
            bool const fresh = now_ >= self.paused_until && self.state.fresh(clock(i));
            ++checks;
            fresh_checks += fresh ? 1 : 0;
            std::uint64_t const next = self.version + 1;
            bool const withdrawn =
                next < acknowledged_.size() && acknowledged_[next] + bound < now_;
            wrong += fresh && withdrawn ? 1 : 0;
        }
    }

    random_engine random_;
    fault_choice faults_;
    std::multimap<milliseconds, std::function<void()>> events_;
    milliseconds now_{};
    std::array<host, host_count> hosts_;
    std::vector<milliseconds> acknowledged_ = {milliseconds{}, milliseconds{}}; ///< by version
    std::uint64_t store_ = 1;                                                   ///< its version
    std::uint64_t era_ = 1;
    milliseconds store_cut_until_{};
    int processes_ = 0;
};

// Guards against a process that counts its configuration as new after a pause, a restart or a cut,
// and against a late or repeated message that proves too much.
RC_GTEST_PROP(config_freshness, withdrawn_keys_are_not_admitted_after_the_bound,
              (std::uint64_t seed, bool goes_back))
{
    simulation run(seed, {!goes_back, goes_back});
    run.disturb = [&] {
        std::size_t const host = run.draw(simulation::host_count);
        switch (run.draw(150)) {
        case 0:
        case 1:
        case 2:
            return run.write_version();
        case 3:
            return goes_back ? run.go_back() : run.pause(host);
        case 4:
            return run.restart(host);
        case 5:
            return goes_back ? void() : run.cut(host);
        case 6:
            return goes_back ? void() : run.cut_store();
        default:
            return;
        }
    };
    run.run(milliseconds{120'000});
    RC_ASSERT(run.wrong == 0);
}

// Guards against a bound that is kept by refusing everything.
TEST(config_freshness_in_normal_operation, all_hosts_are_fresh_all_the_time)
{
    simulation run(1, {});
    run.run(milliseconds{4000});
    run.checks = run.fresh_checks = 0;
    run.disturb = [&] {
        if (run.draw(40) == 0) {
            run.write_version();
        }
    };
    run.run(milliseconds{60'000});
    EXPECT_GT(run.checks, 1000);
    EXPECT_EQ(run.fresh_checks, run.checks);
    EXPECT_EQ(run.wrong, 0);
}

// Guards against answers that prove a version which this host lacks, and against a forged offset.
TEST(config_freshness_answers, count_once_their_version_is_in_force)
{
    boot_time const now(seconds(100));
    config_freshness subject(bound, 7);
    subject.config_applied(generation(3));
    auto const asked = subject.tick({"first", "", "", false}, now).queries;
    ASSERT_EQ(asked.size(), 1U);
    subject.on_answer(asked[0].nonce + 1, milliseconds(-10), generation(3), now);
    subject.on_answer(asked[0].nonce, milliseconds(10), generation(3), now);
    subject.on_answer(asked[0].nonce, milliseconds(-10), generation(4), now);
    EXPECT_FALSE(subject.fresh(now));
    subject.config_applied(generation(4));
    EXPECT_EQ(subject.proof_age(now), milliseconds(10));
}

// Guards against a store that has gone back to an older version than this host's, whose calls are
// taken as proofs.
TEST(config_freshness_of_a_store_that_went_back, is_not_proven_by_an_older_version)
{
    boot_time const now(seconds(100));
    config_freshness subject(bound, 7);
    subject.config_applied(generation(3));
    subject.enter_era(store_era(2), now - seconds(10));
    subject.store_has(generation(2));
    subject.store_proved(now, store_era(2));
    EXPECT_FALSE(subject.fresh(now));
    subject.store_has(generation(3));
    subject.store_proved(now, store_era(1));
    EXPECT_FALSE(subject.fresh(now));
    subject.store_proved(now, store_era(2));
    EXPECT_TRUE(subject.fresh(now));
}

} // namespace
} // namespace cove
