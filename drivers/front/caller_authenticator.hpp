#pragma once

#include "core/http_message.hpp"
#include "core/logger.hpp"
#include "servers/fleet/fleet_state.hpp"
#include "servers/identity/caller_identifier.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace savorydock {

/// Counts of identified and refused callers, for the metrics.
struct identity_counters {
    /// Requests refused because they had no key, an unknown key, or a key that
    /// could not be confirmed.
    std::uint64_t missing_keys = 0;
    std::uint64_t unknown_keys = 0;
    std::uint64_t uncertain_keys = 0;
    /// Calls about jobs of other organisations.
    std::uint64_t foreign_jobs = 0;
    /// Answered requests by organisation; those of organisations beyond the
    /// limit are counted under an empty name.
    std::map<organisation_id, std::uint64_t> served;
};

/// The caller of one request. Components behind the entry point get the
/// organisation from it, never the key.
struct authenticated_caller {
    caller_identity identity;
    /// The request has a key, or other credentials.
    bool has_credentials = false;
    /// The configuration has organisations, so that the caller's credentials
    /// and its own organisation header must not be passed on.
    bool strips_credentials = false;
    /// Whether the request may still be sent to an upstream; empty if that
    /// can't change.
    std::function<bool()> is_allowed;
};

/// Identifies the callers of requests at the entry point. Not thread safe: all
/// calls must come from one traffic thread.
class caller_authenticator {
public:
    /// Organisations that are counted by name, which bounds the metrics.
    static constexpr std::size_t max_counted_organisations = 64;

    /// All references must outlive the authenticator.
    caller_authenticator(const fleet_state& fleet, logger& log);

    /// Requests with a removed key must not run after this time; absent if keys
    /// follow the configuration like routes.
    void set_revocation_bound(std::optional<std::chrono::milliseconds> bound);

    /// Identifies the caller of a request. `request` must stay valid as long as
    /// the result is used. `is_public`: the request needs no key.
    [[nodiscard]] authenticated_caller authenticate(const http_request& request,
                                                    const route_table& routes,
                                                    bool is_public) const;

    /// Counts and logs the refusal of a request, and returns the answer to it.
    /// Precondition: the caller isn't admitted.
    [[nodiscard]] http_response refuse(const authenticated_caller& caller,
                                       const std::string& request);

    /// A request of the caller was answered.
    void on_served(const organisation_id& organisation);
    /// A call was about a job of another organisation.
    void on_foreign_job() { ++counters_.foreign_jobs; }

    [[nodiscard]] const identity_counters& counters() const {
        return counters_;
    }

private:
    /// Whether the key of an identified request still belongs to its
    /// organisation.
    [[nodiscard]] bool is_confirmed(const http_request& request,
                                    const organisation_id& organisation) const;

    const fleet_state& fleet_;
    logger& log_;
    caller_identifier identifier_{std::nullopt};
    identity_counters counters_;
};

/// Returns a field for a log line, with a leading space, or nothing if there is
/// no organisation. Thread safe.
[[nodiscard]] std::string organisation_field(const organisation_id& name);

} // namespace savorydock
