#include "servers/delivery/suspect_permits.hpp"

#include <algorithm>
#include <cassert>
#include <chrono>

namespace savorydock {

namespace {

constexpr std::chrono::minutes longest_permit{10};
constexpr std::uint64_t fnv_basis = 14'695'981'039'346'656'037U;
constexpr std::uint64_t fnv_prime = 1'099'511'628'211U;

/// A hash that is the same in every process, unlike std::hash.
std::uint64_t weight_of(const service_name& service, const instance_id& name) {
    std::uint64_t hash = fnv_basis;
    for (const char letter : service.text() + '\n' + name.text()) {
        hash = (hash ^ static_cast<unsigned char>(letter)) * fnv_prime;
    }
    // The last letters alone would order the names otherwise.
    hash ^= hash >> 32U;
    hash *= fnv_prime;
    return hash ^ (hash >> 29U);
}

} // namespace

bool suspect_permits::grant(const permit_ask& ask, steady_time now) {
    if (granted_.contains(ask.permit)) {
        return true;
    }
    const bool is_taken =
        std::any_of(granted_.begin(), granted_.end(), [&](const auto& entry) {
            const permit_ask& other = entry.second.ask;
            return other.service == ask.service &&
                   (other.fingerprint == ask.fingerprint ||
                    other.upstream == ask.upstream);
        });
    if (is_taken) {
        return false;
    }
    const auto duration = std::clamp<std::chrono::milliseconds>(
        ask.duration, std::chrono::milliseconds(1), longest_permit);
    granted_[ask.permit] = {.ask = ask, .end = now + duration};
    return true;
}

void suspect_permits::release(const std::string& permit) {
    granted_.erase(permit);
}

std::vector<permit_ask> suspect_permits::take_expired(steady_time now) {
    std::vector<permit_ask> expired;
    std::erase_if(granted_, [&](const auto& entry) {
        if (now < entry.second.end) {
            return false;
        }
        expired.push_back(entry.second.ask);
        return true;
    });
    return expired;
}

instance_id arbiter_of(const service_name& service,
                       std::span<const instance_id> alive) {
    assert(!alive.empty());
    return *std::max_element(
        alive.begin(), alive.end(), [&](const auto& a, const auto& b) {
            return weight_of(service, a) < weight_of(service, b);
        });
}

} // namespace savorydock
