#include "drivers/peer/peer_backoff.hpp"

#include <algorithm>

namespace savorydock {

peer_backoff::peer_backoff(peer_backoff_options options)
    : options_(options)
    , random_(options.seed) {}

bool peer_backoff::must_wait(const std::string& peer, steady_time now) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && now < found->second.retry_at;
}

void peer_backoff::record_failure(const std::string& peer, steady_time now) {
    if (peers_.size() >= max_peers && !peers_.contains(peer)) {
        return;
    }
    failed_peer& entry = peers_[peer];
    entry.delay =
        std::clamp(entry.delay * 2, options_.min_delay, options_.max_delay);
    const auto half = static_cast<std::uint64_t>(entry.delay.count()) / 2;
    entry.retry_at =
        now + std::chrono::milliseconds(half + random_.below(half + 1));
}

void peer_backoff::record_success(const std::string& peer) {
    peers_.erase(peer);
}

void peer_backoff::remove_expired(steady_time now) {
    std::erase_if(peers_, [&](const auto& entry) {
        return now - entry.second.retry_at > options_.max_delay;
    });
}

} // namespace savorydock
