#pragma once

#include "core/http_message.hpp"
#include "core/outcome.hpp"

#include <boost/asio/awaitable.hpp>

namespace savorydock {

/// A way to the platform's store through another instance, for one that the
/// store refuses or that is cut off from it alone. Belongs to one traffic
/// thread.
class store_relay {
public:
    virtual ~store_relay() = default;

    /// Errors: `store_refused` if no instance has sent the call on,
    /// `store_unanswered` if it may take effect.
    virtual boost::asio::awaitable<outcome<http_response>>
    call(http_request request) = 0;
};

} // namespace savorydock
