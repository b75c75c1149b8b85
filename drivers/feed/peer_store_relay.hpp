#pragma once

#include "core/correlation_numbers.hpp"
#include "core/logger.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "drivers/store/store_client.hpp"
#include "drivers/store/store_relay.hpp"
#include "servers/feed/node_directory.hpp"
#include "servers/feed/relay_message.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace savorydock {

/// Makes calls to the store through other instances, and makes calls for them.
/// Belongs to one traffic thread.
class peer_store_relay final : public store_relay {
public:
    /// Returns instances that can probably reach the store, best first.
    using candidate_list = std::function<std::vector<instance_id>()>;

    /// All references must outlive the relay's context.
    peer_store_relay(boost::asio::io_context& context, store_client& store,
                     peer_transport& peers, const node_directory& directory,
                     instance_id self, candidate_list candidates, logger& log);

    boost::asio::awaitable<outcome<http_response>>
    call(http_request request) override;

    /// Handles a message of the topic `store_call` or `store_answer`.
    void on_message(const peer_message& message);

private:
    struct waiting_call {
        /// The instance that was asked to make the call.
        instance_id peer;
        boost::asio::steady_timer timer;
        std::optional<relayed_answer> answer;
    };

    boost::asio::awaitable<void> serve(instance_id caller, relayed_call call);
    void handle_answer(const peer_message& message);
    bool send(const instance_id& to, peer_topic topic, std::string body);

    boost::asio::io_context& context_;
    store_client& store_;
    peer_transport& peers_;
    const node_directory& directory_;
    instance_id self_;
    candidate_list candidates_;
    logger& log_;
    correlation_numbers numbers_;
    std::map<std::uint64_t, std::shared_ptr<waiting_call>> waiting_;
};

} // namespace savorydock
