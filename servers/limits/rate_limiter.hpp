#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"
#include "servers/limits/token_bucket.hpp"

#include <atomic>
#include <map>
#include <memory>
#include <tuple>

namespace savorydock {

struct limit_key {
    service_name service;
    caller_id caller;
};

/// Orders keys. Also compares them with references to names, so that a lookup
/// doesn't copy strings.
struct limit_key_less {
    using is_transparent = void;
    using view = std::tuple<const service_name&, const caller_id&>;

    static view of(const limit_key& key) { return {key.service, key.caller}; }
    static view of(const view& key) { return key; }

    template <class Left, class Right>
    bool operator()(const Left& left, const Right& right) const {
        return of(left) < of(right);
    }
};

using bucket_map =
    std::map<limit_key, std::shared_ptr<token_bucket>, limit_key_less>;

/// Admits requests within this instance's share of each caller's limit.
/// Thread safe; `admit` uses no mutex and allocates nothing.
class rate_limiter {
public:
    /// Whether the request may run. Always true for callers without a limit.
    [[nodiscard]] bool admit(const service_name& service,
                             const caller_id& caller, steady_time now) const {
        const auto buckets = buckets_.load();
        if (!buckets) {
            return true;
        }
        const auto found = buckets->find(limit_key_less::view(service, caller));
        return found == buckets->end() || found->second->admit(now);
    }

    /// Replaces the buckets of all limited callers. Called on the control
    /// thread.
    void publish(std::shared_ptr<const bucket_map> buckets) {
        buckets_.store(std::move(buckets));
    }

private:
    std::atomic<std::shared_ptr<const bucket_map>> buckets_;
};

} // namespace savorydock
