#pragma once

#include "core/logger.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_client.hpp"
#include "drivers/store/store_mirror.hpp"
#include "servers/feed/feed_follower.hpp"
#include "servers/feed/node_directory.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace savorydock {

struct store_feed_options {
    instance_id self;
    availability_zone zone;
    double processor_share = 1.0;
    std::uint64_t seed = 1;
};

/// A prefix of the store and the listener for its changes.
struct feed_subscription {
    std::string prefix;
    /// Must outlive the feed.
    store_mirror_listener* listener = nullptr;
};

/// Keeps copies of the store's keys on an instance. One instance per zone is
/// the feeder: it watches the store and forwards the changes to the others, its
/// followers. A follower without a current feeder watches the store itself.
/// Belongs to one traffic thread.
class store_feed {
public:
    /// All references must outlive the feed's context.
    store_feed(boost::asio::io_context& context, store_client& store,
               peer_transport& peers, const node_directory& directory,
               store_feed_options options,
               const std::vector<feed_subscription>& subscriptions,
               logger& log);

    /// Starts to follow the store. Precondition: called once.
    void start();

    /// Reports the key that names the zone's feeder; null if there is none.
    void on_term_key(const stored_value* value);
    [[nodiscard]] const std::string& term_key() const { return term_key_; }

    /// Handles a message of one of the feed's topics.
    void on_message(const peer_message& message);

    /// Stops being or becoming the feeder.
    boost::asio::awaitable<void> retire();

    [[nodiscard]] const key_copy& copy_of(const std::string& prefix) const;
    [[nodiscard]] bool is_feeder() const { return term_.is_held_now(); }
    [[nodiscard]] bool is_following() const;
    /// Whether the copies are current, from a feeder or from own watches.
    [[nodiscard]] bool is_data_current() const;

private:
    /// Forwards a mirror's changes to its listener and to the followers.
    class subscription final : public store_mirror_listener {
    public:
        subscription(store_feed& owner, boost::asio::io_context& context,
                     store_client& store, const feed_subscription& wanted,
                     logger& log);
        void on_changes(const std::vector<store_change>& changes,
                        bool is_reread) override;

        store_feed& owner;
        store_mirror_listener& listener;
        store_mirror mirror;
        /// Number of the last push as the feeder.
        std::uint64_t pushes = 0;
    };

    [[nodiscard]] bool has_current_copies() const;
    void update_mode();
    void watch_freshness();
    void send_heartbeats();
    void push(const subscription& source,
              const std::vector<store_change>& changes);
    void send_snapshot(const subscription& source, const instance_id& to);
    void handle_push(const peer_message& message);
    void handle_heartbeat(const peer_message& message);
    void send(const instance_id& to, peer_topic topic, std::string body);
    [[nodiscard]] std::vector<instance_id> followers() const;

    store_client& store_;
    peer_transport& peers_;
    const node_directory& directory_;
    store_feed_options options_;
    logger& log_;
    std::string term_key_;
    scope_term term_;
    std::vector<std::unique_ptr<subscription>> subscriptions_;
    feed_follower follower_;
    boost::asio::io_context& context_;
    boost::asio::steady_timer heartbeat_timer_;
    boost::asio::steady_timer freshness_timer_;
    bool is_sending_heartbeats_ = false;
    bool was_following_ = false;
};

} // namespace savorydock
