#include "servers/delivery/suspect_permits.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace savorydock {

namespace {

constexpr std::chrono::minutes max_permit_duration{10};
constexpr std::uint64_t fnv_basis = 14'695'981'039'346'656'037U;
constexpr std::uint64_t fnv_prime = 1'099'511'628'211U;

/// Weight for rendezvous hashing. Unlike std::hash, it is the same in every
/// process.
std::uint64_t rendezvous_weight(const service_name& service,
                                const instance_id& name) {
    std::uint64_t hash = fnv_basis;
    for (const char character : service.text() + '\n' + name.text()) {
        hash = (hash ^ static_cast<unsigned char>(character)) * fnv_prime;
    }
    // Mix the bits; otherwise the last characters alone would determine the
    // order of the instances.
    hash ^= hash >> 32U;
    hash *= fnv_prime;
    return hash ^ (hash >> 29U);
}

} // namespace

bool suspect_permits::grant(const permit_request& request, steady_time now) {
    if (granted_.contains(request.permit)) {
        return true;
    }
    const bool is_taken =
        std::any_of(granted_.begin(), granted_.end(), [&](const auto& entry) {
            const permit_request& other = entry.second.request;
            return other.service == request.service &&
                   (other.fingerprint == request.fingerprint ||
                    other.upstream == request.upstream);
        });
    if (is_taken) {
        return false;
    }
    const auto duration = std::clamp<std::chrono::milliseconds>(
        request.duration, std::chrono::milliseconds(1), max_permit_duration);
    granted_[request.permit] = {.request = request, .end = now + duration};
    return true;
}

void suspect_permits::release(const std::string& permit) {
    granted_.erase(permit);
}

std::vector<permit_request> suspect_permits::take_expired(steady_time now) {
    std::vector<permit_request> expired;
    std::erase_if(granted_, [&](const auto& entry) {
        if (now < entry.second.end) {
            return false;
        }
        expired.push_back(entry.second.request);
        return true;
    });
    return expired;
}

instance_id arbiter_of(const service_name& service,
                       std::span<const instance_id> alive) {
    assert(!alive.empty());
    return *std::max_element(alive.begin(), alive.end(),
                             [&](const auto& a, const auto& b) {
                                 return rendezvous_weight(service, a) <
                                        rendezvous_weight(service, b);
                             });
}

} // namespace savorydock
