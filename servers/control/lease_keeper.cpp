#include "servers/control/lease_keeper.hpp"

#include <algorithm>

namespace savorydock {

namespace {

/// Renewals per lease time; more than one, so that a lost renewal doesn't end
/// the lease.
constexpr int renewals_per_lease = 3;

} // namespace

void lease_keeper::on_tick(steady_time now, std::uint64_t& tickets,
                           command_list& out) {
    const bool is_waiting =
        ticket_ != 0 && now - sent_at_ < options_.call_timeout;
    if (is_waiting || now < next_call_) {
        return;
    }
    if (lease_ == 0) {
        // If the answer is lost, the granted lease stays unused and expires.
        send_call(grant_lease{options_.lease_time}, now, tickets, out);
    } else {
        send_call(renew_lease{lease_}, now, tickets, out);
    }
}

void lease_keeper::send_call(platform_request request, steady_time now,
                             std::uint64_t& tickets, command_list& out) {
    ticket_ = ++tickets;
    sent_at_ = now;
    ++calls_;
    out.emplace_back(platform_call{ticket_, std::move(request)});
}

bool lease_keeper::on_platform_reply(const platform_reply& reply,
                                     steady_time now) {
    if (ticket_ == 0 || reply.ticket != ticket_) {
        return false;
    }
    ticket_ = 0;
    next_call_ = now + options_.retry_delay;
    const bool has_ended =
        reply.answer
            ? reply.answer->time_to_live.count() <= 0
            : reply.answer.reason().code == result_code::lease_not_held;
    if (has_ended) {
        forget();
        return true;
    }
    if (!reply.answer) {
        return true;
    }
    if (lease_ == 0) {
        lease_ = reply.answer->lease;
    }
    // The platform starts the lease time when it handles the call, which is
    // after the call was sent, so counting from `sent_at_` is safe.
    const auto usable_time =
        std::min(reply.answer->time_to_live, options_.lease_time);
    valid_until_ = sent_at_ + usable_time - options_.lease_margin;
    next_call_ = sent_at_ + options_.lease_time / renewals_per_lease;
    return true;
}

void lease_keeper::release(std::uint64_t& tickets, command_list& out) {
    if (lease_ == 0) {
        return;
    }
    ++calls_;
    out.emplace_back(platform_call{++tickets, revoke_lease{lease_}});
    ticket_ = 0;
    forget();
}

void lease_keeper::forget() {
    lease_ = 0;
    valid_until_ = {};
}

} // namespace savorydock
