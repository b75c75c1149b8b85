#pragma once

#include "servers/admission/admission_queue.hpp"
#include "servers/routing/snapshot_router.hpp"
#include "tests/bench/batch_engine.hpp"
#include "tests/bench/bench_settings.hpp"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace savorydock::bench {

struct call_end {
    result_code code = result_code::ok;
    std::uint32_t tokens = 0;
    weight_version oldest_version = 0;
};

/// A request from a caller to an instance.
struct bench_call {
    class_name class_of_service;
    caller_id caller;
    std::uint64_t prefix = 0;
    std::uint32_t expected_tokens = 0;
    weight_version minimum_version = 0;
    /// Tokens of the complete answer, and how many of them a resumed run
    /// already has.
    std::uint32_t tokens = 0;
    std::uint32_t first_tokens = 0;
    weight_version first_version = 0;
    steady_time deadline{};
    bool is_retried = false;
    /// Upstreams not to use, from the first attempt on.
    std::vector<upstream_id> excluded;
    std::function<void(weight_version)> on_start;
    std::function<void(const call_end&)> on_end;
};

/// Simulates one entry instance in virtual time: the production router and
/// admission queue with simulated engines on the same event loop.
class bench_instance {
public:
    struct setting {
        event_loop& loop;
        const deployment& size;
        const bench_policy& policy;
        std::shared_ptr<const service_document> document;
        std::vector<batch_engine*> engines;
        std::uint32_t number = 0;
        std::uint64_t seed = 0;
    };

    explicit bench_instance(const setting& options);

    /// Returns a ticket that identifies the call in the other methods.
    std::uint64_t submit(bench_call call);
    void cancel(std::uint64_t ticket);
    [[nodiscard]] std::optional<std::uint32_t> tokens_of(std::uint64_t ticket);
    /// The upstream that runs the call; empty while the call waits.
    [[nodiscard]] upstream_id upstream_of(std::uint64_t ticket) const;

    /// Whether the call's upstream is swapping, as far as this instance knows.
    [[nodiscard]] bool is_paused(std::uint64_t ticket) const;

    /// Handles a load report or condition change of an upstream.
    void on_report(std::uint32_t engine, const upstream_state& state);
    void on_prefix_cached(std::uint32_t engine, std::uint64_t prefix);

    [[nodiscard]] std::uint64_t calls() const { return next_ticket_; }
    [[nodiscard]] std::uint64_t sends() const { return attempt_count_; }

private:
    struct pending_call {
        bench_call call;
        std::uint32_t attempts = 0;
        std::optional<std::uint32_t> engine;
        steady_time sent{};
    };

    void publish();
    void start(std::uint64_t ticket);
    void send(std::uint64_t ticket, std::uint32_t engine, bool crosses_zones);
    void handle_result(std::uint64_t ticket, const engine_result& result);
    void end(std::uint64_t ticket, const call_end& outcome);
    void apply_admission_change(const admission_change& change);

    setting setting_;
    service_in_force service_;
    std::shared_ptr<const configuration_view> view_;
    upstream_state_map states_;
    snapshot_router router_;
    admission_queue admission_;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t next_ticket_ = 0;
    std::uint64_t attempt_count_ = 0;
};

} // namespace savorydock::bench
