#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/control_server.hpp"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace savorydock {

/// Follows one key prefix of the platform's store while this instance is chosen
/// as a reader: reads the range, then watches for changes, and periodically
/// reads the range again. Not thread safe.
class platform_list_reader {
public:
    /// Tickets of calls are counted from `ticket_base`, whose upper 32 bits
    /// must be unique within the server.
    platform_list_reader(std::string prefix, std::uint64_t ticket_base,
                         random_source& random);

    void on_tick(bool is_chosen, steady_time now, command_list& out);

    /// Handles a reply and returns its values; returns none for tickets of
    /// other readers.
    [[nodiscard]] std::vector<stored_value>
    on_reply(const platform_reply& reply, steady_time now);

    [[nodiscard]] store_revision revision() const { return revision_; }

private:
    std::string prefix_;
    std::uint64_t ticket_base_;
    random_source& random_;
    std::uint32_t last_ticket_ = 0;
    bool is_waiting_ = false;
    bool must_read_range_ = true;
    steady_time sent_at_{};
    steady_time retry_at_{};
    steady_time last_read_at_{};
    store_revision revision_ = 0;
};

} // namespace savorydock
