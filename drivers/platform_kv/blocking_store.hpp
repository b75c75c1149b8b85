#pragma once

#include "core/endpoint.hpp"
#include "core/outcome.hpp"
#include "drivers/platform_kv/etcd_gateway_client.hpp"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace savorydock {

/// A client of the platform's store for tools: each call blocks until it is
/// answered. Not thread safe.
class blocking_store {
public:
    /// Precondition: there is at least one address.
    explicit blocking_store(std::vector<endpoint> addresses);

    /// Errors: as `platform_store::submit`.
    [[nodiscard]] outcome<platform_answer> call(const platform_request& request,
                                                steady_time deadline);

private:
    boost::asio::io_context context_{1};
    etcd_gateway_client client_;
};

} // namespace savorydock
