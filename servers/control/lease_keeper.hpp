#pragma once

#include "servers/control/order_options.hpp"
#include "servers/control_server.hpp"

#include <cstdint>

namespace savorydock {

/// Keeps one platform lease for an instance and knows, by local time alone,
/// until when it surely lasts. Not thread safe: control thread only.
class lease_keeper {
public:
    explicit lease_keeper(const order_options& options)
        : options_(options) {}

    /// Grants or renews when it is time. `tickets` numbers the calls.
    void on_tick(steady_time now, std::uint64_t& tickets, command_list& out);

    /// Returns true if the reply was to a call of the keeper.
    bool on_platform_reply(const platform_reply& reply, steady_time now);

    /// Gives the lease back.
    void release(std::uint64_t& tickets, command_list& out);

    /// The platform says that the lease has ended.
    void forget();

    [[nodiscard]] bool is_valid(steady_time now) const {
        return lease_ != 0 && now < valid_until_;
    }
    /// The lease ends no earlier than this on the platform.
    [[nodiscard]] steady_time valid_until() const { return valid_until_; }
    /// 0 if there is none.
    [[nodiscard]] std::uint64_t lease() const { return lease_; }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void call(platform_request request, steady_time now, std::uint64_t& tickets,
              command_list& out);

    order_options options_;
    std::uint64_t lease_ = 0;
    steady_time valid_until_{};
    std::uint64_t ticket_ = 0;
    steady_time sent_at_{};
    steady_time next_call_{};
    std::uint64_t calls_ = 0;
};

} // namespace savorydock
