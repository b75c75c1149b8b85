#pragma once

#include "core/clock.hpp"
#include "core/endpoint.hpp"
#include "core/ids.hpp"
#include "drivers/http/http_client.hpp"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace savorydock {

struct trainer_options {
    /// Entry instances, tried round robin like behind a load balancer.
    std::vector<endpoint> entries;
    std::string key;
    std::string model;
    std::uint64_t step = 1;
    std::uint32_t groups = 2;
    std::uint32_t group_size = 4;
    std::uint32_t max_tokens = 16;
    std::string prompt = "prompt";
    weight_version newest_version = 0;
    std::chrono::milliseconds timeout{60'000};
};

/// One sample as the trainer received it.
struct trainer_sample {
    std::uint32_t group = 0;
    std::uint32_t index = 0;
    std::string text;
    std::vector<version_range> versions;
    std::string instance;
};

struct trainer_report {
    std::vector<trainer_sample> samples;
    /// Samples received for a slot that already had one.
    std::uint32_t doubled = 0;
    std::uint32_t connects = 0;
    bool is_complete = false;
    /// Why the last connection ended early.
    std::string last_problem;
};

/// A test double for a trainer. It requests a step, stores the samples it
/// receives, and after a disconnect requests the missing ones from the next
/// instance. Not thread safe.
class fake_trainer {
public:
    using sample_handler = std::function<void(const trainer_sample&)>;

    explicit fake_trainer(trainer_options options);

    /// Runs the step; blocks until all samples arrived or the timeout passed.
    /// Calls `on_sample` for each new sample.
    [[nodiscard]] trainer_report run(const sample_handler& on_sample = {});

private:
    boost::asio::awaitable<void> run_all(http_client& client,
                                         const sample_handler& on_sample);
    boost::asio::awaitable<void> connect(http_client& client,
                                         const sample_handler& on_sample);
    void store_sample(const std::string& data, const std::string& instance,
                      const sample_handler& on_sample);
    [[nodiscard]] std::string make_body() const;

    trainer_options options_;
    trainer_report report_;
    std::vector<bool> received_;
    steady_time deadline_{};
};

} // namespace savorydock
