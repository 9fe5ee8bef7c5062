#include "core/invariant.h"
#include "net/peer_codec.h"
#include "steering/steering.h"

#include <gtest/gtest.h>
#include <queue>
#include <rapidcheck/gtest.h>

namespace {

using namespace cove;

mono_time at(milliseconds offset)
{
    return mono_time(seconds(100)) + offset;
}

service_id const service{"s"};
grant_holder_key const holder_a{node_id{"a"}, incarnation_id{1}, service};
grant_holder_key const holder_b{node_id{"b"}, incarnation_id{2}, service};

/** The state of one grant holder and the view that its functions take. */
struct holder_fixture {
    node_identity self{node_id{"a"}, zone_id{"za"}, incarnation_id{1}};
    membership_state members;
    random_engine random;
    disabled_mechanisms disabled;
    grant_holder grants;

    node_view view(mono_time now)
    {
        return {{now, {}}, self, nullptr, members, random, disabled, nullptr};
    }
};

TEST(grant_issuer, never_grants_more_than_the_grantable_units)
{
    grant_issuer issuer;
    EXPECT_EQ(issue_grant(issuer, holder_a, {1, service, 6}, 10, at({}))->units, 6);
    EXPECT_EQ(issue_grant(issuer, holder_b, {1, service, 6}, 10, at({}))->units, 4);
    EXPECT_EQ(issue_grant(issuer, holder_b, {2, service, 6}, 10, at({}))->units, 4);
    EXPECT_EQ(outstanding_units(issuer, service), 10);
}

TEST(grant_issuer, a_repeated_request_is_not_answered_twice)
{
    grant_issuer issuer;
    ASSERT_TRUE(issue_grant(issuer, holder_a, {1, service, 6}, 10, at({})));
    EXPECT_FALSE(issue_grant(issuer, holder_a, {1, service, 6}, 10, at(milliseconds(1))));
    EXPECT_EQ(outstanding_units(issuer, service), 6);
}

TEST(grant_issuer, a_smaller_grant_frees_the_rest_only_when_the_larger_one_expires)
{
    grant_issuer issuer;
    issue_grant(issuer, holder_a, {1, service, 6}, 10, at({}));
    issue_grant(issuer, holder_a, {2, service, 2}, 10, at(milliseconds(1000)));
    EXPECT_EQ(outstanding_units(issuer, service), 6);
    expire_grants(issuer, at(grant_lifetime + grant_margin));
    EXPECT_EQ(outstanding_units(issuer, service), 2);
}

TEST(grant_issuer, a_return_that_arrives_late_shrinks_no_later_grant)
{
    grant_issuer issuer;
    issue_grant(issuer, holder_a, {1, service, 6}, 10, at({}));
    issue_grant(issuer, holder_a, {3, service, 5}, 10, at(milliseconds(10)));
    apply_grant_return(issuer, holder_a, {2, service, 1});
    EXPECT_EQ(outstanding_units(issuer, service), 5);
}

TEST(grant_issuer, a_new_issuer_grants_nothing_until_its_predecessors_grants_have_expired)
{
    grant_issuer issuer;
    issuer.no_grants_before = at(grant_lifetime + grant_margin);
    EXPECT_EQ(issue_grant(issuer, holder_a, {1, service, 1}, 10, at({}))->units, 0);
    EXPECT_EQ(issue_grant(issuer, holder_a, {2, service, 1}, 10, issuer.no_grants_before)->units,
              1);
}

TEST(grant_holder, uses_no_more_than_granted_and_stops_in_time)
{
    holder_fixture fixture;
    grant_key const key{service, zone_id{"zb"}};
    node_id const issuer{"g"};
    auto const request = start_grant_request(fixture.grants, key, issuer, 2, at({}));
    struct step {
        char const* name;
        milliseconds when;
        bool answered; ///< whether the answer arrives just before
        bool usable;
    };
    std::vector<step> const steps{
        {"before the answer", milliseconds(10), false, false},
        {"after the answer", milliseconds(2000), true, true},
        {"duplicate answer", milliseconds(2100), true, true},
        {"all in use", milliseconds(2200), false, false},
        {"expired, counted from the request", grant_lifetime, false, false},
    };
    for (step const& s : steps) {
        if (s.answered) {
            on_grant_answer(fixture.grants, fixture.view(at(s.when)), issuer,
                            {request.sequence, service, 2, grant_lifetime});
        }
        EXPECT_EQ(use_grant(fixture.grants, fixture.view(at(s.when)), key), s.usable) << s.name;
    }
}

TEST(grant_holder, an_answer_to_an_older_request_changes_nothing)
{
    holder_fixture fixture;
    grant_key const key{service, zone_id{"zb"}};
    auto const old = start_grant_request(fixture.grants, key, node_id{"g"}, 2, at({}));
    start_grant_request(fixture.grants, key, node_id{"g"}, 2, at(milliseconds(500)));
    on_grant_answer(fixture.grants, fixture.view(at(milliseconds(600))), node_id{"g"},
                    {old.sequence, service, 2, grant_lifetime});
    EXPECT_FALSE(use_grant(fixture.grants, fixture.view(at(milliseconds(600))), key));
}

/** With a mechanism disabled, an invariant detects the violation. */
TEST(grant_holder, disabled_mechanisms_violate_invariants)
{
    grant_key const key{service, zone_id{"zb"}};
    holder_fixture late;
    late.disabled.grant_expiry = true;
    auto const request = start_grant_request(late.grants, key, node_id{"g"}, 2, at({}));
    on_grant_answer(late.grants, late.view(at(milliseconds(10))), node_id{"g"},
                    {request.sequence, service, 2, grant_lifetime});
    EXPECT_THROW(use_grant(late.grants, late.view(at(grant_lifetime)), key), invariant_violation);
    holder_fixture none;
    none.disabled.grants = true;
    EXPECT_THROW(use_grant(none.grants, none.view(at({})), key), invariant_violation);
}

/**
 * One issuer and three holders with clock rates of 0.95 to 1.05, joined by a network that loses,
 * duplicates, delays and reorders messages.
 */
class grant_simulation {
public:
    explicit grant_simulation(std::uint64_t seed) : random_(seed)
    {
        for (std::size_t i = 0; i < holders_.size(); ++i) {
            holders_[i].self.id = node_id{std::string(1, static_cast<char>('a' + i))};
            rates_[i] = 0.95 + 0.01 * static_cast<double>(below(11));
        }
    }

    void run(int steps)
    {
        for (int i = 0; i < steps; ++i) {
            now_ += milliseconds(below(120));
            deliver();
            act(below(holders_.size()));
            check();
        }
    }

private:
    using message = std::variant<grant_request, grant_return, grant_answer>;
    struct in_flight {
        mono_time when;
        std::size_t holder;
        message body;
        bool operator<(in_flight const& other) const { return when > other.when; }
    };

    std::uint64_t below(std::uint64_t limit) { return random_below(random_, limit); }

    mono_time clock_of(std::size_t i) const
    {
        auto const passed = now_ - at({});
        return at({}) + std::chrono::duration_cast<microseconds>(passed * rates_.at(i));
    }

    void send(std::size_t holder, message const& body)
    {
        for (std::uint64_t copies = below(10) == 0 ? below(3) : 1; copies > 0; --copies) {
            network_.push({now_ + milliseconds(below(below(8) == 0 ? 5000 : 60)), holder, body});
        }
    }

    void act(std::size_t i)
    {
        holder_fixture& fixture = holders_.at(i);
        auto const view = fixture.view(clock_of(i));
        std::uint64_t const dice = below(10);
        if (dice < 3) {
            send(i, start_grant_request(fixture.grants, key_, issuer_id_,
                                        static_cast<int>(below(12)), clock_of(i)));
        }
        else if (dice == 3) {
            if (auto const returned = return_unused(fixture.grants, key_, clock_of(i))) {
                send(i, *returned);
            }
        }
        else if (dice < 8) {
            use_grant(fixture.grants, view, key_);
        }
        else {
            release_grant(fixture.grants, key_);
        }
    }

    void deliver()
    {
        while (!network_.empty() && network_.top().when <= now_) {
            in_flight const next = network_.top();
            network_.pop();
            grant_holder_key const who{holders_.at(next.holder).self.id, incarnation_id{1},
                                       service};
            if (auto const* request = std::get_if<grant_request>(&next.body)) {
                if (auto const answer = issue_grant(issuer_, who, *request, most_units, now_)) {
                    send(next.holder, *answer);
                }
            }
            else if (auto const* back = std::get_if<grant_return>(&next.body)) {
                apply_grant_return(issuer_, who, *back);
            }
            else {
                on_grant_answer(holders_.at(next.holder).grants,
                                holders_.at(next.holder).view(clock_of(next.holder)), issuer_id_,
                                std::get<grant_answer>(next.body));
            }
        }
    }

    void check()
    {
        expire_grants(issuer_, now_);
        RC_ASSERT(outstanding_units(issuer_, service) <= most_units);
        int usable = 0;
        for (std::size_t i = 0; i < holders_.size(); ++i) {
            auto const held = holders_.at(i).grants.grants.find(key_);
            if (held != holders_.at(i).grants.grants.end() && clock_of(i) < held->second.expires) {
                usable += held->second.units;
            }
        }
        RC_ASSERT(usable <= outstanding_units(issuer_, service));
    }

    static constexpr int most_units = 15;
    random_engine random_;
    mono_time now_ = at({});
    grant_issuer issuer_;
    std::array<holder_fixture, 3> holders_;
    std::array<double, 3> rates_{};
    std::priority_queue<in_flight> network_;
    grant_key key_{service, zone_id{"zb"}};
    node_id issuer_id_{"g"};
};

RC_GTEST_PROP(grants, holders_never_use_more_than_the_issuer_counts, (std::uint64_t seed))
{
    grant_simulation(seed).run(400);
}

TEST(steering_codec, messages_round_trip)
{
    std::vector<peer_message> const messages{
        load_report{{{service, 6, 1, 2, 3, 4}}},
        zone_summary{node_id{"n"}, 9, {{service, 6, 1, 2, 3, 4}}, {{service, zone_id{"z"}, 0.25}}},
        grant_request{3, service, 5},
        grant_answer{3, service, 5, grant_lifetime, 7},
        grant_return{4, service, 1},
    };
    for (peer_message const& message : messages) {
        auto const bytes = encode_envelope({node_id{"n"}, incarnation_id{1}, message});
        auto const back = decode_envelope(bytes);
        ASSERT_TRUE(back);
        EXPECT_EQ(back->body.index(), message.index());
        EXPECT_EQ(encode_envelope(*back), bytes);
    }
}

} // namespace
