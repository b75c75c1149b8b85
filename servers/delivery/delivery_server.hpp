#pragma once

#include "servers/control_server.hpp"
#include "servers/delivery/attempt_gate.hpp"
#include "servers/delivery/crash_suspicion.hpp"
#include "servers/delivery/delivery_port.hpp"
#include "servers/delivery/step_registry.hpp"
#include "servers/delivery/suspect_permits.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorydock {

struct delivery_server_options {
    attempt_gate_options gate;
    crash_suspicion_options suspicion;
    /// How long to wait for the arbiter; no reply counts as a refusal.
    std::chrono::milliseconds permit_timeout{250};
};

/// Control server of the delivery module. Dispatches peer messages, events from
/// traffic and platform replies to the attempt gate, the crash suspicion, the
/// permits and the step registry.
///
/// Use the same ledger and port as the traffic threads. Call `set_peers` when
/// membership changes (nearest first, without this instance) and `serve_port`
/// when the port wakes the control thread. Control thread only.
class delivery_server final : public control_server {
public:
    delivery_server(const delivery_server_options& options, key_ledger& ledger,
                    delivery_port& port);

    void set_peers(std::vector<instance_id> peers);
    /// Handles the events that traffic threads have submitted.
    void serve_port(steady_time now, command_list& out);

    [[nodiscard]] peer_topic topic() const override {
        return peer_topic::delivery;
    }
    void on_tick(steady_time now, command_list& out) override;
    void on_peer_message(const peer_message& message, steady_time now,
                         command_list& out) override;
    void on_platform_reply(const platform_reply& reply, steady_time now,
                           command_list& out) override;

private:
    struct pending_permit {
        permit_query query;
        steady_time end{};
    };

    void serve(run_right_query& event, steady_time now, command_list& out);
    void serve(const std::vector<lost_run>& event, steady_time now,
               command_list& out);
    void serve(const suspect_clearing& event, steady_time now,
               command_list& out);
    void serve(permit_query& event, steady_time now, command_list& out);
    void serve(const permit_return& event, steady_time now, command_list& out);
    void serve(step_opening& event, steady_time now, command_list& out);
    void serve(const step_closing& event, steady_time now, command_list& out);

    void send(const instance_id& peer, const delivery_message& body,
              command_list& out) const;
    void send_all(const delivery_message& body, command_list& out) const;
    void broadcast_update(const suspicion_update& update, command_list& out);
    [[nodiscard]] instance_id arbiter(const service_name& service) const;
    [[nodiscard]] bool grant(const permit_request& request, steady_time now);
    void release(const service_name& service, const std::string& permit,
                 command_list& out);
    void resolve_permit(const std::string& permit, bool is_granted);

    delivery_server_options options_;
    delivery_port& port_;
    attempt_gate gate_;
    crash_suspicion suspicion_;
    suspect_permits permits_;
    step_registry steps_;
    std::vector<instance_id> peers_;
    std::map<std::string, pending_permit> pending_permits_;
    std::uint64_t last_permit_ = 0;
};

} // namespace savorydock
