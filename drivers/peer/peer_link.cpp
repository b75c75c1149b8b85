#include "drivers/peer/peer_link.hpp"

#include "core/secret.hpp"
#include "core/wire_codec.hpp"
#include "drivers/peer/peer_backoff.hpp"
#include "drivers/peer/peer_connection.hpp"
#include "drivers/peer/peer_envelope.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

namespace savorydock {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

constexpr unsigned status_accepted = 204;
constexpr unsigned status_bad_envelope = 400;
constexpr unsigned status_wrong_key = 403;
constexpr unsigned status_wrong_receiver = 421;
constexpr std::chrono::milliseconds sweep_period{500};
constexpr std::chrono::milliseconds accept_retry_delay{100};
constexpr std::chrono::seconds refusal_log_period{1};
/// Limit on the peers whose zones are stored for the fault switch.
constexpr std::size_t max_known_zones = 4'096;

bool is_known(peer_topic topic) {
    const auto number = static_cast<std::size_t>(topic);
    return number > 0 && number < peer_counters::topic_count;
}

/// Returns the response status. If it refuses the message, sets `reason`.
unsigned check(const peer_envelope& envelope, const peer_link_options& options,
               failure& reason) {
    reason.code = result_code::bad_frame;
    if (!is_same_secret(envelope.secret, options.peer_key)) {
        reason.detail = "wrong peer key";
        return status_wrong_key;
    }
    if (envelope.to != options.instance) {
        reason.detail = "addressed to instance " + envelope.to.text();
        return status_wrong_receiver;
    }
    if (envelope.from.is_empty() || !is_known(envelope.topic)) {
        reason.detail = "missing sender or unknown topic";
        return status_bad_envelope;
    }
    return status_accepted;
}

outcome<tcp::endpoint> resolve(const endpoint& target) {
    error_code error;
    const auto address = asio::ip::make_address(target.address, error);
    if (error) {
        return failure{result_code::peer_unreachable,
                       target.address + ": " + error.message()};
    }
    return tcp::endpoint(address, target.port);
}

} // namespace

class peer_link::impl : public std::enable_shared_from_this<impl> {
public:
    impl(asio::io_context& context, peer_link_options options, logger& log)
        : context_(context)
        , options_(std::move(options))
        , log_(log)
        , backoff_({.min_delay = options_.min_backoff,
                    .max_delay = options_.max_backoff,
                    .seed = options_.seed})
        , acceptor_(context)
        , sweep_timer_(context)
        , accept_timer_(context) {}
    ~impl() { close_connections(); }
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;

    outcome<endpoint> start();
    void stop();
    void send(const peer_message& message, const endpoint& to);
    [[nodiscard]] std::size_t queued_bytes(const endpoint& to) const {
        const auto found = outgoing_.find(to_text(to));
        return found == outgoing_.end() ? 0 : found->second->queued_bytes();
    }

    void set_handler(message_handler handler) { handler_ = std::move(handler); }
    [[nodiscard]] peer_counters counters() const {
        const std::lock_guard lock(counters_mutex_);
        return counters_;
    }
    [[nodiscard]] peer_fault_switch& faults() { return faults_; }

private:
    using connection_ptr = std::shared_ptr<peer_connection>;

    template <class Change>
    void count(Change change) {
        const std::lock_guard lock(counters_mutex_);
        change(counters_);
    }

    void close_connections();
    void accept();
    void accept_later();
    void add_incoming(tcp::socket socket);
    /// Makes room for further bytes of one connection's messages, if possible.
    [[nodiscard]] bool may_keep(const connection_ptr& receiving,
                                std::size_t bytes);
    /// Closes the connection with the largest `value` among those that have
    /// delivered no message. Returns false if it is `receiving` or there is
    /// none.
    template <class Value>
    bool close_stranger(const connection_ptr& receiving, Value value);
    void sweep_later();
    void sweep();
    void submit_message(std::string bytes, peer_topic topic,
                        const endpoint& to);
    connection_ptr connection_to(const endpoint& to);
    connection_ptr open(const endpoint& to);
    [[nodiscard]] bool make_room();
    void handle_connection_failure(const std::string& key,
                                   const failure& reason);
    unsigned receive(const std::string& bytes);
    void record_refusal(const failure& reason);
    void remember_zone(const peer_envelope& envelope);
    [[nodiscard]] availability_zone zone_of(const instance_id& instance) const;
    [[nodiscard]] http2_limits limits() const;
    void publish_gauges();

    asio::io_context& context_;
    const peer_link_options options_;
    logger& log_;
    message_handler handler_;
    peer_fault_switch faults_;
    peer_backoff backoff_;
    tcp::acceptor acceptor_;
    asio::steady_timer sweep_timer_;
    asio::steady_timer accept_timer_;
    bool is_stopped_ = false;
    std::unordered_map<std::string, connection_ptr> outgoing_;
    std::set<connection_ptr> incoming_;
    /// The incoming connections that have delivered a message with the key.
    std::set<const peer_connection*> trusted_;
    steady_time last_refusal_log_{};
    std::uint64_t refusals_since_log_ = 0;
    mutable std::mutex zones_mutex_;
    std::unordered_map<instance_id, availability_zone> zones_;
    mutable std::mutex counters_mutex_;
    peer_counters counters_;
};

outcome<endpoint> peer_link::impl::start() {
    const auto address = resolve(options_.listen);
    if (!address) {
        return address.reason();
    }
    error_code error;
    acceptor_.open(address->protocol(), error);
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
        acceptor_.bind(*address, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return failure{result_code::peer_unreachable,
                       to_text(options_.listen) + ": " + error.message()};
    }
    const auto bound = acceptor_.local_endpoint(error);
    asio::post(context_, [self = shared_from_this()] {
        self->accept();
        self->sweep_later();
    });
    return endpoint{bound.address().to_string(), bound.port()};
}

void peer_link::impl::stop() {
    asio::post(context_, [self = shared_from_this()] {
        self->is_stopped_ = true;
        error_code ignored;
        self->acceptor_.close(ignored);
        self->sweep_timer_.cancel();
        self->accept_timer_.cancel();
        self->close_connections();
        self->publish_gauges();
    });
}

void peer_link::impl::close_connections() {
    for (const auto& [key, connection] : outgoing_) {
        connection->close();
    }
    for (const auto& connection : incoming_) {
        connection->close();
    }
    outgoing_.clear();
    incoming_.clear();
    trusted_.clear();
}

void peer_link::impl::accept() {
    acceptor_.async_accept([self = shared_from_this()](const error_code& error,
                                                       tcp::socket socket) {
        if (self->is_stopped_) {
            return;
        }
        if (error) {
            // Usually out of file descriptors. Pauses so that the loop
            // doesn't spin.
            self->accept_later();
            return;
        }
        self->add_incoming(std::move(socket));
        self->accept();
    });
}

void peer_link::impl::accept_later() {
    accept_timer_.expires_after(accept_retry_delay);
    accept_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
            if (!error && !self->is_stopped_) {
                self->accept();
            }
        });
}

template <class Value>
bool peer_link::impl::close_stranger(const connection_ptr& receiving,
                                     Value value) {
    connection_ptr found;
    for (const connection_ptr& candidate : incoming_) {
        if (!trusted_.contains(candidate.get()) &&
            (!found || value(*candidate) > value(*found))) {
            found = candidate;
        }
    }
    if (!found || found == receiving) {
        return false;
    }
    record_refusal({result_code::bad_frame, "closed to make room for peers"});
    found->close();
    incoming_.erase(found);
    return true;
}

bool peer_link::impl::may_keep(const connection_ptr& receiving,
                               std::size_t bytes) {
    while (true) {
        std::size_t kept = bytes;
        for (const connection_ptr& connection : incoming_) {
            kept += connection->queued_bytes();
        }
        if (kept <= options_.max_incoming_bytes) {
            return true;
        }
        if (!close_stranger(receiving, [](const peer_connection& connection) {
                return connection.queued_bytes();
            })) {
            return false;
        }
    }
}

void peer_link::impl::add_incoming(tcp::socket socket) {
    if (incoming_.size() >= options_.max_accepted &&
        !close_stranger(nullptr, [](const peer_connection& connection) {
            return std::chrono::steady_clock::now() - connection.last_used();
        })) {
        record_refusal({result_code::bad_frame, "too many connections"});
        return;
    }
    // The handlers hold the connection by a weak pointer to avoid a cycle.
    auto weak_connection = std::make_shared<std::weak_ptr<peer_connection>>();
    const auto connection = std::make_shared<peer_connection>(
        std::move(socket),
        peer_connection_options{
            .role = http2_role::server,
            .limits = limits(),
            .handlers = {
                .on_request =
                    [this, weak_connection](const std::string& body) {
                        const unsigned status = receive(body);
                        if (status == status_accepted) {
                            trusted_.insert(weak_connection->lock().get());
                        }
                        return status;
                    },
                .on_refused =
                    [this](const failure& reason) { record_refusal(reason); },
                .may_keep =
                    [this, weak_connection](std::size_t bytes) {
                        return may_keep(weak_connection->lock(), bytes);
                    },
                .on_response = {}},
            .on_closed =
                [this, weak_connection](const failure& reason) {
                    if (reason.code == result_code::bad_frame) {
                        record_refusal(reason);
                    }
                    trusted_.erase(weak_connection->lock().get());
                    incoming_.erase(weak_connection->lock());
                    publish_gauges();
                },
        });
    *weak_connection = connection;
    incoming_.insert(connection);
    connection->start();
    publish_gauges();
}

void peer_link::impl::sweep_later() {
    sweep_timer_.expires_after(sweep_period);
    sweep_timer_.async_wait(
        [self = shared_from_this()](const error_code& error) {
            if (!error && !self->is_stopped_) {
                self->sweep();
                self->sweep_later();
            }
        });
}

void peer_link::impl::sweep() {
    const auto now = std::chrono::steady_clock::now();
    std::vector<std::pair<std::string, std::string>> timed_out;
    for (auto entry = outgoing_.begin(); entry != outgoing_.end();) {
        const peer_connection& connection = *entry->second;
        const auto since_received = now - connection.last_received();
        const bool is_waiting = connection.open_streams() > 0;
        if (!connection.is_connected() &&
            since_received > options_.connect_timeout) {
            timed_out.emplace_back(entry->first, "connect timed out");
        } else if (is_waiting && since_received > options_.answer_timeout &&
                   now - connection.last_used() < options_.idle_timeout) {
            timed_out.emplace_back(entry->first, "response timed out");
        }
        if (!is_waiting &&
            now - connection.last_used() > options_.idle_timeout) {
            entry->second->close();
            entry = outgoing_.erase(entry);
        } else {
            ++entry;
        }
    }
    for (const auto& [key, why] : timed_out) {
        handle_connection_failure(key, {result_code::peer_unreachable, why});
    }
    // Peers close idle connections first; this closes those of failed peers.
    std::erase_if(incoming_, [&](const connection_ptr& connection) {
        if (now - connection->last_used() <= 2 * options_.idle_timeout) {
            return false;
        }
        connection->close();
        trusted_.erase(connection.get());
        return true;
    });
    backoff_.remove_expired(now);
    publish_gauges();
}

void peer_link::impl::send(const peer_message& message, const endpoint& to) {
    if (faults_.is_cut(message.to, zone_of(message.to))) {
        count([](peer_counters& all) { ++all.cut; });
        return;
    }
    auto bytes = wire::encode(peer_envelope{
        .from = options_.instance,
        .to = message.to,
        .zone = options_.zone,
        .topic = message.topic,
        .body = message.body,
        .secret = options_.peer_key,
    });
    asio::post(context_, [self = shared_from_this(), bytes = std::move(bytes),
                          topic = message.topic, to]() mutable {
        self->submit_message(std::move(bytes), topic, to);
    });
}

void peer_link::impl::submit_message(std::string bytes, peer_topic topic,
                                     const endpoint& to) {
    const std::size_t size = bytes.size();
    const connection_ptr connection =
        is_stopped_ || !is_known(topic) ? nullptr : connection_to(to);
    if (!connection || !connection->submit(std::move(bytes))) {
        count([](peer_counters& all) { ++all.dropped; });
        return;
    }
    count([&](peer_counters& all) {
        auto& entry = all.topics.at(static_cast<std::size_t>(topic));
        ++entry.messages_out;
        entry.bytes_out += size;
    });
}

peer_link::impl::connection_ptr
peer_link::impl::connection_to(const endpoint& to) {
    const std::string key = to_text(to);
    const auto found = outgoing_.find(key);
    if (found != outgoing_.end()) {
        return found->second;
    }
    const bool must_wait =
        backoff_.must_wait(key, std::chrono::steady_clock::now());
    if (must_wait || !make_room()) {
        return nullptr;
    }
    return open(to);
}

bool peer_link::impl::make_room() {
    if (outgoing_.size() < options_.max_connections) {
        return true;
    }
    auto oldest = outgoing_.end();
    for (auto entry = outgoing_.begin(); entry != outgoing_.end(); ++entry) {
        const bool is_idle = entry->second->open_streams() == 0;
        if (is_idle &&
            (oldest == outgoing_.end() ||
             entry->second->last_used() < oldest->second->last_used())) {
            oldest = entry;
        }
    }
    if (oldest == outgoing_.end()) {
        return false;
    }
    oldest->second->close();
    outgoing_.erase(oldest);
    return true;
}

peer_link::impl::connection_ptr peer_link::impl::open(const endpoint& to) {
    const auto address = resolve(to);
    if (!address) {
        return nullptr;
    }
    const std::string key = to_text(to);
    const auto connection = std::make_shared<peer_connection>(
        tcp::socket(context_),
        peer_connection_options{
            .role = http2_role::client,
            .limits = limits(),
            .handlers = {.on_request = {},
                         .on_refused = {},
                         .on_response =
                             [this, key](unsigned status) {
                                 if (status == status_accepted) {
                                     backoff_.record_success(key);
                                     return;
                                 }
                                 count([](peer_counters& all) { ++all.lost; });
                             }},
            .on_closed =
                [this, key](const failure& reason) {
                    handle_connection_failure(key, reason);
                },
        });
    outgoing_.emplace(key, connection);
    count([](peer_counters& all) { ++all.connects; });
    publish_gauges();
    connection->connect(*address);
    return connection;
}

void peer_link::impl::handle_connection_failure(const std::string& key,
                                                const failure& reason) {
    static_cast<void>(reason);
    const auto found = outgoing_.find(key);
    if (found == outgoing_.end()) {
        return;
    }
    const std::uint64_t lost = found->second->open_streams();
    const bool was_connected = found->second->is_connected();
    found->second->close();
    outgoing_.erase(found);
    count([&](peer_counters& all) {
        all.lost += lost;
        all.connect_failures += was_connected ? 0 : 1;
    });
    publish_gauges();
    backoff_.record_failure(key, std::chrono::steady_clock::now());
}

unsigned peer_link::impl::receive(const std::string& bytes) {
    failure reason;
    const auto envelope = wire::decode<peer_envelope>(bytes);
    const unsigned status =
        envelope ? check(*envelope, options_, reason) : status_bad_envelope;
    if (status != status_accepted) {
        record_refusal(envelope ? reason : envelope.reason());
        return status;
    }
    remember_zone(*envelope);
    if (faults_.is_cut(envelope->from, envelope->zone)) {
        count([](peer_counters& all) { ++all.cut; });
        return status_accepted;
    }
    count([&](peer_counters& all) {
        auto& entry = all.topics.at(static_cast<std::size_t>(envelope->topic));
        ++entry.messages_in;
        entry.bytes_in += bytes.size();
    });
    if (handler_) {
        handler_({.from = envelope->from,
                  .to = envelope->to,
                  .topic = envelope->topic,
                  .body = envelope->body});
    }
    return status_accepted;
}

void peer_link::impl::record_refusal(const failure& reason) {
    count([](peer_counters& all) { ++all.refused; });
    ++refusals_since_log_;
    const auto now = std::chrono::steady_clock::now();
    if (now - last_refusal_log_ < refusal_log_period) {
        return;
    }
    last_refusal_log_ = now;
    log_.write(log_event::peer_frame_refused,
               "count=" + std::to_string(refusals_since_log_) + " reason=\"" +
                   reason.detail + '"');
    refusals_since_log_ = 0;
}

void peer_link::impl::remember_zone(const peer_envelope& envelope) {
    const std::lock_guard lock(zones_mutex_);
    if (zones_.size() < max_known_zones || zones_.contains(envelope.from)) {
        zones_[envelope.from] = envelope.zone;
    }
}

availability_zone peer_link::impl::zone_of(const instance_id& instance) const {
    const std::lock_guard lock(zones_mutex_);
    const auto found = zones_.find(instance);
    return found == zones_.end() ? availability_zone() : found->second;
}

http2_limits peer_link::impl::limits() const {
    return {.max_body_bytes = options_.max_message_bytes,
            .max_buffered_bytes = 4 * options_.max_message_bytes,
            .max_streams = options_.max_queued};
}

void peer_link::impl::publish_gauges() {
    const auto now = std::chrono::steady_clock::now();
    std::size_t total = 0;
    std::size_t largest = 0;
    std::chrono::milliseconds longest_wait{0};
    for (const auto& [key, connection] : outgoing_) {
        const std::size_t queued = connection->queued_bytes();
        total += queued;
        largest = std::max(largest, queued);
        if (connection->open_streams() > 0) {
            longest_wait =
                std::max(longest_wait,
                         std::chrono::duration_cast<std::chrono::milliseconds>(
                             now - connection->last_received()));
        }
    }
    count([&](peer_counters& all) {
        all.open_out = outgoing_.size();
        all.open_in = incoming_.size();
        all.queued_bytes = total;
        all.largest_queue_bytes = largest;
        all.longest_wait = longest_wait;
    });
}

peer_link::peer_link(asio::io_context& context, peer_link_options options,
                     logger& log)
    : impl_(std::make_shared<impl>(context, std::move(options), log)) {}

peer_link::~peer_link() {
    stop();
}

void peer_link::on_message(message_handler handler) {
    impl_->set_handler(std::move(handler));
}

outcome<endpoint> peer_link::start() {
    return impl_->start();
}

void peer_link::stop() {
    impl_->stop();
}

void peer_link::send(const peer_message& message, const endpoint& to) {
    impl_->send(message, to);
}

std::size_t peer_link::queued_bytes(const endpoint& to) const {
    return impl_->queued_bytes(to);
}

peer_counters peer_link::counters() const {
    return impl_->counters();
}

peer_fault_switch& peer_link::faults() {
    return impl_->faults();
}

} // namespace savorydock
