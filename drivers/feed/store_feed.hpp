#pragma once

#include "core/logger.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_client.hpp"
#include "drivers/store/store_mirror.hpp"
#include "servers/feed/change_history.hpp"
#include "servers/feed/feed_follower.hpp"
#include "servers/feed/feeder_clock.hpp"
#include "servers/feed/node_directory.hpp"
#include "servers/feed/root_feeder.hpp"
#include "servers/feed/value_history.hpp"
#include "servers/fleet/view_age.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

struct store_feed_options {
    instance_id self;
    availability_zone zone;
    /// Where this instance takes messages of others.
    endpoint address;
    double processor_share = 1.0;
    /// Time within which a change in the store must take effect on all
    /// instances.
    std::chrono::milliseconds change_bound{2'000};
    std::uint64_t seed = 1;
};

/// A prefix of the store and the listener for its changes.
struct feed_subscription {
    std::string prefix;
    /// Must outlive the feed.
    store_mirror_listener* listener = nullptr;
};

/// Keeps copies of the store's keys on an instance. One instance per zone is
/// the feeder and forwards the changes to the others, its followers. Small
/// changes are pushed; large ones, and those for followers whose link is
/// congested, are announced, and each follower requests the newest state of
/// what it lacks, one request at a time. So the feeder's queues are bounded,
/// and no value is sent that was replaced meanwhile. If `change_bound` leaves
/// time for two hops, one of the feeders is the root: it watches the store and
/// forwards the changes to the feeders of the other zones. Otherwise each
/// feeder watches the store.
///
/// An instance whose source of changes is not current watches the store itself.
/// A feeder gives up the root sooner than its followers give up the feeder, so
/// that only the feeders read the store when the root fails.
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

    /// Reports the key that names the zone's feeder, as in a copy of this
    /// revision; null if there is none.
    void on_term_key(const stored_value* value, store_revision revision);
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
    /// How old the copies may be, and which changes are missing.
    [[nodiscard]] view_age find_view_age() const;
    /// When the last outage of the store ended, as noticed by this instance or
    /// by those whose changes it follows; the epoch if there was none.
    [[nodiscard]] steady_time outage_ended_at() const;

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
        change_history history;
        value_history values;
        /// A reply built on versions that are missing here, so the next request
        /// is for a snapshot.
        bool needs_snapshot = false;
        /// Number of the last push as the feeder.
        std::uint64_t pushes = 0;
        /// The last reply, without its changes, and its encoded form: followers
        /// usually request the same changes at once.
        std::optional<feed_push> reply;
        steady_time reply_made_at{};
        std::string encoded_reply;
    };

    [[nodiscard]] bool has_current_copies() const;
    [[nodiscard]] bool has_root() const;
    /// Whether this instance is the feeder that watches the store for all.
    [[nodiscard]] bool is_root() const;
    /// The instances to which this one forwards changes.
    struct recipients {
        std::vector<instance_id> in_zone;
        std::vector<instance_id> in_other_zones;
    };
    [[nodiscard]] recipients find_recipients() const;
    /// The state of what this instance follows now: the root as a feeder, the
    /// zone's feeder otherwise.
    [[nodiscard]] const feed_follower& source() const {
        return is_feeder() ? root_follower_ : zone_follower_;
    }
    /// Whether a message of the feed comes from what this instance follows.
    [[nodiscard]] bool is_from_source(bool is_between_zones) const;
    /// Time since this instance's data was known to be current; nothing if it
    /// isn't.
    [[nodiscard]] std::optional<std::chrono::milliseconds> data_age() const;
    /// When the own watches last showed that the copies are complete, as far as
    /// the contact to the store by other calls may stand for their answers.
    [[nodiscard]] steady_time last_own_contact() const;
    /// Upper bound of the time since the copy of the first prefix included the
    /// store's state, also after a suspension; absent if unknown.
    [[nodiscard]] std::optional<std::chrono::milliseconds>
    confirmed_age() const;
    void update_mode();
    /// Leaves the reading of all but the control keys to the zone's feeder for
    /// a time after the start.
    void wait_for_first_copies(std::chrono::milliseconds time);
    void request_first_copies();
    /// The zone's feeder if it is another instance.
    [[nodiscard]] std::optional<zone_feeder> find_zone_feeder() const;
    void watch_freshness();
    [[nodiscard]] std::chrono::milliseconds longest_retry_pause() const;
    void send_heartbeats();
    void push(const subscription& source,
              const std::vector<store_change>& changes);
    /// Returns nothing if the copies are not current. `request_sent_at` as in
    /// `feed_heartbeat`.
    [[nodiscard]] std::optional<feed_heartbeat>
    make_heartbeat(std::chrono::milliseconds request_sent_at = {}) const;
    /// Sends a heartbeat to all that follow this instance. Returns false if the
    /// copies are not current.
    bool announce();
    void send_reply(subscription& source, const feed_request& request,
                    const instance_id& to);
    /// Returns the encoded reply to a request.
    [[nodiscard]] const std::string& make_reply(subscription& source,
                                                const feed_request& request);
    void request_changes(const instance_id& feeder, const std::string& prefix,
                         bool is_between_zones);
    void request_changes(const feed_follower& follower,
                         const std::vector<std::string>& prefixes,
                         bool is_between_zones);
    /// Applies a push that the follower accepted.
    void apply_push(subscription& source, const feed_push& push,
                    std::vector<store_change> changes);
    /// Whether the copy that a reply builds on is the one held.
    [[nodiscard]] bool is_applicable(const feed_push& push) const;
    [[nodiscard]] subscription* find_subscription(const std::string& prefix);
    void handle_push(const peer_message& message);
    void handle_heartbeat(const peer_message& message);
    [[nodiscard]] std::chrono::milliseconds since_outage() const;
    void send(const instance_id& to, peer_topic topic, std::string body);
    void send_to(const endpoint& address, const instance_id& to,
                 peer_topic topic, std::string body);
    void send_to_all(const std::vector<instance_id>& receivers,
                     peer_topic topic, const std::string& body);
    /// Sends a push to those receivers whose links are not congested.
    void push_to(const std::vector<instance_id>& receivers,
                 const std::string& body);

    store_client& store_;
    peer_transport& peers_;
    const node_directory& directory_;
    store_feed_options options_;
    logger& log_;
    std::string term_key_;
    scope_term term_;
    std::vector<std::unique_ptr<subscription>> subscriptions_;
    feed_follower zone_follower_;
    feed_follower root_follower_;
    feeder_clock zone_clock_;
    feeder_clock root_clock_;
    boost::asio::io_context& context_;
    boost::asio::steady_timer heartbeat_timer_;
    boost::asio::steady_timer freshness_timer_;
    boost::asio::steady_timer start_timer_;
    bool is_waiting_for_copies_ = false;
    bool has_requested_copies_ = false;
    bool was_following_ = false;
    steady_time reported_outage_end_{};
};

} // namespace savorydock
