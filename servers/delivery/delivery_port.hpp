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

/// Requests a permit to run a suspected request on one upstream. A refusal is
/// temporary; the request may be repeated later.
struct permit_query {
    service_name service;
    std::string fingerprint;
    upstream_id upstream;
    /// Maximum duration of the run.
    std::chrono::milliseconds duration{0};
    /// Called once, on the control thread, with whether the run may begin and
    /// the permit id to return in `permit_return`.
    std::function<void(bool, const std::string&)> done;
};

/// Returns the permit of a run that has ended. Submit the loss or the success
/// of the run first.
struct permit_return {
    service_name service;
    std::string permit;
};

/// A suspected request has finished, or an operator clears it.
struct suspect_clearing {
    std::string fingerprint;
};

struct step_closing {
    step_key key;
    session_epoch epoch = 0;
};

using delivery_event =
    std::variant<run_right_query, std::vector<lost_run>, suspect_clearing,
                 permit_query, permit_return, step_opening, step_closing>;

/// Passes events from the traffic threads to `delivery_server`.
///
/// Traffic threads call `submit`. Callbacks run on the control thread and must
/// post to their own executor. `suspects` does not block. Thread safe; the lock
/// is held only for a push or a swap.
class delivery_port {
public:
    /// `wake` must make the control thread call `delivery_server::serve_port`
    /// soon. Set it before the first submit.
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

    /// Removes and returns all events. Call on the control thread.
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
