#include "servers/configuration/cold_start.hpp"

#include <algorithm>

namespace savorydock {

void cold_start::note_asked(const instance_id& peer, steady_time now) {
    asked_.insert(peer);
    if (!first_asked_) {
        first_asked_ = now;
    }
}

void cold_start::note_answer(const instance_id& peer, bool is_starting,
                             store_revision complete_through,
                             store_revision claimed) {
    answered_.insert(peer);
    // A starting peer serves nothing yet, but what it remembers of others'
    // claims is true all the same.
    floor_ = std::max(floor_, claimed);
    if (!is_starting) {
        has_authority_ = true;
        best_ = std::max(best_, complete_through);
    }
}

bool cold_start::may_serve(store_revision complete_through,
                           steady_time now) const {
    if (has_store_read_) {
        return true;
    }
    if (!has_authority_ || complete_through < floor_) {
        return false;
    }
    const auto waited = now - *first_asked_;
    const bool has_all_answers = std::includes(
        answered_.begin(), answered_.end(), asked_.begin(), asked_.end());
    if (!has_all_answers && waited < patience) {
        return false;
    }
    return complete_through >= best_ || waited >= pull_patience;
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
    return !is_over_ && has_authority_ && complete_through < floor_ &&
           now - *first_asked_ >= patience;
}

} // namespace savorydock
