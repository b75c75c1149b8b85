#pragma once

#include "servers/control/order_options.hpp"
#include "servers/control_server.hpp"

#include <cstdint>

namespace savorydock {

/// Acquires and renews one platform lease for an instance. From local time
/// only, it computes a time until which the lease is certain to be valid. Not
/// thread safe: control thread only.
class lease_keeper {
public:
    explicit lease_keeper(const order_options& options)
        : options_(options) {}

    /// Requests or renews the lease when that is due. `tickets` is the counter
    /// that numbers calls.
    void on_tick(steady_time now, std::uint64_t& tickets, command_list& out);

    /// Returns true if the reply belongs to a call of this object.
    bool on_platform_reply(const platform_reply& reply, steady_time now);

    /// Revokes the lease on the platform.
    void release(std::uint64_t& tickets, command_list& out);

    /// Clears the lease; called when the platform reports that it has ended.
    void forget();

    [[nodiscard]] bool is_valid(steady_time now) const {
        return lease_ != 0 && now < valid_until_;
    }
    /// The lease does not end on the platform before this time.
    [[nodiscard]] steady_time valid_until() const { return valid_until_; }
    /// The id of the lease; 0 if there is none.
    [[nodiscard]] std::uint64_t lease() const { return lease_; }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }

private:
    void send_call(platform_request request, steady_time now,
                   std::uint64_t& tickets, command_list& out);

    order_options options_;
    std::uint64_t lease_ = 0;
    steady_time valid_until_{};
    std::uint64_t ticket_ = 0;
    steady_time sent_at_{};
    steady_time next_call_{};
    std::uint64_t calls_ = 0;
};

} // namespace savorydock
