#include "drivers/front/caller_authenticator.hpp"

#include "platform/request_codec.hpp"

namespace savorydock {

namespace {

constexpr unsigned status_unavailable = 503;

} // namespace

caller_authenticator::caller_authenticator(const fleet_state& fleet,
                                           logger& log)
    : fleet_(fleet)
    , log_(log) {}

void caller_authenticator::set_revocation_bound(
    std::optional<std::chrono::milliseconds> bound) {
    identifier_ = caller_identifier(bound);
}

authenticated_caller
caller_authenticator::authenticate(const http_request& request,
                                   const route_table& routes,
                                   bool is_public) const {
    if (!routes.keys().has_organisations()) {
        return {};
    }
    const auto key = platform::decode_key(request);
    authenticated_caller caller{
        .identity = identifier_.identify(routes.keys(),
                                         {.key = key, .is_public = is_public},
                                         fleet_.find_view_age()),
        .has_credentials = key.has_value(),
        .strips_credentials = true};
    // Public requests run also without a known key.
    if (identifier_.is_strict() && !is_public &&
        caller.identity.kind == identity_kind::identified) {
        caller.is_allowed = [this, &request,
                             organisation = caller.identity.organisation] {
            return is_confirmed(request, organisation);
        };
    }
    return caller;
}

bool caller_authenticator::is_confirmed(
    const http_request& request, const organisation_id& organisation) const {
    // The routes may have been replaced since the request was read.
    const auto routes = fleet_.routes;
    const caller_identity identity = identifier_.identify(
        routes->keys(), {.key = platform::decode_key(request)},
        fleet_.find_view_age());
    return identity.kind == identity_kind::anonymous ||
           (identity.kind == identity_kind::identified &&
            identity.organisation == organisation);
}

http_response caller_authenticator::refuse(const authenticated_caller& caller,
                                           const std::string& request) {
    const bool is_uncertain = caller.identity.kind == identity_kind::uncertain;
    std::uint64_t& count = is_uncertain             ? counters_.uncertain_keys
                           : caller.has_credentials ? counters_.unknown_keys
                                                    : counters_.missing_keys;
    ++count;
    http_response response =
        is_uncertain
            ? platform::make_local_response(status_unavailable,
                                            "the key can't be checked now",
                                            caller.identity.retry_after)
            : platform::make_unauthorized_response();
    const std::string reason = is_uncertain             ? "uncertain"
                               : caller.has_credentials ? "unknown_key"
                                                        : "missing_key";
    log_.write(log_event::request_refused,
               "request=" + request +
                   organisation_field(caller.identity.organisation) +
                   " status=" + std::to_string(response.status) +
                   " configuration=" +
                   std::to_string(fleet_.routes->configuration().version) +
                   ' ' + to_text(fleet_.find_view_age()) + " reason=" + reason);
    return response;
}

void caller_authenticator::on_served(const organisation_id& organisation) {
    if (organisation.is_empty()) {
        return;
    }
    const bool is_named = counters_.served.contains(organisation) ||
                          counters_.served.size() < max_counted_organisations;
    ++counters_.served[is_named ? organisation : organisation_id()];
}

std::string organisation_field(const organisation_id& name) {
    return name.is_empty() ? "" : " organisation=" + name.text();
}

} // namespace savorydock
