#include "drivers/feed/work_sharing.hpp"

#include "core/wire_codec.hpp"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace savorydock {

namespace {

/// Sums in a heartbeat are about this old: a report waits for the heartbeat.
constexpr std::chrono::milliseconds usual_age{350};
/// A feeder repeats heartbeats when it pushes changes; reports are not
/// repeated sooner than this.
constexpr std::chrono::milliseconds min_report_pause{300};
constexpr std::chrono::seconds log_pause{10};
/// Lines about speeds within `log_pause`. A change that is left out is logged
/// later if it lasts.
constexpr std::size_t max_speed_lines = 8;
/// An upstream is reported as slow below the first speed, and as usual again
/// above the second.
constexpr double slow_speed = 0.4;
constexpr double usual_speed = 0.75;

steady_time steady_now() {
    return std::chrono::steady_clock::now();
}

} // namespace

work_sharing::work_sharing(fleet_state& fleet, peer_transport& peers,
                           const node_directory& directory, instance_id self,
                           logger& log)
    : fleet_(fleet)
    , peers_(peers)
    , directory_(directory)
    , self_(std::move(self))
    , log_(log) {}

std::vector<upstream_sum> work_sharing::zone_sums() {
    placement* const placed = fleet_.pool.by_cost();
    if (placed == nullptr) {
        return {};
    }
    const steady_time now = steady_now();
    if (now - sent_at_ >= min_report_pause) {
        sent_at_ = now;
        own_ = placed->work().take_sums(now);
    }
    log_speeds(*placed, now);
    auto sums = exchange_.add_up(own_, now);
    fleet_.pool.on_reports(exchange_.without_own(sums), usual_age / 2, now);
    return sums;
}

void work_sharing::on_zone_sums(const std::vector<upstream_sum>& sums,
                                const instance_id& feeder) {
    placement* const placed = fleet_.pool.by_cost();
    if (placed == nullptr) {
        return;
    }
    const steady_time now = steady_now();
    fleet_.pool.on_reports(exchange_.without_own(sums), usual_age, now);
    if (now - sent_at_ < min_report_pause) {
        return;
    }
    sent_at_ = now;
    log_speeds(*placed, now);
    work_report report{.sums = placed->work().take_sums(now)};
    exchange_.on_sent(report.sums);
    const auto entry = directory_.find(feeder);
    if (!report.sums.empty() && entry != directory_.end()) {
        peers_.send({.from = self_,
                     .to = feeder,
                     .topic = peer_topic::work_report,
                     .body = wire::encode(report)},
                    entry->second.address);
    }
}

void work_sharing::log_speeds(const placement& placed, steady_time now) {
    if (now - speeds_logged_since_ >= log_pause) {
        speeds_logged_since_ = now;
        speeds_logged_ = 0;
    }
    for (const upstream_entry& entry : fleet_.upstreams) {
        const double speed = placed.work().speed(entry.id, now);
        const bool was_slow = slow_upstreams_.contains(entry.id);
        const bool is_slow = speed < (was_slow ? usual_speed : slow_speed);
        if (is_slow == was_slow || speeds_logged_ == max_speed_lines) {
            continue;
        }
        ++speeds_logged_;
        if (is_slow) {
            slow_upstreams_.insert(entry.id);
        } else {
            slow_upstreams_.erase(entry.id);
        }
        log_.write(
            is_slow ? log_event::upstream_slow
                    : log_event::upstream_usual_speed,
            "upstream=" + entry.id.text() + " speed=" + std::to_string(speed) +
                " own_calls=" +
                std::to_string(placed.work().own(entry.id, now).calls) +
                " reported_ms=" +
                std::to_string(
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        placed.work().reported(entry.id, now))
                        .count()));
    }
    std::erase_if(slow_upstreams_, [&](const upstream_id& upstream) {
        return std::none_of(
            fleet_.upstreams.begin(), fleet_.upstreams.end(),
            [&](const upstream_entry& entry) { return entry.id == upstream; });
    });
}

void work_sharing::on_message(const peer_message& message) {
    if (fleet_.pool.by_cost() == nullptr) {
        return;
    }
    auto report = wire::decode<work_report>(message.body);
    const steady_time now = steady_now();
    if (report) {
        exchange_.on_report(message.from, std::move(report->sums), now);
    } else if (now - refusal_logged_at_ >= log_pause) {
        refusal_logged_at_ = now;
        log_.write(log_event::work_report_undecodable,
                   "from=" + message.from.text());
    }
}

} // namespace savorydock
