#pragma once

#include "core/random_source.hpp"
#include "servers/configuration/cold_start.hpp"
#include "servers/configuration/configuration_gossip.hpp"
#include "servers/configuration/configuration_table.hpp"
#include "servers/configuration/instance_directory.hpp"
#include "servers/configuration/store_watcher.hpp"
#include "servers/control_server.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace savorydock {

/// Traffic and results of configuration updates since the instance started.
struct configuration_counters {
    std::uint64_t platform_calls = 0;
    std::uint64_t platform_bytes_received = 0;
    std::uint64_t peer_messages_sent = 0;
    std::uint64_t peer_bytes_sent = 0;
    std::uint64_t peer_messages_received = 0;
    std::uint64_t peer_bytes_received = 0;
    std::uint64_t revisions_in_force = 0;
    std::uint64_t revisions_refused = 0;
    std::uint64_t revisions_stale = 0;
};

/// One service in the result of `status`.
struct service_status {
    service_name service;
    /// The revision in force; 0 if there has been none.
    store_revision revision = 0;
    bool is_deleted = false;
    std::string publish_id;
    std::string operator_name;
    /// Time since the revision came into force on this instance.
    std::chrono::milliseconds age{0};
    /// A later revision that failed validation (0 if there is none), and its
    /// faults.
    store_revision refused_revision = 0;
    std::string faults;
};

struct configuration_status {
    /// The instance has finished its cold start and serves its configuration.
    bool is_ready = false;
    store_revision complete_through = 0;
    bool is_watcher = false;
    bool is_platform_reachable = false;
    std::vector<service_status> services;
};

struct configuration_server_options {
    instance_id instance;
    availability_zone zone;
    /// Called on the control thread when the services in force have changed.
    std::function<void(std::shared_ptr<const configuration_view>)> on_view;
};

/// Receives the services that operators publish, from the platform's store or
/// from peers, and forwards them to other peers; see
/// docs/design/configuration.md.
///
/// A revision comes into force only if it is newer than the one held, whatever
/// its source, and none does before `cold_start` allows it. The random source
/// must outlive the server.
class configuration_server final : public control_server {
public:
    configuration_server(configuration_server_options options,
                         random_source& random);

    [[nodiscard]] peer_topic topic() const override {
        return peer_topic::configuration;
    }

    /// Sets the instances known to membership. Until the first call the
    /// instance acts as the only one in its zone.
    void on_instances(const std::vector<known_instance>& instances,
                      steady_time now);

    void on_tick(steady_time now, command_list& out) override;
    void on_peer_message(const peer_message& message, steady_time now,
                         command_list& out) override;
    void on_platform_reply(const platform_reply& reply, steady_time now,
                           command_list& out) override;

    /// The services in force, or null while the instance starts.
    [[nodiscard]] std::shared_ptr<const configuration_view> view() const {
        return published_;
    }
    [[nodiscard]] configuration_counters counters() const;
    [[nodiscard]] configuration_status status(steady_time now) const;

private:
    void on_delta(const instance_id& peer, const configuration_message& message,
                  steady_time now, command_list& out);
    void on_store_read(const store_read_result& news, steady_time now,
                       command_list& out);
    void apply(const configuration_entry& entry, steady_time now,
               command_list& out);
    void send_hellos(steady_time now, command_list& out);
    void publish_view(store_revision complete_before, steady_time now,
                      command_list& out);

    configuration_server_options options_;
    random_source& random_;
    instance_directory directory_;
    configuration_table table_;
    configuration_gossip gossip_;
    store_watcher watcher_;
    cold_start start_;
    steady_time next_hello_{};
    bool is_held_back_logged_ = false;
    bool is_store_behind_ = false;
    bool has_unpublished_change_ = false;
    std::shared_ptr<const configuration_view> published_;
    configuration_counters counters_;
};

} // namespace savorydock
