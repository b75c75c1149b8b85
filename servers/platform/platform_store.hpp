#pragma once

#include "core/clock.hpp"
#include "core/outcome.hpp"
#include "servers/platform/platform_message.hpp"

#include <functional>

namespace savorydock {

/// The interface of the runtime to the platform's key-value service.
class platform_store {
public:
    using reply_handler = std::function<void(outcome<platform_answer>)>;

    virtual ~platform_store() = default;

    /// Sends a request. `on_reply` is called exactly once, no later than the
    /// deadline, on a thread of the implementation. A watch without a change
    /// until its deadline succeeds with an empty answer.
    ///
    /// Errors: `platform_unreachable` if no answer arrived, also if the write
    /// may have taken effect; `lease_not_held` if the lease in the request does
    /// not exist. Thread safe; does not block.
    virtual void submit(const platform_request& request, steady_time deadline,
                        reply_handler on_reply) = 0;
};

} // namespace savorydock
