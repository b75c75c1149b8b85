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

/// What one whole read of the store brought.
struct store_news {
    /// The store's revision at the time of the read: `values` has every
    /// service that changed after the revision read from, up to this one.
    store_revision revision = 0;
    std::vector<stored_value> values;
};

/// Follows the services in the platform's store with one call at a time: a
/// read of what changed, then a watch that only wakes it for the next read.
/// What a watch leaves out is thus found by the read after it, at the latest
/// when the watch times out.
///
/// Not thread safe. The random source must outlive it.
class store_watcher {
public:
    explicit store_watcher(random_source& random)
        : random_(random) {}

    /// Starts or stops making calls.
    void activate(bool is_active);
    [[nodiscard]] bool is_active() const { return is_active_; }

    /// Makes the next call if one is due. `complete_through` is the revision
    /// that the instance is complete through.
    void on_tick(steady_time now, store_revision complete_through,
                 command_list& out);

    /// Takes the answer to a call of its own; returns what a read brought.
    [[nodiscard]] std::optional<store_news>
    on_reply(const platform_reply& reply, steady_time now, command_list& out);

    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    /// The last call was answered.
    [[nodiscard]] bool is_platform_reachable() const { return failures_ == 0; }

private:
    enum class call_kind : std::uint8_t { none, read, watch };

    void submit(call_kind kind, platform_request request, steady_time now,
                command_list& out);
    void note_failure(const std::string& detail, steady_time now,
                      command_list& out);
    void note_success(command_list& out);

    random_source& random_;
    bool is_active_ = false;
    call_kind pending_ = call_kind::none;
    std::uint64_t ticket_ = 0;
    steady_time pending_since_{};
    /// The next call must be a read: something may be unread.
    bool is_read_due_ = true;
    store_revision read_through_ = 0;
    steady_time not_before_{};
    std::uint32_t failures_ = 0;
    std::uint64_t calls_ = 0;
};

} // namespace savorydock
