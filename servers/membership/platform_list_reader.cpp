#include "servers/membership/platform_list_reader.hpp"

#include <algorithm>
#include <utility>

namespace savorydock {

namespace {

constexpr std::chrono::minutes read_period{5};
/// A call without a reply is abandoned after this time, and the range is read
/// again.
constexpr std::chrono::minutes reply_timeout{2};
constexpr std::uint64_t min_retry_ms = 1'000;
constexpr std::uint64_t retry_spread_ms = 4'000;

} // namespace

platform_list_reader::platform_list_reader(std::string prefix,
                                           std::uint64_t ticket_base,
                                           random_source& random)
    : prefix_(std::move(prefix))
    , ticket_base_(ticket_base)
    , random_(random) {}

void platform_list_reader::on_tick(bool is_chosen, steady_time now,
                                   command_list& out) {
    if (is_waiting_ && now - sent_at_ > reply_timeout) {
        is_waiting_ = false;
        must_read_range_ = true;
    }
    if (!is_chosen || is_waiting_ || now < retry_at_) {
        return;
    }
    must_read_range_ = must_read_range_ || now - last_read_at_ > read_period;
    is_waiting_ = true;
    sent_at_ = now;
    platform_call call{.ticket = ticket_base_ + ++last_ticket_};
    if (must_read_range_) {
        call.request = read_range{.key = prefix_, .is_prefix = true};
    } else {
        call.request = watch_prefix{.prefix = prefix_, .start = revision_ + 1};
    }
    out.push_back(std::move(call));
}

std::vector<stored_value>
platform_list_reader::on_reply(const platform_reply& reply, steady_time now) {
    if (!is_waiting_ || reply.ticket != ticket_base_ + last_ticket_) {
        return {};
    }
    is_waiting_ = false;
    if (!reply.answer || reply.answer->is_compacted) {
        must_read_range_ = true;
        retry_at_ = now + std::chrono::milliseconds(
                              min_retry_ms + random_.below(retry_spread_ms));
        return {};
    }
    if (must_read_range_) {
        last_read_at_ = now;
    }
    must_read_range_ = false;
    revision_ = std::max(revision_, reply.answer->revision);
    return reply.answer->values;
}

} // namespace savorydock
