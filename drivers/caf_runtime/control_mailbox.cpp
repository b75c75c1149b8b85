#include "drivers/caf_runtime/control_mailbox.hpp"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>

#include <atomic>

namespace savorydock {

namespace {

struct mailbox_task {
    control_mailbox::task run;
};

} // namespace

} // namespace savorydock

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorydock::mailbox_task)

namespace savorydock {

struct control_mailbox::state {
    /// The only actor is detached and has its own thread, so CAF's scheduler
    /// has no work; these settings keep it from polling constantly.
    struct idle_scheduler_config : caf::actor_system_config {
        idle_scheduler_config() {
            set("scheduler.max-threads", std::size_t{1});
            set("work-stealing.aggressive-poll-attempts", std::size_t{0});
            set("work-stealing.moderate-poll-attempts", std::size_t{0});
            set("work-stealing.relaxed-sleep-duration",
                caf::timespan(std::chrono::hours(1)));
        }
    };

    idle_scheduler_config config;
    caf::actor_system system{config};
    caf::actor actor;
    std::atomic<bool> is_running{true};
};

control_mailbox::control_mailbox()
    : state_(std::make_unique<state>()) {
    state_->actor = state_->system.spawn<caf::detached>(
        [](caf::event_based_actor*) -> caf::behavior {
            return {[](const mailbox_task& next) { next.run(); }};
        });
}

control_mailbox::~control_mailbox() {
    stop();
}

void control_mailbox::post(task work) {
    if (state_->is_running) {
        caf::anon_send(state_->actor, mailbox_task{std::move(work)});
    }
}

void control_mailbox::stop() {
    if (!state_->is_running.exchange(false)) {
        return;
    }
    caf::anon_send_exit(state_->actor, caf::exit_reason::user_shutdown);
    caf::scoped_actor waiter(state_->system);
    waiter->wait_for(state_->actor);
    state_->actor = nullptr;
}

} // namespace savorydock
