#pragma once

#include <functional>
#include <memory>

namespace savorydock {

/// The control thread of an instance: one detached CAF actor that runs tasks
/// one at a time, in the order in which they were posted. It sleeps while no
/// task is queued.
class control_mailbox {
public:
    using task = std::function<void()>;

    /// Starts the thread.
    control_mailbox();
    ~control_mailbox();
    control_mailbox(const control_mailbox&) = delete;
    control_mailbox& operator=(const control_mailbox&) = delete;

    /// Runs the task on the control thread. Thread safe; never blocks. Tasks
    /// posted after `stop` are dropped.
    void post(task work);

    /// Stops the thread after the tasks posted so far have run; blocks until
    /// then. Idempotent.
    void stop();

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace savorydock
