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
    /// How long the arbiter has to answer; silence means "not now".
    std::chrono::milliseconds permit_wait{250};
};

/// Delivery's part on the control thread: dispatches messages, events from
/// traffic and platform replies to the gate, the suspicion and the registry.
///
/// Wiring: give it the same ledger and port that traffic uses, call
/// `set_peers` when membership changes (nearest first, self left out) and
/// `serve_port` when the port wakes the control thread. Control thread only.
class delivery_server final : public control_server {
public:
    delivery_server(const delivery_server_options& options, key_ledger& ledger,
                    delivery_port& port);

    void set_peers(std::vector<instance_id> peers);
    /// Serves what traffic has submitted.
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
    struct waiting_permit {
        permit_query query;
        steady_time end{};
    };

    void serve(right_query& event, steady_time now, command_list& out);
    void serve(const std::vector<run_lost>& event, steady_time now,
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
    void spread(const suspicion_update& update, command_list& out);
    [[nodiscard]] instance_id arbiter(const service_name& service) const;
    [[nodiscard]] bool grant(const permit_ask& ask, steady_time now);
    void release(const service_name& service, const std::string& permit,
                 command_list& out);
    void settle_permit(const std::string& permit, bool is_granted);

    delivery_server_options options_;
    delivery_port& port_;
    attempt_gate gate_;
    crash_suspicion suspicion_;
    suspect_permits permits_;
    step_registry steps_;
    std::vector<instance_id> peers_;
    std::map<std::string, waiting_permit> waiting_;
    std::uint64_t last_permit_ = 0;
};

} // namespace savorydock
