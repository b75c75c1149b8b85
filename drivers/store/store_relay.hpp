#pragma once

#include "core/http_message.hpp"
#include "core/outcome.hpp"

#include <boost/asio/awaitable.hpp>

namespace savorydock {

/// Makes calls to the platform's store through another instance, for an
/// instance that the store refuses or that can't reach it while others can.
/// Belongs to one traffic thread.
class store_relay {
public:
    virtual ~store_relay() = default;

    /// Errors: `store_refused` if the call certainly had no effect,
    /// `store_unanswered` if it may still take effect.
    virtual boost::asio::awaitable<outcome<http_response>>
    call(http_request request) = 0;
};

} // namespace savorydock
