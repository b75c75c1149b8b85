#pragma once

#include "core/ids.hpp"
#include "servers/delivery/attempt_gate.hpp"
#include "servers/delivery/crash_suspicion.hpp"
#include "servers/delivery/step_registry.hpp"

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace savorydock {

/// Asks to run a suspect on one upstream; the answer may be "not now".
struct permit_query {
    service_name service;
    std::string fingerprint;
    upstream_id upstream;
    /// The longest that the run may take.
    std::chrono::milliseconds duration{0};
    /// Called once, on the control thread: whether the run may begin, and the
    /// name to give back in `permit_return`.
    std::function<void(bool, const std::string&)> done;
};

/// A permitted run has ended; report its loss or success first.
struct permit_return {
    service_name service;
    std::string permit;
};

/// A request under suspicion finished, or an operator clears it.
struct suspect_clearing {
    std::string fingerprint;
};

struct step_closing {
    step_key key;
    session_epoch epoch = 0;
};

using delivery_event =
    std::variant<right_query, std::vector<run_lost>, suspect_clearing,
                 permit_query, permit_return, step_opening, step_closing>;

/// The traffic threads' way to `delivery_server`.
///
/// Traffic calls `submit` and is called back on the control thread; the
/// callback posts to its own executor. `suspects` is read without waiting.
/// Thread safe; the lock is held for a push or a swap only.
class delivery_port {
public:
    /// `wake` makes the control thread call `delivery_server::serve_port` soon.
    /// Set it before the first submit.
    void set_wake(std::function<void()> wake) { wake_ = std::move(wake); }

    void submit(delivery_event event) {
        {
            const std::scoped_lock guard(lock_);
            events_.push_back(std::move(event));
        }
        if (wake_) {
            wake_();
        }
    }

    /// Takes all events. Called on the control thread.
    [[nodiscard]] std::vector<delivery_event> take() {
        const std::scoped_lock guard(lock_);
        return std::exchange(events_, {});
    }

    [[nodiscard]] std::shared_ptr<const suspect_view> suspects() const {
        return suspects_.load();
    }
    void publish(std::shared_ptr<const suspect_view> view) {
        suspects_.store(std::move(view));
    }

private:
    std::function<void()> wake_;
    std::mutex lock_;
    std::vector<delivery_event> events_;
    std::atomic<std::shared_ptr<const suspect_view>> suspects_{
        std::make_shared<const suspect_view>()};
};

} // namespace savorydock
