#pragma once

#include "core/logger.hpp"
#include "drivers/caf_runtime/control_executor.hpp"
#include "servers/configuration/configuration_view.hpp"
#include "servers/control_server.hpp"

#include <chrono>
#include <functional>
#include <memory>
#include <vector>

namespace savorydock {

struct control_runtime_options {
    std::chrono::milliseconds tick{100};
};

/// The control thread: one detached CAF actor that runs all control servers,
/// delivers events to them one at a time and passes their commands to the
/// executor.
///
/// `post_*` and `post` are thread safe and never block. The executor and the
/// logger must outlive the runtime.
class control_runtime {
public:
    control_runtime(control_runtime_options options, control_executor& executor,
                    logger& log);
    ~control_runtime();
    control_runtime(const control_runtime&) = delete;
    control_runtime& operator=(const control_runtime&) = delete;

    /// Adds a server. Precondition: not started. The server must outlive the
    /// runtime.
    void add(control_server& server);

    /// Sets a task that runs on the control thread after each tick of all
    /// servers.
    /// Precondition: not started.
    void set_after_tick(std::function<void(steady_time, command_list&)> task);

    /// Starts the control thread.
    void start();

    /// Stops the control thread; events posted after that are dropped.
    /// Idempotent.
    void stop();

    void post_peer_message(peer_message message);
    void post_observation(upstream_observation observation);
    void post_configuration(std::shared_ptr<const configuration_view> view);

    /// Runs a task on the control thread, between two events. Replies to the
    /// commands that it issues are dropped.
    void post(std::function<void(steady_time, command_list&)> task);

    /// Like `post`, but replies to the task's commands go to `server`.
    void post_for(control_server& server,
                  std::function<void(steady_time, command_list&)> task);

    /// Returns the number of events and ticks handled so far. Thread safe.
    [[nodiscard]] std::uint64_t handled_events() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace savorydock
