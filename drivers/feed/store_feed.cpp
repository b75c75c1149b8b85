#include "drivers/feed/store_feed.hpp"

#include "core/wire_codec.hpp"
#include "servers/batch/job_keys.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

/// Interval at which a feeder confirms to its followers that its data is
/// current.
constexpr std::chrono::milliseconds heartbeat_period{350};
/// A feeder whose last contact with the store is older sends no heartbeats.
constexpr std::chrono::milliseconds max_contact_age{1'100};
/// Without a feeder, this instance's own watches return more often than this;
/// older data counts as stale.
constexpr std::chrono::milliseconds max_data_age{1'800};
/// Lease of a feeder and its renewals per lease. They are frequent because each
/// renewal shows that the store is reachable, which a waiting watch doesn't.
constexpr std::chrono::milliseconds feeder_lease{3'000};
constexpr int feeder_renewals = 6;

std::vector<std::string>
prefixes_of(const std::vector<feed_subscription>& subscriptions) {
    std::vector<std::string> prefixes;
    prefixes.reserve(subscriptions.size());
    for (const feed_subscription& wanted : subscriptions) {
        prefixes.push_back(wanted.prefix);
    }
    return prefixes;
}

feed_change to_feed(const stored_value& value, bool is_removed) {
    return {.key = value.key,
            .value = value.value,
            .created = value.created,
            .modified = value.modified,
            .is_removed = is_removed};
}

stored_value to_value(feed_change change) {
    return {.key = std::move(change.key),
            .value = std::move(change.value),
            .created = change.created,
            .modified = change.modified};
}

} // namespace

store_feed::subscription::subscription(store_feed& used_owner,
                                       asio::io_context& context,
                                       store_client& store,
                                       const feed_subscription& wanted,
                                       logger& log)
    : owner(used_owner)
    , listener(*wanted.listener)
    , mirror(context, store, wanted.prefix, *this, log) {}

void store_feed::subscription::on_changes(
    const std::vector<store_change>& changes, bool is_reread) {
    if (owner.is_feeder() && !changes.empty()) {
        ++pushes;
        owner.push(*this, changes);
    }
    listener.on_changes(changes, is_reread);
}

store_feed::store_feed(asio::io_context& context, store_client& store,
                       peer_transport& peers, const node_directory& directory,
                       store_feed_options options,
                       const std::vector<feed_subscription>& subscriptions,
                       logger& log)
    : store_(store)
    , peers_(peers)
    , directory_(directory)
    , options_(std::move(options))
    , log_(log)
    , term_key_(std::string(feed_term_prefix) + options_.zone.text())
    , term_(
          context, store,
          {.key = term_key_,
           .self = options_.self,
           .lease_time = feeder_lease,
           .renewals_per_lease = feeder_renewals,
           .processor_share = options_.processor_share,
           .seed = options_.seed},
          [this](const held_term&) {
              for (const auto& source : subscriptions_) {
                  // A term may resume after a suspension, during which
                  // changes were not forwarded. Skipping a number makes each
                  // follower request the complete prefix.
                  ++source->pushes;
              }
              update_mode();
              send_heartbeats();
          },
          [this](term_end) { update_mode(); }, log)
    , follower_({.prefixes = prefixes_of(subscriptions)})
    , context_(context)
    , heartbeat_timer_(context)
    , freshness_timer_(context) {
    for (const feed_subscription& wanted : subscriptions) {
        subscriptions_.push_back(
            std::make_unique<subscription>(*this, context, store, wanted, log));
        subscriptions_.back()->mirror.set_probing(subscriptions_.size() == 1);
    }
    store_.on_unreachable([this] {
        for (const auto& source : subscriptions_) {
            source->mirror.restart();
        }
    });
    store_.on_reachable([this] {
        for (const auto& source : subscriptions_) {
            source->mirror.on_store_reachable();
        }
    });
}

void store_feed::start() {
    for (const auto& source : subscriptions_) {
        asio::co_spawn(context_, source->mirror.run(), asio::detached);
    }
    asio::co_spawn(context_, term_.run(), asio::detached);
}

void store_feed::on_term_key(const stored_value* value) {
    term_.on_key(value);
}

const key_copy& store_feed::copy_of(const std::string& prefix) const {
    for (const auto& source : subscriptions_) {
        if (source->mirror.prefix() == prefix) {
            return source->mirror.copy();
        }
    }
    static const key_copy nothing;
    return nothing;
}

bool store_feed::is_following() const {
    return !is_feeder() &&
           follower_.is_following(std::chrono::steady_clock::now());
}

bool store_feed::has_current_copies() const {
    return std::all_of(
        subscriptions_.begin(), subscriptions_.end(),
        [](const auto& source) { return source->mirror.is_current(); });
}

bool store_feed::is_data_current() const {
    const auto age = std::chrono::steady_clock::now() - store_.last_contact();
    return is_following() || (has_current_copies() && age < max_data_age);
}

void store_feed::update_mode() {
    const bool has_feeder = is_following();
    if (has_feeder != was_following_) {
        was_following_ = has_feeder;
        log_.write(has_feeder ? log_event::feed_followed : log_event::feed_left,
                   "feeder=" + follower_.feeder().text() +
                       " zone=" + options_.zone.text());
    }
    const mirror_mode mode =
        has_feeder ? mirror_mode::off : mirror_mode::watching;
    for (const auto& source : subscriptions_) {
        source->mirror.set_mode(mode);
    }
    if (has_feeder) {
        watch_freshness();
    }
}

void store_feed::watch_freshness() {
    freshness_timer_.expires_at(follower_.fresh_until());
    freshness_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            update_mode();
        }
    });
}

std::vector<instance_id> store_feed::followers() const {
    std::vector<instance_id> names;
    for (const auto& [instance, entry] : directory_) {
        if (entry.zone == options_.zone && instance != options_.self) {
            names.push_back(instance);
        }
    }
    return names;
}

void store_feed::send(const instance_id& to, peer_topic topic,
                      std::string body) {
    const auto entry = directory_.find(to);
    if (entry == directory_.end()) {
        return;
    }
    peers_.send({.from = options_.self,
                 .to = to,
                 .topic = topic,
                 .body = std::move(body)},
                entry->second.address);
}

void store_feed::send_heartbeats() {
    if (!is_feeder()) {
        is_sending_heartbeats_ = false;
        return;
    }
    is_sending_heartbeats_ = true;
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - store_.last_contact());
    if (age < max_contact_age && has_current_copies()) {
        feed_heartbeat message{.term = term_.term()->revision, .age = age};
        for (const auto& source : subscriptions_) {
            message.numbers.push_back(source->pushes);
        }
        const std::string body = wire::encode(message);
        for (const instance_id& follower : followers()) {
            send(follower, peer_topic::feed_heartbeat, body);
        }
    }
    heartbeat_timer_.expires_after(heartbeat_period);
    heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            send_heartbeats();
        }
    });
}

void store_feed::push(const subscription& source,
                      const std::vector<store_change>& changes) {
    feed_push message{.prefix = source.mirror.prefix(),
                      .term = term_.term()->revision,
                      .number = source.pushes,
                      .revision = source.mirror.copy().revision()};
    for (const store_change& change : changes) {
        message.changes.push_back(to_feed(change.value, change.is_removed));
    }
    const std::string body = wire::encode(message);
    for (const instance_id& follower : followers()) {
        send(follower, peer_topic::feed_push, body);
    }
}

void store_feed::send_snapshot(const subscription& source,
                               const instance_id& to) {
    feed_push message{.prefix = source.mirror.prefix(),
                      .term = term_.term()->revision,
                      .number = source.pushes,
                      .is_snapshot = true,
                      .revision = source.mirror.copy().revision()};
    for (const auto& [key, value] : source.mirror.copy().values()) {
        message.changes.push_back(to_feed(value, false));
    }
    send(to, peer_topic::feed_push, wire::encode(message));
}

void store_feed::on_message(const peer_message& message) {
    if (message.topic == peer_topic::feed_push) {
        handle_push(message);
    } else if (message.topic == peer_topic::feed_heartbeat) {
        handle_heartbeat(message);
    } else if (message.topic == peer_topic::feed_request && is_feeder()) {
        const auto request = wire::decode<feed_request>(message.body);
        for (const auto& source : subscriptions_) {
            if (request && source->mirror.prefix() == request->prefix &&
                source->mirror.copy().has_snapshot()) {
                send_snapshot(*source, message.from);
            }
        }
    }
}

void store_feed::handle_push(const peer_message& message) {
    auto push = wire::decode<feed_push>(message.body);
    if (!push || is_feeder()) {
        return;
    }
    const auto action = follower_.on_push(message.from, *push,
                                          std::chrono::steady_clock::now());
    if (action == push_action::request_snapshot) {
        send(message.from, peer_topic::feed_request,
             wire::encode(feed_request{.prefix = push->prefix}));
    }
    if (action != push_action::apply) {
        return;
    }
    for (const auto& source : subscriptions_) {
        if (source->mirror.prefix() != push->prefix) {
            continue;
        }
        if (push->is_snapshot) {
            std::vector<stored_value> values;
            for (feed_change& change : push->changes) {
                values.push_back(to_value(std::move(change)));
            }
            source->mirror.apply_snapshot(std::move(values), push->revision);
            continue;
        }
        std::vector<store_change> changes;
        for (feed_change& change : push->changes) {
            const bool is_removed = change.is_removed;
            changes.push_back({to_value(std::move(change)), is_removed});
        }
        source->mirror.apply_changes(std::move(changes), push->revision);
    }
    update_mode();
}

void store_feed::handle_heartbeat(const peer_message& message) {
    const auto heartbeat = wire::decode<feed_heartbeat>(message.body);
    if (!heartbeat || is_feeder()) {
        return;
    }
    const auto stale_prefixes = follower_.on_heartbeat(
        message.from, *heartbeat, std::chrono::steady_clock::now());
    for (const std::string& prefix : stale_prefixes) {
        send(message.from, peer_topic::feed_request,
             wire::encode(feed_request{.prefix = prefix}));
    }
    update_mode();
}

asio::awaitable<void> store_feed::retire() {
    return term_.retire();
}

} // namespace savorydock
