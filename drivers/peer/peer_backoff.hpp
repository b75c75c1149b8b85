#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace savorydock {

struct peer_backoff_options {
    std::chrono::milliseconds min_delay{200};
    std::chrono::milliseconds max_delay{5'000};
    std::uint64_t seed = 1;
};

/// Decides when to retry unreachable peers. The delay of a peer doubles with
/// each failure and is jittered. Tracks at most `max_peers`. Not thread safe.
class peer_backoff {
public:
    static constexpr std::size_t max_peers = 4'096;

    explicit peer_backoff(peer_backoff_options options);

    [[nodiscard]] bool must_wait(const std::string& peer,
                                 steady_time now) const;
    void record_failure(const std::string& peer, steady_time now);
    void record_success(const std::string& peer);

    /// Removes peers whose retry time passed more than `max_delay` ago.
    void remove_expired(steady_time now);

private:
    struct failed_peer {
        steady_time retry_at{};
        std::chrono::milliseconds delay{0};
    };

    const peer_backoff_options options_;
    seeded_random_source random_;
    std::unordered_map<std::string, failed_peer> peers_;
};

} // namespace savorydock
