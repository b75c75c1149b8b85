#pragma once

#include "core/clock.hpp"
#include "core/random_source.hpp"
#include "servers/control_server.hpp"
#include "servers/platform/platform_message.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

namespace savorydock {

/// The result of one read of the services in the store.
struct store_read_result {
    /// The store's revision at the time of the read: `values` holds every
    /// service that changed after the start revision of the read, up to this
    /// one.
    store_revision revision = 0;
    std::vector<stored_value> values;
};

/// Follows the services in the platform's store with at most one pending call:
/// reads the changes, then starts a watch whose answer only triggers the next
/// read. A change that a watch misses is therefore found by the next read, at
/// the latest after the watch has timed out.
///
/// Not thread safe. The random source must outlive it.
class store_watcher {
public:
    explicit store_watcher(random_source& random)
        : random_(random) {}

    /// Starts or stops making calls.
    void set_active(bool is_active);
    [[nodiscard]] bool is_active() const { return is_active_; }

    /// Makes the next call if one is due. A read requests the changes after
    /// `complete_through`.
    void on_tick(steady_time now, store_revision complete_through,
                 command_list& out);

    /// Processes a reply; returns the result if it answers a pending read.
    [[nodiscard]] std::optional<store_read_result>
    on_reply(const platform_reply& reply, steady_time now, command_list& out);

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    /// Whether the last call was answered.
    [[nodiscard]] bool is_platform_reachable() const { return failures_ == 0; }

private:
    enum class call_kind : std::uint8_t { none, read, watch };

    void submit(call_kind kind, platform_request request, steady_time now,
                command_list& out);
    void record_failure(const std::string& detail, steady_time now,
                        command_list& out);
    void record_success(command_list& out);

    random_source& random_;
    bool is_active_ = false;
    call_kind pending_ = call_kind::none;
    std::uint64_t ticket_ = 0;
    steady_time pending_since_{};
    /// The next call must be a read: there may be changes not read yet.
    bool is_read_due_ = true;
    store_revision read_through_ = 0;
    steady_time next_call_at_{};
    std::uint32_t failures_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace savorydock
