#include "drivers/duties/usage_reporter.hpp"

#include "core/wire_codec.hpp"
#include "platform/duty_codec.hpp"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace savorydock {

namespace asio = boost::asio;

namespace {

constexpr std::chrono::milliseconds check_interval{100};
/// Pause after a call of the store that failed.
constexpr std::chrono::milliseconds store_retry_pause{300};
/// Pauses between attempts of a report that wasn't answered.
constexpr std::chrono::milliseconds first_call_pause{200};
constexpr std::chrono::milliseconds longest_call_pause{2'000};
/// Bounds of the time between two messages with counts, and the part of it for
/// each instance: a holder gets 40 messages a second at most.
constexpr std::chrono::milliseconds min_message_interval{500};
constexpr std::chrono::milliseconds max_message_interval{2'000};
constexpr std::chrono::milliseconds message_interval_per_instance{25};
/// A request that an upstream refuses isn't counted; final counts wait for such
/// refusals. Must exceed the time after which a request counts as begun.
constexpr std::chrono::milliseconds refusal_time{350};

usage_counts make_counts(process_counts counts) {
    usage_counts message;
    message.processes.push_back(std::move(counts));
    return message;
}

} // namespace

usage_reporter::usage_reporter(asio::io_context& context, store_client& store,
                               peer_transport& peers,
                               const node_directory& directory,
                               scope_term& term, duty_caller& caller,
                               usage_reporter_options options, logger& log)
    : context_(context)
    , store_(store)
    , peers_(peers)
    , directory_(directory)
    , term_(term)
    , caller_(caller)
    , options_(std::move(options))
    , log_(log)
    , random_(options_.seed)
    , clock_([] {
        true_clock clock;
        clock.update(boot_clock::now(), std::chrono::system_clock::now());
        return clock;
    }())
    , meter_({.self = options_.self,
              .process = options_.seed,
              .window_length = options_.settings.usage_window,
              .final_delay =
                  refusal_time +
                  std::chrono::milliseconds(random_.below(
                      static_cast<std::uint64_t>(options_.max_jitter.count()) +
                      1))},
             now())
    , ledger_({.window_length = options_.settings.usage_window,
               .max_wait = options_.settings.usage_due * 6 / 10,
               .make_text = platform::make_usage_body})
    , first_window_(meter_.window_of(now())) {}

void usage_reporter::start() {
    asio::co_spawn(context_, exchange_counts(), asio::detached);
    asio::co_spawn(context_, keep_records(), asio::detached);
    asio::co_spawn(context_, send_reports(), asio::detached);
}

true_time usage_reporter::now() const {
    return clock_.at(boot_clock::now());
}

void usage_reporter::read_clocks() {
    const bool was_off = clock_.is_system_clock_off();
    clock_.update(boot_clock::now(), std::chrono::system_clock::now());
    if (clock_.is_system_clock_off() && !was_off) {
        log_.write(log_event::system_clock_jumped, "");
    }
}

void usage_reporter::on_run_began(const organisation_id& organisation,
                                  steady_time at) {
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - at);
    meter_.on_run_began(organisation, now() - age);
}

std::set<instance_id> usage_reporter::instances() const {
    std::set<instance_id> all;
    for (const auto& [instance, entry] : directory_) {
        all.insert(instance);
    }
    return all;
}

instance_id usage_reporter::copy_keeper() const {
    // The first instance behind the holder, in a circle.
    const auto is_suitable = [&](const auto& entry) {
        return entry.first != holder_.instance && !entry.second.is_leaving;
    };
    auto found = std::find_if(directory_.upper_bound(holder_.instance),
                              directory_.end(), is_suitable);
    if (found == directory_.end()) {
        found = std::find_if(directory_.begin(), directory_.end(), is_suitable);
    }
    return found == directory_.end() ? instance_id() : found->first;
}

std::chrono::milliseconds usage_reporter::message_interval() const {
    return std::clamp(message_interval_per_instance *
                          static_cast<std::int64_t>(directory_.size()),
                      min_message_interval, max_message_interval);
}

void usage_reporter::send(const instance_id& to, peer_topic topic,
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

void usage_reporter::send_counts(const instance_id& to,
                                 const usage_counts& counts) {
    if (!to.is_empty() && to != options_.self) {
        send(to, peer_topic::usage_counts, wire::encode(counts));
    }
}

void usage_reporter::update_holder() {
    const duty_holder holder = options_.find_holder();
    if (holder == holder_) {
        return;
    }
    holder_ = holder;
    meter_.on_holder_changed();
    const usage_counts copies = ledger_.tally().copy_without(options_.self);
    if (!copies.processes.empty()) {
        send_counts(holder_.instance, copies);
    }
}

asio::awaitable<void> usage_reporter::exchange_counts() {
    while (true) {
        read_clocks();
        update_term();
        update_holder();
        if (!holder_.instance.is_empty()) {
            auto counts = meter_.next_message(
                now(), std::chrono::steady_clock::now(), message_interval());
            if (counts) {
                const usage_counts message = make_counts(std::move(*counts));
                if (holder_.instance == options_.self) {
                    merge(message);
                    meter_.on_receipt(make_receipt(message.processes.front()));
                } else {
                    send_counts(holder_.instance, message);
                }
                send_counts(copy_keeper(), message);
            }
        }
        co_await pause(check_interval);
    }
}

void usage_reporter::flush() {
    const usage_counts message = make_counts(meter_.all());
    merge(message);
    send_counts(holder_.instance, message);
    send_counts(copy_keeper(), message);
}

void usage_reporter::merge(const usage_counts& counts) {
    for (const process_counts& process : counts.processes) {
        const std::size_t late = ledger_.on_counts(process, now());
        // Copies are incomplete anyway, and repeats of recorded windows aren't
        // late.
        if (term_.is_held_now() && late > 0 && !ledger_.must_read()) {
            statistics_.late_counts += late;
        }
    }
}

usage_receipt usage_reporter::make_receipt(const process_counts& counts) const {
    usage_receipt receipt{.process = counts.process,
                          .term = ledger_term_,
                          .recorded_before = ledger_.recorded_before()};
    for (const window_counts& window : counts.windows) {
        if (window.is_final) {
            receipt.windows.push_back(window.window);
        }
    }
    return receipt;
}

void usage_reporter::on_message(const peer_message& message) {
    if (message.topic == peer_topic::usage_counts) {
        on_counts(message);
    } else if (message.topic == peer_topic::usage_receipt) {
        on_receipt(message);
    }
}

void usage_reporter::on_counts(const peer_message& message) {
    const auto counts = wire::decode<usage_counts>(message.body);
    if (!counts) {
        log_.write(log_event::duty_message_undecodable,
                   "from=" + message.from.text() + " reason=\"" +
                       counts.reason().detail + '"');
        return;
    }
    merge(*counts);
    update_term();
    if (ledger_term_ == 0) {
        return;
    }
    for (const process_counts& process : counts->processes) {
        if (process.instance == message.from) {
            send(message.from, peer_topic::usage_receipt,
                 wire::encode(make_receipt(process)));
        }
    }
}

void usage_reporter::on_receipt(const peer_message& message) {
    const auto receipt = wire::decode<usage_receipt>(message.body);
    if (!receipt) {
        log_.write(log_event::duty_message_undecodable,
                   "from=" + message.from.text() + " reason=\"" +
                       receipt.reason().detail + '"');
        return;
    }
    update_holder();
    if (message.from != holder_.instance) {
        return;
    }
    meter_.on_receipt(*receipt);
    ledger_.on_recorded_elsewhere(receipt->recorded_before);
}

void usage_reporter::update_term() {
    // A term whose lease lapsed may resume, and nobody else held it then.
    if (!term_.term() || term_.term()->revision == ledger_term_) {
        if (!term_.term() && ledger_term_ != 0 &&
            options_.find_holder().instance != options_.self) {
            ledger_term_ = 0;
            ledger_.end_term();
        }
        return;
    }
    ledger_term_ = term_.term()->revision;
    ledger_.begin_term();
}

asio::awaitable<void> usage_reporter::keep_records() {
    while (true) {
        update_term();
        const bool may_write =
            term_.is_held_now() && term_.term()->revision == ledger_term_;
        bool has_failed = false;
        if (may_write && ledger_.must_read()) {
            has_failed = !co_await read_records(*term_.term());
        } else if (may_write) {
            auto write = ledger_.next_write(now(), instances());
            if (write) {
                has_failed =
                    !co_await write_records(*term_.term(), std::move(*write));
            }
        }
        co_await pause(has_failed ? store_retry_pause : check_interval);
    }
}

asio::awaitable<bool> usage_reporter::read_records(held_term term) {
    std::vector<usage_record> records;
    std::string after;
    bool has_more = true;
    while (has_more) {
        auto page =
            co_await store_.read_range(std::string(usage_prefix), after);
        if (!page) {
            log_.write(log_event::store_call_failed,
                       "call=usage_records reason=\"" + page.reason().detail +
                           '"');
            co_return false;
        }
        for (stored_value& value : page->values) {
            after = value.key;
            if (const auto window = window_of_key(value.key)) {
                records.push_back(
                    {.window = *window, .text = std::move(value.value)});
            }
        }
        has_more = page->has_more && !page->values.empty();
    }
    if (term.revision == ledger_term_) {
        log_.write(log_event::usage_taken_over,
                   "term=" + std::to_string(term.revision) +
                       " records=" + std::to_string(records.size()));
        ledger_.on_records(std::move(records), first_window_);
    }
    co_return true;
}

asio::awaitable<bool> usage_reporter::write_records(held_term term,
                                                    usage_write write) {
    store_transaction transaction;
    transaction.conditions.push_back(
        {.key = term.key, .revision = term.revision});
    for (const usage_record& record : write.records) {
        transaction.writes.push_back(
            {.key = usage_key(record.window), .value = record.text});
    }
    for (const usage_window window : write.removed) {
        transaction.deletions.push_back(usage_key(window));
    }
    const auto result = co_await store_.commit(std::move(transaction));
    if (term.revision != ledger_term_) {
        co_return true;
    }
    if (!result) {
        log_.write(log_event::store_call_failed, "call=usage_record reason=\"" +
                                                     result.reason().detail +
                                                     '"');
        co_return false;
    }
    if (!std::holds_alternative<transaction_done>(*result)) {
        // The store removed the term's key, and no watch has reported it yet.
        if (term_.term() && term_.term()->revision == term.revision) {
            term_.on_condition_failed();
        }
        co_return false;
    }
    for (const usage_record& record : write.records) {
        log_.write(log_event::usage_recorded,
                   "window=" + std::to_string(record.window) +
                       " term=" + std::to_string(term.revision) + " report='" +
                       record.text + '\'');
    }
    statistics_.windows_recorded += write.records.size();
    ledger_.on_written();
    co_return true;
}

asio::awaitable<void> usage_reporter::send_reports() {
    std::chrono::milliseconds call_pause = first_call_pause;
    while (true) {
        const auto term = caller_.usable_term();
        const usage_record* const next = term && term->revision == ledger_term_
                                             ? ledger_.next_report()
                                             : nullptr;
        if (next == nullptr) {
            co_await pause(check_interval);
            continue;
        }
        const usage_window window = next->window;
        http_request request = platform::make_usage_call(
            next->text, options_.self, term->revision);
        const auto response = co_await caller_.call(*term, std::move(request));
        const auto answer =
            response ? platform::decode_usage_answer(
                           *response, options_.settings.is_fence_checked)
                     : platform::duty_answer::try_again;
        const bool is_done = answer == platform::duty_answer::accepted ||
                             answer == platform::duty_answer::refused;
        if (is_done) {
            const bool is_accepted = answer == platform::duty_answer::accepted;
            (is_accepted ? statistics_.reports_accepted
                         : statistics_.reports_refused) += 1;
            log_.write(is_accepted ? log_event::usage_reported
                                   : log_event::duty_call_refused,
                       "duty=usage window=" + std::to_string(window) +
                           " term=" + std::to_string(term->revision) +
                           " status=" + std::to_string(response->status));
            if (term->revision == ledger_term_) {
                ledger_.on_answered(window);
            }
            call_pause = first_call_pause;
            continue;
        }
        if (answer == platform::duty_answer::fenced_off) {
            co_await caller_.on_fenced_off(*term);
        }
        co_await pause(call_pause);
        call_pause = std::min(call_pause * 2, longest_call_pause);
    }
}

usage_statistics usage_reporter::statistics() const {
    usage_statistics statistics = statistics_;
    statistics.reports_waiting = ledger_.waiting_reports();
    statistics.is_clock_off = clock_.is_system_clock_off();
    return statistics;
}

asio::awaitable<void> usage_reporter::pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(context_, time);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace savorydock
