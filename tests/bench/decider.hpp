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

/// A request as an instance gets it from a caller.
struct bench_call {
    class_name class_of_service;
    caller_id caller;
    std::uint64_t prefix = 0;
    std::uint32_t expected_tokens = 0;
    weight_version minimum_version = 0;
    /// Length of the whole answer, and what a resumed run brings along.
    std::uint32_t tokens = 0;
    std::uint32_t first_tokens = 0;
    weight_version first_version = 0;
    steady_time deadline{};
    bool is_retried = false;
    /// An upstream to pass over from the first try on.
    std::vector<upstream_id> excluded;
    std::function<void(weight_version)> on_start;
    std::function<void(const call_end&)> on_end;
};

/// One entry instance in virtual time: the real router and the real admission
/// queue over engines in the same loop.
class decider {
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

    explicit decider(const setting& options);

    /// Returns the ticket by which the call can be asked about and cancelled.
    std::uint64_t submit(bench_call call);
    void cancel(std::uint64_t ticket);
    [[nodiscard]] std::optional<std::uint32_t> tokens_of(std::uint64_t ticket);
    /// The upstream that a call is on; empty while it waits.
    [[nodiscard]] upstream_id upstream_of(std::uint64_t ticket) const;

    /// Whether the instance holds the call's upstream to be swapping.
    [[nodiscard]] bool is_paused(std::uint64_t ticket) const;

    /// A report of an upstream has come.
    void hear(std::uint32_t engine, const upstream_state& state);
    void hear_cached(std::uint32_t engine, std::uint64_t prefix);

    [[nodiscard]] std::uint64_t calls() const { return next_ticket_; }
    [[nodiscard]] std::uint64_t sends() const { return sends_; }

private:
    struct pending_call {
        bench_call call;
        std::uint32_t attempts = 0;
        std::optional<std::uint32_t> engine;
        steady_time sent{};
    };

    void publish();
    void start(std::uint64_t ticket);
    void send(std::uint64_t ticket, std::uint32_t engine, bool is_away);
    void take_result(std::uint64_t ticket, const engine_result& result);
    void end(std::uint64_t ticket, const call_end& outcome);
    void carry_out(const admission_change& change);

    setting setting_;
    service_in_force service_;
    std::shared_ptr<const configuration_view> view_;
    upstream_state_map states_;
    snapshot_router router_;
    admission_queue admission_;
    std::map<std::uint64_t, pending_call> calls_;
    std::uint64_t next_ticket_ = 0;
    std::uint64_t sends_ = 0;
};

} // namespace savorydock::bench
