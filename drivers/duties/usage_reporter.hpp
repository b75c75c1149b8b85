#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "core/node_settings.hpp"
#include "core/random_source.hpp"
#include "drivers/duties/duty_caller.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "drivers/store/scope_term.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/duties/true_clock.hpp"
#include "servers/duties/usage_ledger.hpp"
#include "servers/duties/usage_meter.hpp"
#include "servers/feed/node_directory.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <set>
#include <string>

namespace savorydock {

/// The holder of the duties; empty if there is none.
struct duty_holder {
    instance_id instance;
    store_revision term = 0;

    bool operator==(const duty_holder&) const = default;
};

struct usage_reporter_options {
    duty_settings settings;
    instance_id self;
    /// The holder of the duties as the local copy of the store shows it.
    std::function<duty_holder()> find_holder;
    /// Random delay of final counts, so that instances don't all send at once.
    std::chrono::milliseconds max_jitter{400};
    std::uint64_t seed = 1;
};

/// Totals for the metrics.
struct usage_statistics {
    std::uint64_t windows_recorded = 0;
    std::uint64_t reports_accepted = 0;
    std::uint64_t reports_refused = 0;
    /// Windows of instances whose counts came after the report was recorded.
    std::uint64_t late_counts = 0;
    std::size_t reports_waiting = 0;
    bool is_clock_off = false;
};

/// Counts this instance's requests, sends the counts to the holder of the
/// duties, and on the holder stores and sends the reports.
///
/// Besides the holder, one other instance gets the counts. After a change of
/// the holder it forwards them, so that those of a holder that crashed aren't
/// lost.
///
/// Not thread safe: all calls must come from one traffic thread.
class usage_reporter {
public:
    /// All references must outlive `context`.
    usage_reporter(boost::asio::io_context& context, store_client& store,
                   peer_transport& peers, const node_directory& directory,
                   scope_term& term, duty_caller& caller,
                   usage_reporter_options options, logger& log);

    /// Precondition: called once.
    void start();

    void on_run_began(const organisation_id& organisation, steady_time at);

    /// Handles messages with the topics of usage counts.
    void on_message(const peer_message& message);

    /// Sends the counts of the current window, because the process exits.
    void flush();

    [[nodiscard]] usage_statistics statistics() const;

private:
    boost::asio::awaitable<void> exchange_counts();
    boost::asio::awaitable<void> keep_records();
    boost::asio::awaitable<void> send_reports();
    boost::asio::awaitable<bool> read_records(held_term term);
    boost::asio::awaitable<bool> write_records(held_term term,
                                               usage_write write);
    /// Compares the ledger's term with the one that is held.
    void update_term();
    void update_holder();
    void read_clocks();
    [[nodiscard]] true_time now() const;
    /// The instance that keeps a copy of the counts; empty if there is none.
    [[nodiscard]] instance_id copy_keeper() const;
    [[nodiscard]] std::chrono::milliseconds message_interval() const;
    void send_counts(const instance_id& to, const usage_counts& counts);
    void send(const instance_id& to, peer_topic topic, std::string body);
    void merge(const usage_counts& counts);
    void on_counts(const peer_message& message);
    void on_receipt(const peer_message& message);
    [[nodiscard]] usage_receipt
    make_receipt(const process_counts& counts) const;
    [[nodiscard]] std::set<instance_id> instances() const;
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context& context_;
    store_client& store_;
    peer_transport& peers_;
    const node_directory& directory_;
    scope_term& term_;
    duty_caller& caller_;
    usage_reporter_options options_;
    logger& log_;
    seeded_random_source random_;
    true_clock clock_;
    usage_meter meter_;
    usage_ledger ledger_;
    /// The window in which this process started.
    usage_window first_window_;
    duty_holder holder_;
    /// The term for which the ledger was set up; 0 if none.
    store_revision ledger_term_ = 0;
    usage_statistics statistics_;
};

} // namespace savorydock
