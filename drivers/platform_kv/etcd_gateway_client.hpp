#pragma once

#include "core/endpoint.hpp"
#include "servers/platform/platform_store.hpp"

#include <boost/asio/io_context.hpp>

#include <memory>
#include <vector>

namespace savorydock {

/// A client of the platform's store over the published JSON gateway of the etcd
/// v3 API. Only this class and its codec depend on that protocol.
///
/// Thread safe. Reply handlers run on the context's thread. Requests in
/// progress when the client is destroyed are still answered as long as the
/// context runs.
class etcd_gateway_client final : public platform_store {
public:
    /// The addresses are tried in turn. Preconditions: there is at least one;
    /// the context outlives the client and is run by one thread.
    etcd_gateway_client(boost::asio::io_context& context,
                        std::vector<endpoint> addresses);
    ~etcd_gateway_client() override;
    etcd_gateway_client(const etcd_gateway_client&) = delete;
    etcd_gateway_client& operator=(const etcd_gateway_client&) = delete;

    void submit(const platform_request& request, steady_time deadline,
                reply_handler on_reply) override;

private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace savorydock
