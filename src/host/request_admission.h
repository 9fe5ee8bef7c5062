#pragma once
/** @file Admission of requests by their access keys, in terms of header fields. */

#include "core/time_type.h"
#include "http/http_type.h"
#include "log/log_limiter.h"
#include "traffic/traffic_event.h"
#include "workspace/workspace_gate.h"

#include <functional>
#include <memory>

namespace cove {

/** What an admitted request may run on; kept until it is answered. */
struct request_credentials {
    workspace_id workspace;  ///< empty: none
    std::string key;         ///< as the client sent it; empty: none. Never logged
    std::string fingerprint; ///< of the key, as a relaying host sent it; empty: none
    bool key_needed = false; ///< false on public routes
};

/** An admitted request, or the answer to a refused one. */
struct admission_result {
    boost::beast::http::status refused = boost::beast::http::status::unknown; ///< unknown: admitted
    request_credentials credentials = {};
    request_terms terms = {};
    std::string identity = {}; ///< what tells the requests of different clients apart
};

/** Names of the fields of this host's requests that concern workspaces. */
struct admission_fields {
    std::string workspace;  ///< name of the workspace, for targets
    std::string key_scheme; ///< of Authorization, before the access key
};

/**
 * Admits requests while the configuration has workspaces. The client's own Authorization and
 * workspace fields are removed then; targets get the name of the workspace only, other hosts the
 * fingerprint of the key.
 */
class request_admission {
public:
    request_admission(admission_fields fields, log_limiter& log);

    void set_config(routing_config const& config);

    /** @param fresh whether the configuration is known to be new enough, at the time of the call;
     * without it, it always is. */
    void set_freshness(std::function<bool()> fresh) { fresh_ = std::move(fresh); }

    /** Decides on @p request and removes the fields that targets must not get. */
    admission_result admit(http_request& request, route_config const& route, bool relayed);

    /** @return whether a request that was admitted may still be sent. */
    [[nodiscard]] bool may_send(request_credentials const& credentials) const;

    /** Counts a request that may_send() has stopped. */
    void note_stopped(std::string const& request, request_credentials const& credentials);

    /** Sets the fields of a request to a target. */
    void prepare_for_target(http_request& message, request_credentials const& credentials) const;

    /** Sets the fields of a request that another host is to carry. */
    void prepare_for_relay(http_request& message, request_credentials const& credentials) const;

    /** @return a value of WWW-Authenticate. */
    [[nodiscard]] std::string const& key_scheme() const { return fields_.key_scheme; }
    [[nodiscard]] bool has_workspaces() const { return directory_ != nullptr; }
    [[nodiscard]] std::uint64_t unauthorized() const { return unauthorized_; }
    [[nodiscard]] std::uint64_t stale_refusals() const { return stale_refusals_; }

    /// Time after which a client that got 503 may ask again; a proof arrives within a second.
    static constexpr milliseconds retry_after{500};

private:
    [[nodiscard]] bool fresh() const { return !fresh_ || fresh_(); }
    [[nodiscard]] bool key_known(request_credentials const& credentials) const;
    [[nodiscard]] admission_decision decide(http_request const& request, route_config const& route,
                                            bool by_other_host) const;
    void remove_fields(http_request& message) const;
    void note_refusal(admission_decision const& decision, route_config const& route,
                      std::string const& fingerprint);

    admission_fields fields_;
    workspace_gate gate_;
    log_limiter& log_;
    std::function<bool()> fresh_;
    std::unique_ptr<workspace_directory> directory_; ///< null: there are no workspaces
    generation version_;
    std::uint64_t unauthorized_ = 0;
    std::uint64_t stale_refusals_ = 0;
};

} // namespace cove
