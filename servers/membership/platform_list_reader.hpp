#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/control_server.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorydock {

/// Keeps up with one prefix of the platform's store while this instance is
/// a chosen reader: reads the range, then watches, and reads again now and
/// then. Not thread safe.
class platform_list_reader {
public:
    /// Tickets of calls begin with `ticket_base`, which must be unique in
    /// its server in the upper 32 bits.
    platform_list_reader(std::string prefix, std::uint64_t ticket_base,
                         random_source& random);

    void on_tick(bool is_chosen, steady_time now, command_list& out);

    /// Takes a reply; returns the values that are new. Replies to others'
    /// tickets yield nothing.
    [[nodiscard]] std::vector<stored_value>
    on_reply(const platform_reply& reply, steady_time now);

    [[nodiscard]] store_revision revision() const { return revision_; }

private:
    std::string prefix_;
    std::uint64_t ticket_base_;
    random_source& random_;
    std::uint32_t last_call_ = 0;
    bool is_waiting_ = false;
    bool must_read_ = true;
    steady_time asked_at_{};
    steady_time retry_at_{};
    steady_time read_at_{};
    store_revision revision_ = 0;
};

} // namespace savorydock
