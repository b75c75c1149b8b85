#pragma once

#include "core/clock.hpp"
#include "core/outcome.hpp"
#include "servers/platform/platform_message.hpp"

#include <functional>

namespace savorydock {

/// The platform's key-value service as the runtime sees it.
class platform_store {
public:
    using reply_handler = std::function<void(outcome<platform_answer>)>;

    virtual ~platform_store() = default;

    /// Sends a request. `on_reply` is called exactly once, at the deadline at
    /// the latest, on a thread of the implementation's own. A watch that sees
    /// no change by its deadline succeeds with an empty answer.
    ///
    /// Errors: `platform_unreachable` for every answer that did not come, even
    /// if the write may have taken effect; `lease_not_held` if the lease named
    /// does not exist. Thread safe; does not block.
    virtual void submit(const platform_request& request, steady_time deadline,
                        reply_handler on_reply) = 0;
};

} // namespace savorydock
