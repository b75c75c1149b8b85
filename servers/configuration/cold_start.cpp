#include "servers/configuration/cold_start.hpp"

#include <algorithm>

namespace savorydock {

void cold_start::record_hello_sent(const instance_id& peer, steady_time now) {
    asked_peers_.insert(peer);
    if (!first_hello_at_) {
        first_hello_at_ = now;
    }
}

void cold_start::record_digest(const instance_id& peer, bool is_starting,
                               store_revision complete_through,
                               store_revision claimed, steady_time now) {
    const bool is_settled =
        first_hello_at_ && now >= *first_hello_at_ + settling_time;
    if (is_settled) {
        answered_peers_.insert(peer);
    }
    // The claims that a peer has recorded are valid even while the peer itself
    // is starting.
    floor_ = std::max(floor_, claimed);
    if (!is_starting) {
        has_serving_peer_ = true;
        highest_complete_through_ =
            std::max(highest_complete_through_, complete_through);
    }
}

bool cold_start::may_serve(store_revision complete_through,
                           steady_time now) const {
    if (has_store_read_) {
        return true;
    }
    if (!has_serving_peer_ || answered_peers_.empty() ||
        complete_through < floor_) {
        return false;
    }
    const auto waited = now - *first_hello_at_;
    const bool has_all_answers =
        std::includes(answered_peers_.begin(), answered_peers_.end(),
                      asked_peers_.begin(), asked_peers_.end());
    if (!has_all_answers && waited < answer_timeout) {
        return false;
    }
    return complete_through >= highest_complete_through_ ||
           waited >= catch_up_timeout;
}

bool cold_start::try_end(store_revision complete_through, steady_time now) {
    if (is_over_ || !may_serve(complete_through, now)) {
        return false;
    }
    is_over_ = true;
    return true;
}

bool cold_start::is_held_back(store_revision complete_through,
                              steady_time now) const {
    return !is_over_ && !answered_peers_.empty() && complete_through < floor_ &&
           now - *first_hello_at_ >= answer_timeout;
}

} // namespace savorydock
