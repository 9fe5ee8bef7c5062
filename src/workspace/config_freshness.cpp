#include "workspace/config_freshness.h"

#include <algorithm>

namespace cove {

namespace {

constexpr milliseconds query_interval{1000};
constexpr milliseconds urgent_query_interval{500};
/// A proof of the first follower reaches the zone within 2 s of the proven moment.
constexpr milliseconds urgent_age{2500};
constexpr milliseconds ask_store_age{2800};
constexpr milliseconds ask_store_interval{1000};
constexpr milliseconds query_retention{3000}; ///< at the host that answers
constexpr milliseconds answer_interval{250};  ///< of repeated answers to one query
/// Answers stay valid for longer, but prove little by then.
constexpr milliseconds sent_retention{5000};
/// Within this time, a host that has read an older copy from the store gets the newest
/// configuration from its peers.
constexpr milliseconds new_era_delay{2000};
constexpr std::size_t max_held = 16;

} // namespace

void config_freshness::enter_era(store_era era, boot_time now)
{
    if (era <= era_) {
        return;
    }
    era_ = era;
    era_counts_from_ = now + new_era_delay;
    store_version_ = {};
}

void config_freshness::config_applied(generation version)
{
    version_ = std::max(version_, version);
    for (held_answer const& held : held_) {
        if (held.version <= version_) {
            prove(held.proven);
        }
    }
    std::erase_if(held_, [this](held_answer const& held) { return held.version <= version_; });
}

void config_freshness::store_proved(boot_time at, store_era era)
{
    bool const is_current = era == era_ && at >= era_counts_from_;
    // An older configuration than that of this host is one that the store has gone back to; a newer
    // one was not applied.
    if (is_current && version_ != generation{} && store_version_ == version_) {
        prove(at);
    }
}

void config_freshness::prove(boot_time at)
{
    proven_ = proven_ ? std::max(*proven_, at) : at;
}

std::optional<outgoing_freshness_answer>
config_freshness::on_query(std::string const& ip, std::uint64_t nonce, boot_time now)
{
    auto& query = received_[ip];
    query = {nonce, now, now, std::nullopt};
    return answer(ip, query, now);
}

std::optional<outgoing_freshness_answer>
config_freshness::answer(std::string const& ip, received_query& query, boot_time now) const
{
    if (!proven_ || (query.told && *query.told >= *proven_)) {
        return std::nullopt;
    }
    query.told = proven_;
    query.answered = now;
    return outgoing_freshness_answer{
        ip, query.nonce, std::chrono::floor<milliseconds>(*proven_ - query.received), version_};
}

/**
 * The query was received after it was sent, so the moment that the other host has proven is not
 * before the one that its offset gives here, however long the messages took.
 */
void config_freshness::on_answer(std::uint64_t nonce, milliseconds offset, generation version,
                                 boot_time now)
{
    auto const query = sent_.find(nonce);
    if (query == sent_.end() || offset > now - query->second) {
        return;
    }
    boot_time const proven = query->second + offset;
    if (version <= version_) {
        prove(proven);
        return;
    }
    if (held_.size() >= max_held) {
        held_.erase(held_.begin());
    }
    held_.push_back({proven, version});
}

void config_freshness::query(std::vector<outgoing_freshness_query>& out, std::string const& ip,
                             boot_time now)
{
    if (!ip.empty()) {
        sent_.emplace(next_nonce_, now);
        out.push_back({ip, next_nonce_++});
    }
}

freshness_effects config_freshness::tick(freshness_sources const& sources, boot_time now)
{
    freshness_effects out;
    if (!bounded()) {
        return out;
    }
    std::erase_if(sent_, [now](auto const& item) { return item.second + sent_retention < now; });
    std::erase_if(received_,
                  [now](auto const& item) { return item.second.received + query_retention < now; });
    for (auto& [ip, query] : received_) {
        if (query.answered + answer_interval <= now) {
            if (auto message = answer(ip, query, now)) {
                out.answers.push_back(std::move(*message));
            }
        }
    }
    auto const due = [now](std::optional<boot_time> const& last, milliseconds interval) {
        return !last || *last + interval <= now;
    };
    bool const urgent = !proven_ || *proven_ + urgent_age < now;
    if (due(queried_, urgent ? urgent_query_interval : query_interval)) {
        queried_ = now;
        query(out.queries, sources.first_follower, now);
    }
    if (urgent && due(queried_more_, urgent_query_interval)) {
        queried_more_ = now;
        query(out.queries, sources.second_peer, now);
        query(out.queries, sources.other_zone, now);
    }
    bool const old = !proven_ || *proven_ + ask_store_age < now;
    if (old && sources.follows_store && due(asked_store_, ask_store_interval)) {
        asked_store_ = now;
        out.ask_store = true;
    }
    return out;
}

bool config_freshness::fresh(boot_time now) const
{
    return !bounded() || (proven_ && now < *proven_ + withdrawal_max_ - safety_margin);
}

std::optional<microseconds> config_freshness::proof_age(boot_time now) const
{
    return proven_ ? std::optional<microseconds>(now - *proven_) : std::nullopt;
}

} // namespace cove
