#pragma once
/** @file Simulated hosts that exchange the store's data, in virtual time and over slow links. */

#include "core/scheduler.h"
#include "peer/replication.h"

#include <map>
#include <memory>
#include <set>

namespace cove {

/** How a simulated host differs from the others. */
struct replica_traits {
    std::string zone;
    bool blind = false; ///< its calls to the store are acknowledged and never answered
    double slow = 1;    ///< factor of the time that it takes to process a message
};

/** Sizes and times of the simulated system. */
struct replica_model {
    double link_bytes_per_second = 20e6 / 8;
    std::size_t targets = 1215;
    std::size_t config_bytes = 8'000; ///< in zlib format
    milliseconds leader_notice{4650}; ///< time after which the first follower knows of its loss
    milliseconds standby_notice{11'000};
    double processing_ns_per_byte = 200; ///< on a tenth of a core
    double lost_share = 0;               ///< of all messages, after start()
};

/** A host with its copies of the store's data. */
class replica_host {
public:
    replica_host(std::string const& name, replica_traits traits, replica_model const& model,
                 std::uint64_t seed)
        : traits_(std::move(traits)), model_(model), view_(self_report(name, traits_.zone), seed),
          replication_("ip-" + name, zone_id(traits_.zone), view_, access(), seed)
    {
    }

    [[nodiscard]] std::string ip() const { return "ip-" + name_of_view_; }

    host_effects tick(mono_time now)
    {
        host_effects out = view_.tick(state(now), now);
        append(out, replication_.tick(role(now), now));
        return out;
    }

    host_effects on(host_message const& message, mono_time now)
    {
        if (auto const* const reports = std::get_if<gossip>(&message)) {
            return view_.receive(*reports, now);
        }
        if (auto const* const pull = std::get_if<pull_request>(&message)) {
            return replication_.on(*pull, now);
        }
        if (auto const* const changes = std::get_if<target_changes>(&message)) {
            return apply(*changes) ? replication_.targets_from_peer(*changes, now) : host_effects();
        }
        if (auto const* const refused = std::get_if<pull_refused>(&message)) {
            return replication_.on(*refused, role(now), now);
        }
        if (auto const* const notice = std::get_if<change_notice>(&message)) {
            return replication_.on(*notice, now);
        }
        if (auto const* const snapshot = std::get_if<host_snapshot>(&message)) {
            return on(*snapshot, now);
        }
        return {};
    }

    /** The store delivers version @p version of the configuration to this host. */
    host_effects config_from_store(generation version, mono_time now)
    {
        return apply_config(version, now) ? replication_.config_from_store(now) : host_effects();
    }

    /** The store delivers a change of the list of targets. */
    host_effects targets_from_store(store_position at, mono_time now)
    {
        target_changes changes{versions_.targets, at, {}};
        for (auto change = versions_.targets.at.value + 1; change <= at.at.value; ++change) {
            changes.changes.push_back({id_of_change(change), std::nullopt});
        }
        return apply(changes) ? replication_.targets_from_store(changes, now) : host_effects();
    }

    /** The store delivers a change of the evacuations. */
    host_effects evacuations_from_store(store_position at, mono_time now)
    {
        if (at <= versions_.evacuations) {
            return {};
        }
        versions_.evacuations = at;
        evacuations_at_ = now;
        return replication_.evacuations_from_store(true, now);
    }

    void start_with(known_versions const& versions)
    {
        versions_ = versions;
        replication_.targets_listed(versions.targets);
        replication_.evacuations_listed(versions.evacuations);
        targets_.entries.resize(model_.targets);
        for (std::size_t i = 0; i < targets_.entries.size(); ++i) {
            target_entry& entry = targets_.entries[i];
            entry.id = target_id("i-" + std::to_string(1'000'000 + i));
            entry.service = service_id("logbook-desk");
            entry.zone = zone_id("istra-east");
            entry.address = "10.250.250.250:65000";
        }
    }

    /** Silences the store from @p now on. */
    void blind(mono_time now)
    {
        traits_.blind = true;
        blind_since_ = now;
    }

    [[nodiscard]] bool follows_store(mono_time now) const { return view_.follows_store(2, now); }
    [[nodiscard]] bool is_blind() const { return traits_.blind; }
    [[nodiscard]] known_versions const& versions() const { return versions_; }
    [[nodiscard]] known_versions reported_versions() const
    {
        return replication_.reported_versions();
    }
    /** @return whether each change of the list up to the position of this host's copy is in it. */
    [[nodiscard]] bool has_all_changes() const
    {
        return applied_changes_.size() == versions_.targets.at.value - first_revision;
    }
    [[nodiscard]] mono_time config_at() const { return config_at_; }
    [[nodiscard]] mono_time evacuations_at() const { return evacuations_at_; }
    [[nodiscard]] replica_traits const& traits() const { return traits_; }
    [[nodiscard]] host_view& view() { return view_; }

    static constexpr std::uint64_t first_revision = 1; ///< of the store at the start
    mono_time sending_until{};    ///< by the bytes that its link has still to send
    mono_time receiving_until{};  ///< the same for those that it receives
    mono_time processing_until{}; ///< by the messages that it has still to process
    mono_time paused_until{};     ///< it does nothing before
    std::map<std::string, int> log_lines;

private:
    host_report self_report(std::string const& name, std::string const& zone)
    {
        name_of_view_ = name;
        host_report out;
        out.name = node_id(name);
        out.zone = zone_id(zone);
        out.ip = "ip-" + name;
        out.client_address = "10.0.0.1:80";
        out.incarnation = host_incarnation(1);
        out.ready = true;
        return out;
    }

    replica_access access()
    {
        replica_access out;
        out.versions = [this] { return versions_; };
        out.config = [this]() -> std::optional<packed_config> {
            return packed_config{versions_.config, std::string(model_.config_bytes, 'c')};
        };
        out.targets = [this]() -> std::optional<target_snapshot> {
            target_snapshot list = targets_;
            list.at = versions_.targets;
            for (target_id const& id : applied_changes_) {
                target_entry& entry = list.entries.emplace_back();
                entry.id = id;
                entry.phase = target_phase::leaving;
            }
            return list;
        };
        out.evacuations = [this] { return evacuation_snapshot{{}, versions_.evacuations}; };
        out.doubt_store = [](pull_kind) {}; // the store says nothing all the same
        out.log = [this](std::string const& name, log_fields const&) { ++log_lines[name]; };
        return out;
    }

    static void append(host_effects& out, host_effects more)
    {
        out.insert(out.end(), std::make_move_iterator(more.begin()),
                   std::make_move_iterator(more.end()));
    }

    /// At the shortest drain time of the deployments, 2 s.
    static constexpr milliseconds targets_pause{250};

    [[nodiscard]] bool store_lost(mono_time now) const
    {
        bool const leads = view_.follows_store(1, now);
        milliseconds const notice = leads ? model_.leader_notice : model_.standby_notice;
        return traits_.blind && view_.follows_store(2, now) && now - blind_since_ >= notice;
    }

    [[nodiscard]] replica_role role(mono_time now) const
    {
        return {true, view_.follows_store(2, now), store_lost(now), targets_pause};
    }

    [[nodiscard]] local_host_state state(mono_time now) const
    {
        local_host_state own;
        own.ready = true;
        own.versions = replication_.reported_versions();
        own.store_lost = store_lost(now);
        return own;
    }

    host_effects on(host_snapshot const& message, mono_time now)
    {
        host_effects out = replication_.relay(message);
        if (message.config && apply_config(message.config->version, now)) {
            append(out, replication_.config_from_peer(message, now));
        }
        if (message.targets) {
            if (message.targets->at >= versions_.targets) {
                versions_.targets = message.targets->at;
                applied_changes_.clear();
                for (target_entry const& entry : message.targets->entries) {
                    if (entry.phase == target_phase::leaving) {
                        applied_changes_.insert(entry.id);
                    }
                }
                replication_.targets_from_peer(message);
            }
        }
        if (message.evacuations && message.evacuations->at > versions_.evacuations) {
            versions_.evacuations = message.evacuations->at;
            evacuations_at_ = now;
            append(out, replication_.evacuations_from_peer(message, now));
        }
        return out;
    }

    bool apply_config(generation version, mono_time now)
    {
        if (version <= versions_.config) {
            return false;
        }
        versions_.config = version;
        config_at_ = now;
        return true;
    }

    bool apply(target_changes const& changes)
    {
        if (changes.from > versions_.targets || changes.to <= versions_.targets) {
            return false;
        }
        versions_.targets = changes.to;
        for (target_change const& change : changes.changes) {
            applied_changes_.insert(change.id);
        }
        return true;
    }

    static target_id id_of_change(std::uint64_t change)
    {
        return target_id("c-" + std::to_string(change));
    }

    std::string name_of_view_;
    replica_traits traits_;
    replica_model model_;
    known_versions versions_;
    target_snapshot targets_;             ///< those that do not change
    std::set<target_id> applied_changes_; ///< the target that left with each of them
    mono_time config_at_{};
    mono_time evacuations_at_{};
    mono_time blind_since_{};
    host_view view_;
    replication replication_;
};

/** Hosts of several zones, their links and the store. */
class replica_fleet {
public:
    explicit replica_fleet(std::uint64_t seed, replica_model model = {})
        : model_(model), random_(seed)
    {
        newest_.config = generation(1);
        newest_.targets =
            newest_.evacuations = {store_era(1), revision(replica_host::first_revision)};
    }

    replica_host& add(std::string const& name, replica_traits const& traits)
    {
        auto& host = hosts_["ip-" + name];
        host = std::make_unique<replica_host>(name, traits, model_, random_());
        host->start_with(newest_);
        return *host;
    }

    /** Lets the hosts know each other and tick, each in its own phase. */
    void start()
    {
        for (auto& [ip, host] : hosts_) {
            for (auto& [other_ip, other] : hosts_) {
                host->view().add_contact(node_id(other_ip.substr(3)), zone_id(other->traits().zone),
                                         other_ip, time_.now());
                host->view().add_seed(other_ip);
            }
            tick_after(milliseconds(random_below(random_, host_view::tick_interval.count())), ip);
        }
        run_for(seconds{12});
        lost_share_ = model_.lost_share;
    }

    /** Stops a host for @p time; it then processes what has arrived meanwhile. */
    void pause(std::string const& ip, milliseconds time)
    {
        replica_host& host = *hosts_.at(ip);
        host.paused_until = std::max(host.paused_until, now() + time);
    }

    void run_for(milliseconds time)
    {
        bool over = false;
        time_.after(time, [&over] { over = true; });
        while (!over && time_.run_next()) {
        }
    }

    /** The store takes a new configuration. */
    void change_config()
    {
        newest_.config.value += 1;
        to_followers([version = newest_.config](replica_host& host, mono_time now) {
            return host.config_from_store(version, now);
        });
    }

    void change_targets()
    {
        newest_.targets.at.value += 1;
        to_followers([at = newest_.targets](replica_host& host, mono_time now) {
            return host.targets_from_store(at, now);
        });
    }

    void change_evacuations()
    {
        newest_.evacuations.at.value += 1;
        to_followers([at = newest_.evacuations](replica_host& host, mono_time now) {
            return host.evacuations_from_store(at, now);
        });
    }

    /** Lets targets come and go from now on. */
    void keep_changing_targets(milliseconds interval)
    {
        time_.after(interval, [this, interval] {
            change_targets();
            keep_changing_targets(interval);
        });
    }

    [[nodiscard]] mono_time now() const { return time_.now(); }
    [[nodiscard]] known_versions const& newest() const { return newest_; }
    std::map<std::string, std::unique_ptr<replica_host>>& hosts() { return hosts_; }
    std::uint64_t random_number(std::uint64_t bound) { return random_below(random_, bound); }

    [[nodiscard]] int log_lines(std::string const& name) const
    {
        int out = 0;
        for (auto const& [ip, host] : hosts_) {
            auto const found = host->log_lines.find(name);
            out += found == host->log_lines.end() ? 0 : found->second;
        }
        return out;
    }

    std::map<std::string, std::size_t> bytes_sent; ///< by IP

private:
    static constexpr microseconds in_zone{200};
    static constexpr microseconds between_zones{12'000};

    void tick_after(milliseconds delay, std::string const& ip)
    {
        time_.after(delay, [this, ip] {
            mono_time const resumed = hosts_.at(ip)->paused_until;
            if (resumed > now()) {
                tick_after(std::chrono::ceil<milliseconds>(resumed - now()), ip);
                return;
            }
            transmit(ip, hosts_.at(ip)->tick(time_.now()));
            tick_after(host_view::tick_interval, ip);
        });
    }

    template <class Deliver>
    void to_followers(Deliver const& deliver)
    {
        for (auto& [ip, host] : hosts_) {
            if (!host->is_blind() && host->follows_store(time_.now())) {
                // The pause between two watches, and the call.
                milliseconds const delay(4 + random_below(random_, 150));
                time_.at(std::max(now() + delay, host->paused_until),
                         [this, &host = *host, ip = ip, deliver] {
                             transmit(ip, deliver(host, time_.now()));
                         });
            }
        }
    }

    [[nodiscard]] microseconds time_on_link(std::size_t bytes) const
    {
        return microseconds(static_cast<std::int64_t>(1e6 * static_cast<double>(bytes) /
                                                      model_.link_bytes_per_second));
    }

    void transmit(std::string const& from, host_effects const& effects)
    {
        for (outgoing_host_message const& effect : effects) {
            if (effect.ips.empty()) {
                continue;
            }
            std::size_t const bytes = encode_host_message(effect.message).size();
            auto const message = std::make_shared<host_message const>(effect.message);
            for (std::string const& ip : effect.ips) {
                send(from, ip, message, bytes);
            }
        }
    }

    void send(std::string const& from, std::string const& ip,
              std::shared_ptr<host_message const> const& message, std::size_t bytes)
    {
        auto const receiver = hosts_.find(ip);
        if (receiver == hosts_.end()) {
            return;
        }
        bytes_sent[from] += bytes;
        replica_host& sender = *hosts_.at(from);
        sender.sending_until = std::max(sender.sending_until, time_.now()) + time_on_link(bytes);
        if (lost_share_ > 0 &&
            static_cast<double>(random_below(random_, 1'000'000)) < lost_share_ * 1e6) {
            return;
        }
        bool const local = sender.traits().zone == receiver->second->traits().zone;
        time_.at(sender.sending_until + (local ? in_zone : between_zones),
                 [this, ip, message, bytes] { arrive(ip, message, bytes); });
    }

    void arrive(std::string const& ip, std::shared_ptr<host_message const> const& message,
                std::size_t bytes)
    {
        replica_host& host = *hosts_.at(ip);
        host.receiving_until = std::max(host.receiving_until, time_.now()) + time_on_link(bytes);
        double const work = model_.processing_ns_per_byte * host.traits().slow / 1e3;
        host.processing_until =
            std::max({host.processing_until, host.receiving_until, host.paused_until}) +
            microseconds(static_cast<std::int64_t>(work * static_cast<double>(bytes)));
        time_.at(host.processing_until,
                 [this, &host, ip, message] { transmit(ip, host.on(*message, time_.now())); });
    }

    replica_model model_;
    random_engine random_;
    double lost_share_ = 0;
    scheduler time_;
    known_versions newest_;
    std::map<std::string, std::unique_ptr<replica_host>> hosts_;
};

} // namespace cove
