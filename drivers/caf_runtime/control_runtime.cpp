#include "drivers/caf_runtime/control_runtime.hpp"

#include <caf/actor_system.hpp>
#include <caf/actor_system_config.hpp>
#include <caf/event_based_actor.hpp>
#include <caf/scoped_actor.hpp>
#include <caf/send.hpp>

#include <atomic>

namespace savorydock {

namespace {

/// An event for the control thread; `run` delivers it to a server and collects
/// the commands that the server issues.
struct control_event {
    std::function<void(steady_time, command_list&)> run;
    /// The server that receives the replies to those commands; may be null.
    control_server* server = nullptr;
};

struct tick_event {};

} // namespace

} // namespace savorydock

CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorydock::control_event)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(savorydock::tick_event)

namespace savorydock {

struct control_runtime::state {
    state(control_runtime_options used_options, control_executor& used_executor,
          logger& used_log)
        : options(used_options)
        , executor(used_executor)
        , log(used_log)
        , system(config) {}

    void send(control_event event) {
        if (is_running) {
            caf::anon_send(actor, std::move(event));
        }
    }

    /// Sends one event to every server; commands are collected separately for
    /// each server.
    template <class Call>
    void broadcast(Call call) {
        for (control_server* const server : servers) {
            send({.run = [server,
                          call](steady_time now,
                                command_list& out) { call(*server, now, out); },
                  .server = server});
        }
    }

    void handle(const control_event& event) {
        command_list out;
        event.run(std::chrono::steady_clock::now(), out);
        ++handled;
        carry_out(event.server, std::move(out));
    }

    void tick() {
        for (control_server* const server : servers) {
            command_list out;
            server->on_tick(std::chrono::steady_clock::now(), out);
            carry_out(server, std::move(out));
        }
        if (after_tick) {
            command_list out;
            after_tick(std::chrono::steady_clock::now(), out);
            carry_out(nullptr, std::move(out));
        }
        ++handled;
    }

    void carry_out(control_server* server, command_list commands) {
        for (control_command& command : commands) {
            std::visit([&](auto& order) { carry_out_one(server, order); },
                       command);
        }
    }

    void carry_out_one(control_server*, peer_message& message) {
        executor.send_to_peer(message);
    }

    void carry_out_one(control_server*, log_command& command) {
        log.write(command.event, command.detail);
    }

    void carry_out_one(control_server* server, platform_call& call) {
        executor.call_platform(std::move(call),
                               [this, server](platform_reply reply) {
                                   answer(server, std::move(reply),
                                          &control_server::on_platform_reply);
                               });
    }

    void carry_out_one(control_server* server, upstream_order& order) {
        executor.execute_order(std::move(order), [this,
                                                  server](order_reply reply) {
            answer(server, std::move(reply), &control_server::on_order_reply);
        });
    }

    template <class Reply>
    void answer(control_server* server, Reply reply,
                void (control_server::*method)(const Reply&, steady_time,
                                               command_list&)) {
        if (server == nullptr) {
            return;
        }
        send({.run =
                  [server, method, reply = std::move(reply)](
                      steady_time now, command_list& out) {
                      (server->*method)(reply, now, out);
                  },
              .server = server});
    }

    control_runtime_options options;
    control_executor& executor;
    logger& log;
    std::vector<control_server*> servers;
    std::function<void(steady_time, command_list&)> after_tick;
    std::atomic<bool> is_running{false};
    std::atomic<std::uint64_t> handled{0};
    /// The only actor is detached and has its own thread, so CAF's scheduler
    /// has no work; a single thread keeps the cost of its polling low.
    struct idle_scheduler_config : caf::actor_system_config {
        idle_scheduler_config() {
            set("scheduler.max-threads", std::size_t{1});
        }
    };

    idle_scheduler_config config;
    caf::actor_system system;
    caf::actor actor;
};

control_runtime::control_runtime(control_runtime_options options,
                                 control_executor& executor, logger& log)
    : state_(std::make_unique<state>(options, executor, log)) {}

control_runtime::~control_runtime() {
    stop();
}

void control_runtime::add(control_server& server) {
    state_->servers.push_back(&server);
}

void control_runtime::set_after_tick(
    std::function<void(steady_time, command_list&)> task) {
    state_->after_tick = std::move(task);
}

void control_runtime::start() {
    state* const shared = state_.get();
    shared->actor = shared->system.spawn<caf::detached>(
        [shared](caf::event_based_actor* self) -> caf::behavior {
            self->delayed_send(self, shared->options.tick, tick_event{});
            return {
                [shared](const control_event& event) { shared->handle(event); },
                [shared, self](const tick_event&) {
                    shared->tick();
                    self->delayed_send(self, shared->options.tick,
                                       tick_event{});
                },
            };
        });
    shared->is_running = true;
}

void control_runtime::stop() {
    if (!state_->is_running.exchange(false)) {
        return;
    }
    caf::anon_send_exit(state_->actor, caf::exit_reason::user_shutdown);
    caf::scoped_actor waiter(state_->system);
    waiter->wait_for(state_->actor);
    state_->actor = nullptr;
}

void control_runtime::post_peer_message(peer_message message) {
    for (control_server* const server : state_->servers) {
        if (server->topic() != message.topic) {
            continue;
        }
        state_->send({.run =
                          [server, message = std::move(message)](
                              steady_time now, command_list& out) {
                              server->on_peer_message(message, now, out);
                          },
                      .server = server});
        return;
    }
}

void control_runtime::post_observation(upstream_observation observation) {
    state_->broadcast(
        [observation = std::move(observation)](
            control_server& server, steady_time now, command_list& out) {
            server.on_observation(observation, now, out);
        });
}

void control_runtime::post_configuration(
    std::shared_ptr<const configuration_view> view) {
    state_->broadcast([view = std::move(view)](control_server& server,
                                               steady_time now,
                                               command_list& out) {
        server.on_configuration(view, now, out);
    });
}

void control_runtime::post(
    std::function<void(steady_time, command_list&)> task) {
    state_->send({.run = std::move(task)});
}

void control_runtime::post_for(
    control_server& server,
    std::function<void(steady_time, command_list&)> task) {
    state_->send({.run = std::move(task), .server = &server});
}

std::uint64_t control_runtime::handled_events() const {
    return state_->handled;
}

} // namespace savorydock
