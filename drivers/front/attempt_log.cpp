#include "drivers/front/attempt_log.hpp"

#include <string>

namespace savorydock {

namespace {

std::string to_milliseconds(steady_time::duration time) {
    return std::to_string(
        std::chrono::duration_cast<std::chrono::milliseconds>(time).count());
}

} // namespace

attempt_log::attempt_log(fleet_state& fleet, logger& log, std::string_view use,
                         std::string_view id, const upstream_id& upstream)
    : fleet_(fleet)
    , log_(log)
    , use_(use)
    , id_(id)
    , upstream_(upstream)
    , started_at_(std::chrono::steady_clock::now()) {}

bool attempt_log::is_kept() const {
    return trace_.opened_at && *trace_.opened_at < started_at_;
}

void attempt_log::on_answered() {
    if (!is_counted_) {
        is_counted_ = true;
        fleet_.attempts.on_answered(is_kept());
    }
}

void attempt_log::on_failed(const failure& reason) {
    if (reason.code == result_code::cancelled_by_caller) {
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    if (!fleet_.attempts.on_failed(trace_.stage, is_kept(), now)) {
        return;
    }
    log_.write(
        log_event::attempt_failed,
        "use=" + std::string(use_) + " id=" + std::string(id_) + " upstream=" +
            upstream_.text() + " path=" + std::string(trace_.path) +
            " stage=" + std::string(name_of(trace_.stage)) +
            " connection=" + (is_kept() ? "kept" : "new") +
            (trace_.opened_at
                 ? " age_ms=" + to_milliseconds(now - *trace_.opened_at)
                 : "") +
            " used_ms=" + to_milliseconds(now - started_at_) +
            " unlogged=" + std::to_string(fleet_.attempts.take_unlogged()) +
            " reason=\"" + reason.detail + '"');
}

} // namespace savorydock
