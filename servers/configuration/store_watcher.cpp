#include "servers/configuration/store_watcher.hpp"

#include "servers/configuration/service_envelope.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

constexpr std::chrono::milliseconds first_backoff{500};
constexpr std::chrono::milliseconds max_backoff{8'000};
constexpr std::uint32_t max_doublings = 4;
constexpr std::uint32_t failures_before_outage = 2;
/// A call without an answer for this long counts as failed.
constexpr std::chrono::seconds call_timeout{30};

} // namespace

void store_watcher::set_active(bool is_active) {
    is_read_due_ = is_read_due_ || (is_active && !is_active_);
    is_active_ = is_active;
}

void store_watcher::on_tick(steady_time now, store_revision complete_through,
                            command_list& out) {
    if (pending_ != call_kind::none && now - pending_since_ > call_timeout) {
        pending_ = call_kind::none;
        record_failure("no answer", now, out);
    }
    if (!is_active_ || pending_ != call_kind::none || now < next_call_at_) {
        return;
    }
    const std::string prefix(service_prefix);
    if (is_read_due_) {
        submit(call_kind::read,
               read_range{.key = prefix,
                          .is_prefix = true,
                          .min_modified = complete_through + 1},
               now, out);
        return;
    }
    submit(call_kind::watch,
           watch_prefix{.prefix = prefix, .start = read_through_ + 1}, now,
           out);
}

void store_watcher::submit(call_kind kind, platform_request request,
                           steady_time now, command_list& out) {
    pending_ = kind;
    pending_since_ = now;
    ++calls_;
    out.push_back(
        platform_call{.ticket = ++ticket_, .request = std::move(request)});
}

std::optional<store_read_result>
store_watcher::on_reply(const platform_reply& reply, steady_time now,
                        command_list& out) {
    if (reply.ticket != ticket_ || pending_ == call_kind::none) {
        return {};
    }
    const call_kind kind = std::exchange(pending_, call_kind::none);
    is_read_due_ = true;
    if (!reply.answer) {
        record_failure(reply.answer.reason().detail, now, out);
        return {};
    }
    record_success(out);
    if (kind == call_kind::watch) {
        return {};
    }
    is_read_due_ = false;
    read_through_ = reply.answer->revision;
    return store_read_result{.revision = reply.answer->revision,
                             .values = reply.answer->values};
}

void store_watcher::record_failure(const std::string& detail, steady_time now,
                                   command_list& out) {
    const std::uint32_t doublings = std::min(failures_, max_doublings);
    const auto backoff =
        std::min(first_backoff * (1 << doublings), max_backoff);
    const auto half = static_cast<std::uint64_t>(backoff.count() / 2);
    next_call_at_ =
        now + std::chrono::milliseconds(half + random_.below(half + 1));
    is_read_due_ = true;
    // A single failure may be just a watch that was closed.
    if (++failures_ == failures_before_outage) {
        out.push_back(log_command{log_event::platform_unreachable,
                                  "for=configuration detail=" + detail});
    }
}

void store_watcher::record_success(command_list& out) {
    if (failures_ >= failures_before_outage) {
        out.push_back(
            log_command{log_event::platform_reachable, "for=configuration"});
    }
    failures_ = 0;
    next_call_at_ = {};
}

} // namespace savorydock
