#pragma once

#include "servers/fleet/view_age.hpp"
#include "servers/identity/key_table.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

namespace savorydock {

/// What is known about the caller of a request.
enum class identity_kind : std::uint8_t {
    /// The request may run, without an organisation.
    anonymous,
    /// The request may run for the organisation.
    identified,
    /// The request must not run: its key is missing or belongs to none.
    unknown_key,
    /// The request must not run now: the configuration may be out of date.
    uncertain,
};

struct caller_identity {
    identity_kind kind = identity_kind::anonymous;
    /// If `identified`: the organisation and its priority. If `uncertain`: the
    /// organisation that has the key by the present view, for log lines.
    organisation_id organisation;
    std::optional<std::uint32_t> rank;
    /// If `uncertain`: the time after which the caller may retry.
    std::chrono::milliseconds retry_after{0};

    /// Whether the request may run.
    [[nodiscard]] bool is_admitted() const {
        return kind == identity_kind::anonymous ||
               kind == identity_kind::identified;
    }
};

/// The key of a request and where it was sent.
struct presented_key {
    /// Absent if the request has none.
    std::optional<std::string_view> key;
    /// The request's route needs no key.
    bool is_public = false;
};

/// Decides for which organisation a request runs. Refuses keys with certainty
/// only if the view is current, because a key may be new. In a strict
/// deployment accepts keys only if the view is young enough, because a key may
/// have been removed. Thread safe.
class caller_identifier {
public:
    /// Before the store drops its history its watches may miss changes for a
    /// second, so that a confirmed age may be too small by that time. The rest
    /// covers the way from the decision to the upstream.
    static constexpr std::chrono::milliseconds revocation_margin{1'300};

    /// `revocation_bound` is the time after which no request with a removed key
    /// may run; absent if keys follow the configuration like routes.
    explicit caller_identifier(
        std::optional<std::chrono::milliseconds> revocation_bound);

    /// `view` is the age of the configuration with these keys.
    [[nodiscard]] caller_identity identify(const key_table& keys,
                                           const presented_key& presented,
                                           const view_age& view) const;

    /// Whether keys are accepted only if the view is young enough.
    [[nodiscard]] bool is_strict() const { return max_age_.has_value(); }

private:
    [[nodiscard]] bool may_accept(const view_age& view) const;
    [[nodiscard]] std::chrono::milliseconds
    retry_time(const view_age& view) const;

    /// The largest confirmed age at which keys are accepted.
    std::optional<std::chrono::milliseconds> max_age_;
};

/// Returns a word for log lines and metrics. Thread safe.
[[nodiscard]] std::string_view name_of(identity_kind kind);

} // namespace savorydock
