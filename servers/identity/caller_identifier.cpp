#include "servers/identity/caller_identifier.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Bounds of the time after which an uncertain request may be retried. Lost
/// watches are usually noticed within the first; the second keeps the load
/// of retries low while the store is away.
constexpr std::chrono::milliseconds min_retry_time{250};
constexpr std::chrono::milliseconds max_retry_time{1'000};

} // namespace

caller_identifier::caller_identifier(
    std::optional<std::chrono::milliseconds> revocation_bound) {
    if (revocation_bound) {
        max_age_ = *revocation_bound - revocation_margin;
    }
}

bool caller_identifier::may_accept(const view_age& view) const {
    return !max_age_ ||
           (view.confirmed_age && *view.confirmed_age <= *max_age_);
}

std::chrono::milliseconds
caller_identifier::retry_time(const view_age& view) const {
    if (!max_age_ || !view.confirmed_age) {
        return min_retry_time;
    }
    return std::clamp(*view.confirmed_age - *max_age_, min_retry_time,
                      max_retry_time);
}

caller_identity caller_identifier::identify(const key_table& keys,
                                            const presented_key& presented,
                                            const view_age& view) const {
    if (!keys.has_organisations()) {
        return {};
    }
    const key_table::owner* const owner =
        presented.key ? keys.find(*presented.key) : nullptr;
    if (owner != nullptr && may_accept(view)) {
        return {.kind = identity_kind::identified,
                .organisation = owner->organisation,
                .rank = owner->rank};
    }
    if (presented.is_public) {
        return {};
    }
    const bool is_refused_for_good = owner == nullptr && view.is_current &&
                                     (!presented.key || may_accept(view));
    if (is_refused_for_good) {
        return {.kind = identity_kind::unknown_key};
    }
    return {.kind = identity_kind::uncertain,
            .organisation =
                owner == nullptr ? organisation_id() : owner->organisation,
            .retry_after = retry_time(view)};
}

std::string_view name_of(identity_kind kind) {
    switch (kind) {
    case identity_kind::anonymous:
        return "anonymous";
    case identity_kind::identified:
        return "identified";
    case identity_kind::unknown_key:
        return "unknown_key";
    case identity_kind::uncertain:
        return "uncertain";
    }
    return "unlisted";
}

} // namespace savorydock
