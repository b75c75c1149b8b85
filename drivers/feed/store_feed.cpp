#include "drivers/feed/store_feed.hpp"

#include "core/wire_codec.hpp"
#include "servers/batch/job_keys.hpp"
#include "servers/feed/claim_order.hpp"
#include "servers/feed/root_feeder.hpp"
#include "servers/membership/stable_hash.hpp"

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
/// Longest pause between retries during an outage of the store. A feeder
/// retries for its zone and tells the others when it succeeds; their own
/// retries only matter if it fails as well, and become rarer with their number.
constexpr std::chrono::milliseconds feeder_retry_pause{800};
constexpr std::chrono::milliseconds retry_pause_per_instance{100};
constexpr std::chrono::milliseconds max_retry_pause{4'000};
/// How long an instance that has just started waits for the copies of its
/// zone's feeder before it reads them from the store: while the zone may still
/// elect a feeder, and once the feeder is known and was asked.
constexpr std::chrono::milliseconds feeder_election_time{800};
constexpr std::chrono::milliseconds first_copy_time{250};
/// How often a feeder whose own copies aren't complete yet checks whether they
/// are.
constexpr std::chrono::milliseconds incomplete_copy_period{50};
/// How long after the last answer to a watch the contact to the store by other
/// calls counts as contact of the data: a watch may be lost without a sign.
/// Together with a follower's limit of the age it must stay within 2 s.
constexpr std::chrono::milliseconds max_unconfirmed_contact{600};
/// Smallest `change_bound` with which changes may take two hops.
constexpr std::chrono::milliseconds min_bound_for_root{3'000};
/// Limits of the age of data with two hops. The difference leaves a feeder the
/// time to read the store itself before its followers give it up.
constexpr std::chrono::milliseconds max_root_age{1'400};
constexpr std::chrono::milliseconds max_feeder_age_with_root{2'000};

/// Larger changes are announced instead of pushed. Below this size a message
/// isn't interleaved with others on its connection, so a heartbeat doesn't
/// overtake it.
constexpr std::size_t max_push_bytes = 12'000;
/// A follower with more unanswered bytes gets no pushes, and no further
/// replies; it repeats its request.
constexpr std::size_t max_queued_bytes = 64'000;
/// How long a reply may be sent to others that lack the same changes. It tells
/// the time since an outage.
constexpr std::chrono::milliseconds reply_lifetime{200};

std::vector<std::string>
prefixes_of(const std::vector<feed_subscription>& subscriptions) {
    std::vector<std::string> prefixes;
    prefixes.reserve(subscriptions.size());
    for (const feed_subscription& wanted : subscriptions) {
        prefixes.push_back(wanted.prefix);
    }
    return prefixes;
}

feed_follower_options
zone_follower_options(std::vector<std::string> prefixes,
                      std::chrono::milliseconds change_bound) {
    feed_follower_options options{.prefixes = std::move(prefixes)};
    if (change_bound >= min_bound_for_root) {
        options.max_age = max_feeder_age_with_root;
    }
    return options;
}

/// Leaves out long values that a later change of the list replaces.
std::vector<store_change>
without_replaced(const std::vector<store_change>& changes) {
    std::map<std::string, store_revision> newest;
    for (const store_change& change : changes) {
        newest[change.value.key] = change.value.modified;
    }
    std::vector<store_change> left;
    for (const store_change& change : changes) {
        if (change.value.value.size() < value_history_options().min_bytes ||
            newest[change.value.key] == change.value.modified) {
            left.push_back(change);
        }
    }
    return left;
}

/// Restores the changes of a push; nothing if one of them can't be.
std::optional<std::vector<store_change>>
decode_changes(std::vector<feed_change> encoded, const value_history& values) {
    std::vector<store_change> changes;
    changes.reserve(encoded.size());
    for (feed_change& change : encoded) {
        auto decoded = values.decode(std::move(change));
        if (!decoded) {
            return std::nullopt;
        }
        changes.push_back(std::move(*decoded));
    }
    return changes;
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
    history.record(changes, mirror.copy());
    values.record(changes);
    if (owner.term_.term() && !changes.empty()) {
        // Counts also while the lease may have ended: if a late renewal shows
        // that it hasn't, followers notice the gap.
        ++pushes;
        if (owner.is_feeder()) {
            owner.push(*this, changes);
        }
    }
    listener.on_changes(changes, is_reread);
    if (is_reread && mirror.prefix() == control_prefix) {
        owner.request_first_copies();
    }
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
           .claim_delay =
               [this](const instance_id& last_holder) {
                   return savorydock::claim_delay(
                       directory_, term_key_, last_holder,
                       {.self = options_.self, .zone = options_.zone});
               },
           .seed = options_.seed},
          [this](const held_term&) {
              for (const auto& source : subscriptions_) {
                  // A term may resume after a suspension, during which
                  // changes were not forwarded. Skipping a number makes each
                  // follower request them.
                  ++source->pushes;
              }
              update_mode();
              send_heartbeats();
          },
          [this](term_end) { update_mode(); }, log)
    , zone_follower_(zone_follower_options(prefixes_of(subscriptions),
                                           options_.change_bound))
    , root_follower_(
          {.prefixes = prefixes_of(subscriptions), .max_age = max_root_age})
    , context_(context)
    , heartbeat_timer_(context)
    , freshness_timer_(context)
    , start_timer_(context) {
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
    wait_for_first_copies(feeder_election_time);
    update_mode();
    for (const auto& source : subscriptions_) {
        asio::co_spawn(context_, source->mirror.run(), asio::detached);
    }
    asio::co_spawn(context_, term_.run(), asio::detached);
}

void store_feed::wait_for_first_copies(std::chrono::milliseconds time) {
    is_waiting_for_copies_ = true;
    start_timer_.expires_after(time);
    start_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            is_waiting_for_copies_ = false;
            update_mode();
        }
    });
}

void store_feed::request_first_copies() {
    const auto feeder = find_zone_feeder();
    if (!is_waiting_for_copies_ || has_requested_copies_ || !feeder) {
        return;
    }
    has_requested_copies_ = true;
    for (const auto& source : subscriptions_) {
        request_changes(feeder->instance, source->mirror.prefix(), false);
    }
    wait_for_first_copies(first_copy_time);
}

std::optional<zone_feeder> store_feed::find_zone_feeder() const {
    for (zone_feeder& feeder : other_feeders(
             copy_of(std::string(control_prefix)).values(), options_.self)) {
        if (feeder.zone == options_.zone) {
            return std::move(feeder);
        }
    }
    return std::nullopt;
}

void store_feed::on_term_key(const stored_value* value,
                             store_revision revision) {
    term_.on_key(value, revision);
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

bool store_feed::has_root() const {
    return options_.change_bound >= min_bound_for_root;
}

bool store_feed::is_root() const {
    if (!is_feeder() || !has_root()) {
        return false;
    }
    const auto root =
        find_root_feeder(copy_of(std::string(control_prefix)).values(),
                         options_.self, term_.term()->revision);
    return root && root->instance == options_.self;
}

bool store_feed::is_from_source(bool is_between_zones) const {
    return is_between_zones == is_feeder() && !is_root();
}

bool store_feed::is_following() const {
    const bool watches_store = is_feeder() && (!has_root() || is_root());
    return !watches_store &&
           source().is_following(std::chrono::steady_clock::now());
}

steady_time store_feed::outage_ended_at() const {
    return std::max(store_.reachable_since(), reported_outage_end_);
}

std::optional<std::chrono::milliseconds> store_feed::data_age() const {
    const bool is_from_feeder = is_following();
    if (!is_from_feeder && !has_current_copies()) {
        return std::nullopt;
    }
    const steady_time contact =
        is_from_feeder ? source().last_contact() : last_own_contact();
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - contact);
}

steady_time store_feed::last_own_contact() const {
    steady_time contact = store_.last_contact();
    for (const auto& source : subscriptions_) {
        contact = std::min(contact, source->mirror.answered_at() +
                                        max_unconfirmed_contact);
    }
    return contact;
}

std::optional<std::chrono::milliseconds> store_feed::confirmed_age() const {
    auto confirmed_at =
        std::max(zone_follower_.confirmed_at(), root_follower_.confirmed_at());
    if (const auto own = subscriptions_.front()->mirror.confirmed_at()) {
        confirmed_at = std::max(
            confirmed_at,
            std::optional(std::chrono::duration_cast<std::chrono::milliseconds>(
                own->time_since_epoch())));
    }
    return confirmed_at ? std::optional(boot_clock::reading() - *confirmed_at)
                        : std::nullopt;
}

bool store_feed::has_current_copies() const {
    return std::all_of(
        subscriptions_.begin(), subscriptions_.end(),
        [](const auto& source) { return source->mirror.is_current(); });
}

bool store_feed::is_data_current() const {
    const auto age = data_age();
    return age && (is_following() || *age < max_data_age);
}

view_age store_feed::find_view_age() const {
    const auto gap = source().find_gap(std::chrono::steady_clock::now());
    return {.is_current = is_data_current(),
            .age = data_age(),
            .confirmed_age = confirmed_age(),
            .announced = gap.announced,
            .held = gap.held,
            .missing_for = gap.missing_for};
}

void store_feed::update_mode() {
    const bool has_feeder = is_following();
    if (has_feeder != was_following_) {
        was_following_ = has_feeder;
        log_.write(has_feeder ? log_event::feed_followed : log_event::feed_left,
                   "feeder=" + source().feeder().text() +
                       " zone=" + options_.zone.text());
    }
    const auto longest_pause = longest_retry_pause();
    const bool is_waiting = is_waiting_for_copies_ && !is_feeder();
    for (const auto& source : subscriptions_) {
        // The control keys name the feeder, so they are read in any case.
        const bool may_wait = source->mirror.prefix() != control_prefix;
        source->mirror.set_longest_pause(longest_pause);
        source->mirror.set_mode(has_feeder || (is_waiting && may_wait)
                                    ? mirror_mode::off
                                    : mirror_mode::watching);
    }
    if (has_feeder) {
        watch_freshness();
    }
}

std::chrono::milliseconds store_feed::longest_retry_pause() const {
    if (is_feeder()) {
        return feeder_retry_pause;
    }
    const auto in_zone = static_cast<long>(std::count_if(
        directory_.begin(), directory_.end(),
        [this](const auto& row) { return row.second.zone == options_.zone; }));
    const auto pause = std::clamp(retry_pause_per_instance * in_zone,
                                  feeder_retry_pause, max_retry_pause);
    // Spreads the instances over half of the pause.
    const auto spread =
        static_cast<long>(stable_hash(options_.self.text()) %
                          static_cast<std::uint64_t>(pause.count() / 2));
    return pause - std::chrono::milliseconds(spread);
}

void store_feed::watch_freshness() {
    freshness_timer_.expires_at(source().fresh_until());
    freshness_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            update_mode();
        }
    });
}

store_feed::recipients store_feed::find_recipients() const {
    recipients found;
    for (const auto& [instance, entry] : directory_) {
        if (entry.zone == options_.zone && instance != options_.self) {
            found.in_zone.push_back(instance);
        }
    }
    if (is_root()) {
        for (const zone_feeder& feeder :
             other_feeders(copy_of(std::string(control_prefix)).values(),
                           options_.self)) {
            found.in_other_zones.push_back(feeder.instance);
        }
    }
    return found;
}

void store_feed::send(const instance_id& to, peer_topic topic,
                      std::string body) {
    const auto entry = directory_.find(to);
    if (entry != directory_.end()) {
        send_to(entry->second.address, to, topic, std::move(body));
    }
}

void store_feed::send_to(const endpoint& address, const instance_id& to,
                         peer_topic topic, std::string body) {
    peers_.send({.from = options_.self,
                 .to = to,
                 .topic = topic,
                 .body = std::move(body)},
                address);
}

void store_feed::request_changes(const instance_id& feeder,
                                 const std::string& prefix,
                                 bool is_between_zones) {
    const key_copy& copy = copy_of(prefix);
    const subscription* const source = find_subscription(prefix);
    const bool has_base =
        copy.has_snapshot() && source != nullptr && !source->needs_snapshot;
    send(feeder, peer_topic::feed_request,
         wire::encode(feed_request{.prefix = prefix,
                                   .is_between_zones = is_between_zones,
                                   .address = to_text(options_.address),
                                   .revision = has_base ? copy.revision() : 0,
                                   .sent_at = boot_clock::reading()}));
}

void store_feed::request_changes(const feed_follower& follower,
                                 const std::vector<std::string>& prefixes,
                                 bool is_between_zones) {
    for (const std::string& prefix : prefixes) {
        request_changes(follower.feeder(), prefix, is_between_zones);
    }
}

void store_feed::send_heartbeats() {
    if (!term_.term()) {
        return;
    }
    update_mode();
    heartbeat_timer_.expires_after(announce() ? heartbeat_period
                                              : incomplete_copy_period);
    heartbeat_timer_.async_wait([this](const boost::system::error_code& error) {
        if (!error) {
            send_heartbeats();
        }
    });
}

bool store_feed::announce() {
    auto heartbeat = make_heartbeat();
    if (!heartbeat) {
        return false;
    }
    const recipients to = find_recipients();
    send_to_all(to.in_zone, peer_topic::feed_heartbeat,
                wire::encode(*heartbeat));
    heartbeat->is_between_zones = true;
    send_to_all(to.in_other_zones, peer_topic::feed_heartbeat,
                wire::encode(*heartbeat));
    return true;
}

std::chrono::milliseconds store_feed::since_outage() const {
    const steady_time end = outage_ended_at();
    return end == steady_time{}
               ? no_outage
               : std::chrono::duration_cast<std::chrono::milliseconds>(
                     std::chrono::steady_clock::now() - end);
}

void store_feed::send_to_all(const std::vector<instance_id>& receivers,
                             peer_topic topic, const std::string& body) {
    for (const instance_id& receiver : receivers) {
        send(receiver, topic, body);
    }
}

void store_feed::push(const subscription& source,
                      const std::vector<store_change>& changes) {
    feed_push message{.prefix = source.mirror.prefix(),
                      .term = term_.term()->revision,
                      .number = source.pushes,
                      .revision = source.mirror.copy().revision(),
                      .since_outage = since_outage()};
    // Receivers have all that came before the first of these changes.
    const store_revision held =
        std::min_element(
            changes.begin(), changes.end(),
            [](const store_change& left, const store_change& right) {
                return left.value.modified < right.value.modified;
            })
            ->value.modified -
        1;
    for (const store_change& change : without_replaced(changes)) {
        message.changes.push_back(source.values.encode(change, held));
    }
    const std::string body = wire::encode(message);
    if (body.size() > max_push_bytes) {
        static_cast<void>(announce());
        return;
    }
    const recipients to = find_recipients();
    push_to(to.in_zone, body);
    message.is_between_zones = true;
    push_to(to.in_other_zones, wire::encode(message));
}

void store_feed::push_to(const std::vector<instance_id>& receivers,
                         const std::string& body) {
    for (const instance_id& receiver : receivers) {
        const auto entry = directory_.find(receiver);
        if (entry != directory_.end() &&
            peers_.queued_bytes(entry->second.address) <= max_queued_bytes) {
            send_to(entry->second.address, receiver, peer_topic::feed_push,
                    body);
        }
    }
}

std::optional<feed_heartbeat>
store_feed::make_heartbeat(std::chrono::milliseconds request_sent_at) const {
    const auto age = data_age();
    if (!is_feeder() || !age || (!is_following() && *age >= max_contact_age)) {
        return std::nullopt;
    }
    feed_heartbeat heartbeat{.term = term_.term()->revision,
                             .age = *age,
                             .confirmed_age = confirmed_age(),
                             .sent_at = boot_clock::reading(),
                             .request_sent_at = request_sent_at};
    for (const auto& source : subscriptions_) {
        heartbeat.numbers.push_back(source->pushes);
    }
    return heartbeat;
}

const std::string& store_feed::make_reply(subscription& source,
                                          const feed_request& request) {
    const key_copy& copy = source.mirror.copy();
    auto changes = request.revision == 0
                       ? std::nullopt
                       : source.history.changes_since(request.revision, copy);
    feed_push reply{.prefix = source.mirror.prefix(),
                    .term = term_.term()->revision,
                    .number = source.pushes,
                    .is_snapshot = !changes,
                    .revision = copy.revision(),
                    .is_between_zones = request.is_between_zones,
                    .since_outage = since_outage(),
                    .since = changes ? request.revision : 0};
    const auto& last = source.reply;
    const steady_time now = std::chrono::steady_clock::now();
    if (last && now < source.reply_made_at + reply_lifetime &&
        last->term == reply.term && last->number == reply.number &&
        last->revision == reply.revision && last->since == reply.since &&
        last->is_between_zones == reply.is_between_zones) {
        return source.encoded_reply;
    }
    source.reply = reply;
    source.reply_made_at = now;
    if (changes) {
        for (const store_change& change : *changes) {
            reply.changes.push_back(
                source.values.encode(change, request.revision));
        }
    } else {
        for (const auto& [key, value] : copy.values()) {
            reply.changes.push_back(source.values.encode({.value = value}, 0));
        }
    }
    source.encoded_reply = wire::encode(reply);
    return source.encoded_reply;
}

void store_feed::send_reply(subscription& source, const feed_request& request,
                            const instance_id& to) {
    const auto address = parse_endpoint(request.address);
    auto heartbeat = make_heartbeat(request.sent_at);
    if (!address || !heartbeat) {
        return;
    }
    const std::string& reply = make_reply(source, request);
    const std::size_t queued = peers_.queued_bytes(*address);
    if (queued > 0 && queued + reply.size() > max_queued_bytes) {
        return;
    }
    send_to(*address, to, peer_topic::feed_push, reply);
    // The regular heartbeats reach the receiver only once it is known here.
    heartbeat->is_between_zones = request.is_between_zones;
    send_to(*address, to, peer_topic::feed_heartbeat, wire::encode(*heartbeat));
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
                send_reply(*source, *request, message.from);
            }
        }
    }
}

bool store_feed::is_applicable(const feed_push& push) const {
    const key_copy& copy = copy_of(push.prefix);
    return push.since == 0 ||
           (copy.has_snapshot() && copy.revision() >= push.since);
}

store_feed::subscription*
store_feed::find_subscription(const std::string& prefix) {
    const auto found = std::find_if(
        subscriptions_.begin(), subscriptions_.end(),
        [&](const auto& source) { return source->mirror.prefix() == prefix; });
    return found == subscriptions_.end() ? nullptr : found->get();
}

void store_feed::handle_push(const peer_message& message) {
    auto push = wire::decode<feed_push>(message.body);
    subscription* const source =
        push ? find_subscription(push->prefix) : nullptr;
    if (source == nullptr || !is_from_source(push->is_between_zones) ||
        !is_applicable(*push)) {
        return;
    }
    const bool is_between_zones = push->is_between_zones;
    feed_follower& follower =
        is_between_zones ? root_follower_ : zone_follower_;
    auto changes = decode_changes(std::move(push->changes), source->values);
    if (!changes) {
        log_.write(log_event::feed_push_undecodable,
                   "prefix=" + push->prefix +
                       " number=" + std::to_string(push->number) +
                       " since=" + std::to_string(push->since));
        if (push->is_reply() && !source->needs_snapshot) {
            source->needs_snapshot = true;
            request_changes(message.from, push->prefix, is_between_zones);
        }
        return;
    }
    const steady_time now = std::chrono::steady_clock::now();
    switch (follower.on_push(message.from, *push, now)) {
    case push_action::ignore:
        return;
    case push_action::request_changes:
        request_changes(message.from, push->prefix, is_between_zones);
        return;
    case push_action::apply:
        break;
    }
    apply_push(*source, *push, std::move(*changes));
    request_changes(follower, follower.take_requests(now), is_between_zones);
    update_mode();
}

void store_feed::apply_push(subscription& source, const feed_push& push,
                            std::vector<store_change> changes) {
    if (push.since_outage < no_outage) {
        reported_outage_end_ =
            std::max(reported_outage_end_,
                     std::chrono::steady_clock::now() - push.since_outage);
    }
    if (!push.is_snapshot) {
        source.mirror.apply_changes(std::move(changes), push.revision);
        return;
    }
    source.needs_snapshot = false;
    std::vector<stored_value> values;
    values.reserve(changes.size());
    for (store_change& change : changes) {
        values.push_back(std::move(change.value));
    }
    source.mirror.apply_snapshot(std::move(values), push.revision);
}

void store_feed::handle_heartbeat(const peer_message& message) {
    auto heartbeat = wire::decode<feed_heartbeat>(message.body);
    if (!heartbeat || !is_from_source(heartbeat->is_between_zones)) {
        return;
    }
    const bool is_from_root = heartbeat->is_between_zones;
    feeder_clock& clock = is_from_root ? root_clock_ : zone_clock_;
    const auto timing = clock.on_heartbeat(*heartbeat, boot_clock::reading());
    heartbeat->age += timing.transit.value_or(std::chrono::milliseconds(0));
    if (timing.is_request_due) {
        request_changes(message.from, subscriptions_.front()->mirror.prefix(),
                        is_from_root);
    }
    feed_follower& follower = is_from_root ? root_follower_ : zone_follower_;
    const auto stale_prefixes = follower.on_heartbeat(
        message.from, *heartbeat, std::chrono::steady_clock::now(),
        timing.confirmed_at);
    request_changes(follower, stale_prefixes, is_from_root);
    update_mode();
}

asio::awaitable<void> store_feed::retire() {
    return term_.retire();
}

} // namespace savorydock
