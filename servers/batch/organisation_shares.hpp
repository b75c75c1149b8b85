#pragma once

#include "core/clock.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <set>

namespace savorydock {

struct organisation_share_options {
    /// After this time, work that an organisation received counts half. Longer
    /// than most items run, so that the items of an organisation that occupy
    /// slots count; short enough that what it did when alone is forgotten.
    std::chrono::milliseconds half_life{10'000};
    /// An organisation that joins may receive this much more of the service's
    /// time than the one that has received least. That completes small jobs
    /// soon and delays the others by no more than this time.
    std::chrono::milliseconds join_credit{1'000};
};

/// The work that organisations received lately: stride scheduling, in which the
/// organisation with the least work is the next.
///
/// Load pattern: one organisation submits many jobs, others a few small ones.
/// Work counts by organisation and not by job, and beyond the end of jobs, so
/// that many small jobs get no more than one large one. An organisation without
/// open work saves up no claim.
///
/// Not thread safe; deterministic.
class organisation_shares {
public:
    explicit organisation_shares(organisation_share_options options)
        : options_(options) {}

    /// Sets the organisations with open work. The service generates
    /// `tokens_per_second`; 0 if that isn't known.
    void set_competing(std::set<organisation_id> organisations,
                       double tokens_per_second, steady_time now);

    /// An item of the organisation was placed.
    void charge(const organisation_id& organisation, std::uint64_t tokens) {
        received_[organisation] += static_cast<double>(tokens);
    }

    /// Tokens received, with decay up to the last `set_competing`.
    [[nodiscard]] double received(const organisation_id& organisation) const;

private:
    organisation_share_options options_;
    std::map<organisation_id, double> received_;
    std::set<organisation_id> competing_;
    steady_time decayed_at_{};
};

} // namespace savorydock
