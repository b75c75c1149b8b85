#include "servers/duties/usage_ledger.hpp"
#include "servers/duties/usage_meter.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

const organisation_id red("red");

std::string text_of(usage_window window, const run_counts& counts) {
    std::string text = "w" + std::to_string(window);
    for (const auto& [organisation, count] : counts) {
        text += ' ' + organisation.text() + '=' + std::to_string(count);
    }
    return text;
}

process_counts counts_of(const char* instance, std::uint64_t process,
                         usage_window window, std::uint64_t count,
                         bool is_final = true) {
    process_counts counts{.instance = instance_id(instance),
                          .process = process,
                          .first_window = 0};
    window_counts values{.window = window, .is_final = is_final};
    if (count > 0) {
        values.counts[red] = count;
    }
    counts.windows.push_back(values);
    return counts;
}

/// The time this long after the end of a window.
true_time after(usage_window window, std::chrono::milliseconds time) {
    return true_time(5s * static_cast<int>(window + 1) + time);
}

class usage_ledger_test : public ::testing::Test {
public:
    /// Begins a term with the records that the store has.
    void take_over(usage_ledger& ledger) {
        ledger.begin_term();
        std::vector<usage_record> records;
        for (const auto& [window, text] : store) {
            records.push_back({.window = window, .text = text});
        }
        ledger.on_records(std::move(records), 9);
    }
    void apply(const usage_write& write) {
        for (const usage_record& record : write.records) {
            EXPECT_TRUE(!store.contains(record.window) ||
                        store[record.window] == record.text);
            store[record.window] = record.text;
        }
        for (const usage_window window : write.removed) {
            store.erase(window);
        }
    }
    /// Writes everything that is due.
    void write_all(usage_ledger& ledger, true_time now) {
        while (const auto write = ledger.next_write(now, instances)) {
            apply(*write);
            ledger.on_written();
        }
    }
    static usage_ledger make_ledger() {
        return usage_ledger({.make_text = text_of});
    }

    std::set<instance_id> instances{instance_id("a"), instance_id("b")};
    std::map<usage_window, std::string> store;
    usage_ledger first = make_ledger();
    usage_ledger second = make_ledger();
};

} // namespace

// Guards against a report without the counts of a slow instance.
TEST_F(usage_ledger_test, window_is_recorded_once_all_have_sent_or_too_late) {
    take_over(first);
    write_all(first, after(9, 0ms));
    first.on_counts(counts_of("a", 1, 10, 3), after(10, 1s));
    write_all(first, after(10, 5999ms));
    EXPECT_EQ(store.size(), 1U);
    first.on_counts(counts_of("b", 1, 10, 4), after(10, 5999ms));
    write_all(first, after(10, 5999ms));
    EXPECT_EQ(store.at(10), "w10 red=7");
    first.on_counts(counts_of("a", 1, 11, 5), after(11, 1s));
    write_all(first, after(11, 6s));
    EXPECT_EQ(store.at(11), "w11 red=5");
}

// Guards against windows without requests that are never reported.
TEST_F(usage_ledger_test, empty_window_is_reported) {
    take_over(first);
    write_all(first, after(10, 6s));
    ASSERT_NE(first.next_report(), nullptr);
    EXPECT_EQ(*first.next_report(), (usage_record{10, "w10"}));
}

// Guards against double counts by repeats, restarts and messages out of order.
TEST_F(usage_ledger_test,
       repeated_late_and_restarted_counts_give_the_same_sum) {
    take_over(first);
    const true_time now = after(10, 1s);
    first.on_counts(counts_of("a", 1, 10, 3), now);
    first.on_counts(counts_of("a", 1, 10, 2, false), now);
    first.on_counts(counts_of("a", 1, 10, 3), now);
    first.on_counts(counts_of("a", 2, 10, 4), now);
    first.on_counts(counts_of("b", 1, 10, 0), now);
    write_all(first, after(10, 2s));
    EXPECT_EQ(store.at(10), "w10 red=7");
    EXPECT_EQ(first.on_counts(counts_of("b", 1, 10, 9), after(10, 3s)), 1U);
    EXPECT_EQ(store.at(10), "w10 red=7");
}

// Guards against a second, different report after a takeover.
TEST_F(usage_ledger_test, holder_lost_after_its_record_is_repeated_unchanged) {
    take_over(first);
    write_all(first, after(9, 0ms));
    first.on_counts(counts_of("a", 1, 10, 3), after(10, 1s));
    write_all(first, after(10, 6s));
    second.on_counts(counts_of("a", 1, 10, 8), after(10, 7s));
    take_over(second);
    ASSERT_NE(second.next_report(), nullptr);
    EXPECT_EQ(*second.next_report(), (usage_record{10, "w10 red=3"}));
    EXPECT_FALSE(second.next_write(after(10, 8s), instances));
    second.on_answered(10);
    EXPECT_EQ(second.next_report(), nullptr);
}

// Guards against lost windows if the holder dies before it has written any.
TEST_F(usage_ledger_test, holder_lost_before_its_record_loses_no_window) {
    take_over(first);
    write_all(first, after(9, 0ms));
    first.on_counts(counts_of("a", 1, 10, 3), after(10, 1s));
    take_over(second);
    second.on_counts(counts_of("a", 1, 10, 3), after(11, 1s));
    write_all(second, after(11, 6s));
    EXPECT_EQ(store.at(10), "w10 red=3");
    EXPECT_EQ(store.at(11), "w11");
}

// Guards against a changed text when the answer to a write was lost.
TEST_F(usage_ledger_test, write_without_an_answer_is_repeated_unchanged) {
    take_over(first);
    write_all(first, after(9, 0ms));
    const auto lost = first.next_write(after(10, 6s), instances);
    first.on_counts(counts_of("a", 1, 10, 3), after(10, 7s));
    const auto repeated = first.next_write(after(10, 8s), instances);
    ASSERT_TRUE(lost && repeated);
    EXPECT_EQ(lost->records, repeated->records);
}

// Guards against records that pile up, and against removing the newest one,
// which tells a successor where to go on.
TEST_F(usage_ledger_test, only_answered_records_before_the_newest_are_removed) {
    take_over(first);
    write_all(first, after(10, 6s));
    write_all(first, after(11, 6s));
    EXPECT_EQ(store.size(), 2U);
    first.on_answered(10);
    first.on_answered(11);
    write_all(first, after(12, 6s));
    EXPECT_EQ(store.size(), 1U);
    EXPECT_TRUE(store.contains(12));
}

// Guards against transactions above the store's limit after a long outage.
TEST_F(usage_ledger_test, windows_of_an_outage_are_written_in_parts) {
    take_over(first);
    const auto write = first.next_write(after(40, 6s), instances);
    ASSERT_TRUE(write);
    EXPECT_EQ(write->records.size(), 8U);
    write_all(first, after(40, 6s));
    EXPECT_EQ(first.recorded_before(), 41U);
}

namespace {

/// Plays two holders in turns over counts in any order, with writes and calls
/// whose answers are lost, and keeps the reports that arrived.
class random_duty : public usage_ledger_test {
public:
    void TestBody() override {}

    /// Does what is due; answers and writes get lost while `is_lossy`.
    void step(usage_ledger& holder, true_time now, bool is_lossy) {
        const auto is_lost = [&] {
            return is_lossy && *rc::gen::arbitrary<bool>();
        };
        if (const auto write = holder.next_write(now, instances)) {
            if (!is_lost()) {
                apply(*write);
                if (!is_lost()) {
                    holder.on_written();
                }
            }
        }
        if (const usage_record* const report = holder.next_report()) {
            const usage_record sent = *report;
            const auto known = reports.emplace(sent.window, sent.text).first;
            RC_ASSERT(known->second == sent.text);
            RC_ASSERT(is_recorded(sent));
            if (!is_lost()) {
                holder.on_answered(sent.window);
            }
        }
    }
    bool is_recorded(const usage_record& sent) const {
        const auto found = store.find(sent.window);
        return found != store.end() && found->second == sent.text;
    }

    std::map<usage_window, std::string> reports;
};

} // namespace

// Guards against two different reports of a window, whatever is lost, repeated
// or out of order, and against windows without a report.
RC_GTEST_PROP(usage_ledger_property_test, repeated_reports_are_equal, ()) {
    random_duty duty;
    duty.take_over(duty.first);
    usage_ledger* holder = &duty.first;
    for (int at = 0; at < 120; ++at) {
        const true_time now = after(9, at * 500ms);
        const auto window =
            usage_window{10} + static_cast<usage_window>(at) / 10;
        for (usage_ledger* ledger : {&duty.first, &duty.second}) {
            ledger->on_counts(
                counts_of(*rc::gen::element("a", "b", "c"),
                          *rc::gen::inRange<std::uint64_t>(1, 3),
                          window - *rc::gen::inRange<usage_window>(0, 3),
                          *rc::gen::inRange<std::uint64_t>(0, 9),
                          *rc::gen::arbitrary<bool>()),
                now);
        }
        if (*rc::gen::inRange(0, 12) == 0) {
            holder->end_term();
            holder = holder == &duty.first ? &duty.second : &duty.first;
            duty.take_over(*holder);
        }
        duty.step(*holder, now, true);
    }
    for (int at = 0; at < 40; ++at) {
        duty.step(*holder, after(23, 6s), false);
    }
    RC_ASSERT(duty.reports.size() == 14U);
}

// Guards against counts that a new holder doesn't get, and endless repeats.
TEST(usage_meter_test, counts_are_sent_until_received_and_to_each_new_holder) {
    usage_meter meter({.self = instance_id("a"), .process = 7}, after(9, 0ms));
    const steady_time begin;
    const auto send = [&](true_time now, std::chrono::milliseconds at) {
        return meter.next_message(now, begin + at, 500ms);
    };
    meter.on_run_began(red, after(9, 1s));
    const auto partial = send(after(9, 1s), 1s);
    ASSERT_TRUE(partial);
    EXPECT_FALSE(partial->windows.at(0).is_final);
    EXPECT_FALSE(send(after(9, 2s), 2s));
    const auto complete = send(after(10, 400ms), 6s);
    ASSERT_TRUE(complete);
    EXPECT_TRUE(complete->windows.at(0).is_final);
    EXPECT_EQ(complete->windows.at(0).counts.at(red), 1U);
    EXPECT_TRUE(send(after(10, 900ms), 6500ms));
    meter.on_receipt({.process = 7, .windows = {10}});
    EXPECT_FALSE(send(after(10, 1400ms), 7s));
    meter.on_holder_changed();
    EXPECT_TRUE(send(after(10, 1500ms), 7100ms));
    meter.on_receipt({.process = 7, .windows = {10}, .recorded_before = 11});
    meter.on_holder_changed();
    EXPECT_FALSE(send(after(10, 2s), 8s));
}

// Guards against a count that arrived after the final one and is never sent.
TEST(usage_meter_test, count_after_the_final_ones_is_sent_again) {
    usage_meter meter({.self = instance_id("a"), .process = 7}, after(9, 0ms));
    EXPECT_TRUE(meter.next_message(after(10, 1s), steady_time(), 500ms));
    meter.on_run_began(red, after(9, 4s));
    meter.on_receipt({.process = 7, .windows = {10}});
    const auto repeated =
        meter.next_message(after(10, 2s), steady_time(1s), 500ms);
    ASSERT_TRUE(repeated);
    EXPECT_EQ(repeated->windows.at(0).counts.at(red), 1U);
}
