#include "servers/batch/organisation_shares.hpp"

#include <algorithm>
#include <cmath>
#include <optional>
#include <utility>

namespace savorydock {

void organisation_shares::set_competing(std::set<organisation_id> organisations,
                                        double tokens_per_second,
                                        steady_time now) {
    const std::chrono::duration<double> elapsed = now - decayed_at_;
    const std::chrono::duration<double> half_life = options_.half_life;
    const double factor = std::exp2(-elapsed / half_life);
    decayed_at_ = now;
    for (auto& [organisation, tokens] : received_) {
        tokens *= factor;
    }
    std::optional<double> least;
    for (const organisation_id& organisation : competing_) {
        if (organisations.contains(organisation)) {
            const double tokens = received(organisation);
            least = least ? std::min(*least, tokens) : tokens;
        }
    }
    const std::chrono::duration<double> credit = options_.join_credit;
    const double least_at_join =
        least.value_or(0) - credit.count() * tokens_per_second;
    for (const organisation_id& organisation : organisations) {
        if (!competing_.contains(organisation)) {
            double& tokens = received_[organisation];
            tokens = std::max(tokens, least_at_join);
        }
    }
    competing_ = std::move(organisations);
    std::erase_if(received_, [&](const auto& row) {
        return row.second < 1 && !competing_.contains(row.first);
    });
}

double
organisation_shares::received(const organisation_id& organisation) const {
    const auto found = received_.find(organisation);
    return found == received_.end() ? 0 : found->second;
}

} // namespace savorydock
