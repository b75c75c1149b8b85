#include "servers/feed/change_history.hpp"
#include "servers/feed/feed_follower.hpp"
#include "servers/feed/key_copy.hpp"
#include "servers/feed/node_directory.hpp"
#include "servers/feed/value_history.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::chrono_literals;

namespace {

stored_value value(const std::string& key, store_revision modified) {
    return {.key = key, .value = "v", .modified = modified};
}

class feed_follower_test : public ::testing::Test {
public:
    feed_follower_test()
        : follower({.prefixes = {"a/", "b/"}}) {}

    feed_push push(const std::string& prefix, std::uint64_t number,
                   bool is_snapshot, store_revision term = 5) {
        return {.prefix = prefix,
                .term = term,
                .number = number,
                .is_snapshot = is_snapshot};
    }

    void follow(std::uint64_t number = 1) {
        static_cast<void>(follower.on_heartbeat(
            feeder, {.term = 5, .numbers = {number, number}}, now));
        for (const char* const prefix : {"a/", "b/"}) {
            EXPECT_EQ(follower.on_push(feeder, push(prefix, number, true), now),
                      push_action::apply);
        }
    }

    instance_id feeder{"f"};
    feed_follower follower;
    steady_time now{1h};
};

} // namespace

TEST_F(feed_follower_test, complete_copies_of_a_fresh_feeder_are_followed) {
    EXPECT_FALSE(follower.is_following(now));
    const auto requested = follower.on_heartbeat(
        feeder, {.term = 5, .age = 100ms, .numbers = {1, 1}}, now);
    EXPECT_EQ(requested, (std::vector<std::string>{"a/", "b/"}));
    EXPECT_FALSE(follower.is_following(now));
    follow();
    EXPECT_TRUE(follower.is_following(now));
}

TEST_F(feed_follower_test,
       feeder_without_contact_to_the_store_is_not_followed) {
    follow();
    // It still sends heartbeats, but its last contact with the store gets old.
    now += 1s;
    static_cast<void>(follower.on_heartbeat(
        feeder, {.term = 5, .age = 1s, .numbers = {1, 1}}, now));
    now += 500ms;
    EXPECT_FALSE(follower.is_following(now));
}

// Guards against 404 for routes that exist: heartbeats kept followers that
// lacked changes from reading the store themselves.
TEST_F(feed_follower_test, feeder_whose_pushes_do_not_arrive_is_not_followed) {
    follow();
    for (int beat = 0; beat < 5; ++beat) {
        now += 350ms;
        static_cast<void>(
            follower.on_heartbeat(feeder, {.term = 5, .numbers = {2, 1}}, now));
    }
    EXPECT_FALSE(follower.is_following(now));
    EXPECT_EQ(follower.on_push(feeder, push("a/", 2, false), now),
              push_action::apply);
    EXPECT_TRUE(follower.is_following(now));
}

TEST_F(feed_follower_test, data_is_as_old_as_the_announcement_it_completes) {
    follow();
    const steady_time announced_at = now + 350ms;
    static_cast<void>(follower.on_heartbeat(
        feeder, {.term = 5, .age = 50ms, .numbers = {2, 1}}, announced_at));
    now = announced_at + 350ms;
    static_cast<void>(
        follower.on_heartbeat(feeder, {.term = 5, .numbers = {3, 1}}, now));
    static_cast<void>(follower.on_push(feeder, push("a/", 2, false), now));
    EXPECT_EQ(follower.last_contact(), announced_at - 50ms);
    static_cast<void>(follower.on_push(feeder, push("a/", 3, false), now));
    EXPECT_EQ(follower.last_contact(), now);
}

TEST_F(feed_follower_test, missing_push_is_requested_not_skipped) {
    follow();
    now += 300ms;
    EXPECT_EQ(follower.on_push(feeder, push("a/", 3, false), now),
              push_action::request_changes);
    EXPECT_EQ(follower.on_push(feeder, push("a/", 2, false), now),
              push_action::apply);
    EXPECT_EQ(follower.on_push(feeder, push("a/", 2, false), now),
              push_action::ignore);
}

TEST_F(feed_follower_test, push_lost_before_a_heartbeat_is_requested) {
    follow();
    now += 300ms;
    const auto requested =
        follower.on_heartbeat(feeder, {.term = 5, .numbers = {2, 1}}, now);
    EXPECT_EQ(requested, (std::vector<std::string>{"a/"}));
}

// Guards against a feeder that loses its term, regains the same one and
// restarts its numbering: followers would ignore its pushes, and changes of
// configuration would take effect too late.
TEST_F(feed_follower_test, numbers_of_a_regained_term_must_continue) {
    follow(4);
    EXPECT_EQ(follower.on_push(feeder, push("a/", 1, false), now),
              push_action::ignore);
    EXPECT_EQ(follower.on_push(feeder, push("a/", 5, true), now),
              push_action::apply);
}

TEST_F(feed_follower_test, feeder_of_an_older_term_is_ignored) {
    follow();
    EXPECT_EQ(follower.on_push(instance_id("g"), push("a/", 9, true, 4), now),
              push_action::ignore);
    EXPECT_EQ(follower.on_push(instance_id("g"), push("a/", 1, true, 6), now),
              push_action::apply);
    EXPECT_EQ(follower.feeder(), instance_id("g"));
    EXPECT_FALSE(follower.is_following(now)) << "no snapshot of b/ yet";
}

TEST_F(feed_follower_test, unanswered_request_is_repeated_only_after_a_time) {
    follow();
    EXPECT_EQ(follower.on_push(feeder, push("a/", 3, false), now),
              push_action::request_changes);
    now += 350ms;
    EXPECT_TRUE(
        follower.on_heartbeat(feeder, {.term = 5, .numbers = {4, 1}}, now)
            .empty());
    now += 350ms;
    EXPECT_EQ(
        follower.on_heartbeat(feeder, {.term = 5, .numbers = {4, 1}}, now),
        (std::vector<std::string>{"a/"}));
}

// A reply that was made before further changes doesn't end the gap.
TEST_F(feed_follower_test,
       reply_older_than_an_announcement_is_followed_by_a_request) {
    follow();
    EXPECT_EQ(
        follower.on_heartbeat(feeder, {.term = 5, .numbers = {3, 1}}, now),
        (std::vector<std::string>{"a/"}));
    EXPECT_EQ(follower.on_push(feeder, push("a/", 4, false), now),
              push_action::ignore);
    feed_push reply = push("a/", 3, false);
    reply.since = 7;
    EXPECT_EQ(follower.on_push(feeder, reply, now), push_action::apply);
    EXPECT_EQ(follower.take_requests(now), (std::vector<std::string>{"a/"}));
    EXPECT_TRUE(follower.take_requests(now).empty());
}

class change_history_test : public ::testing::Test {
public:
    change_history_test() {
        history.record(copy.replace({value("a", 3), value("b", 5)}, 10), copy);
    }

    void merge(store_change change, store_revision revision) {
        history.record(copy.merge({std::move(change)}, revision), copy);
    }

    std::vector<std::string> keys_since(store_revision revision) {
        std::vector<std::string> keys;
        const auto changes = history.changes_since(revision, copy);
        EXPECT_TRUE(changes);
        for (const store_change& change : *changes) {
            keys.push_back((change.is_removed ? "-" : "+") + change.value.key);
        }
        return keys;
    }

    key_copy copy;
    change_history history{2};
};

TEST_F(change_history_test, replaced_values_are_told_once_in_the_stores_order) {
    merge({.value = value("a", 11)}, 11);
    merge({.value = value("b", 12)}, 12);
    merge({.value = value("a", 13)}, 13);
    EXPECT_EQ(keys_since(10), (std::vector<std::string>{"+b", "+a"}));
    EXPECT_EQ(keys_since(12), (std::vector<std::string>{"+a"}));
    EXPECT_TRUE(keys_since(13).empty());
}

TEST_F(change_history_test, removal_is_told_unless_the_key_is_back) {
    merge({.value = value("a", 11), .is_removed = true}, 11);
    merge({.value = value("b", 12), .is_removed = true}, 12);
    merge({.value = value("a", 13)}, 13);
    EXPECT_EQ(keys_since(10), (std::vector<std::string>{"-b", "+a"}));
}

// A follower that read the store itself at 12 has a key that this copy never
// had: the key was written and removed between two reads of the store.
TEST_F(change_history_test,
       removal_between_two_reads_reaches_a_newer_follower) {
    key_copy follower;
    static_cast<void>(
        follower.replace({value("a", 3), value("b", 5), value("c", 11)}, 12));
    history.record(copy.replace({value("a", 3), value("b", 5)}, 20), copy);
    auto changes = history.changes_since(follower.revision(), copy);
    if (changes) {
        static_cast<void>(follower.merge(std::move(*changes), 20));
        EXPECT_FALSE(follower.values().contains("c"));
    }
}

TEST_F(change_history_test, changes_since_an_unknown_revision_are_not_told) {
    EXPECT_FALSE(history.changes_since(9, copy));
    for (store_revision revision = 11; revision < 17; revision += 2) {
        const std::string key = "k" + std::to_string(revision);
        merge({.value = value(key, revision)}, revision);
        merge({.value = value(key, revision + 1), .is_removed = true},
              revision + 1);
    }
    EXPECT_FALSE(history.changes_since(11, copy)) << "a removal was forgotten";
    EXPECT_EQ(keys_since(12), (std::vector<std::string>{"-k13", "-k15"}));
}

class value_history_test : public ::testing::Test {
public:
    static store_change change(store_revision modified, char letter) {
        return {.value = {.key = "k",
                          .value = std::string(200, 'a') + letter,
                          .modified = modified}};
    }

    value_history sender{{.min_bytes = 100, .max_versions = 2}};
    value_history receiver{{.min_bytes = 100, .max_versions = 2}};
};

TEST_F(value_history_test, delta_builds_on_the_version_that_the_receiver_has) {
    sender.record({change(3, 'x'), change(5, 'y')});
    receiver.record({change(3, 'x')});
    const feed_change sent = sender.encode(change(9, 'z'), 4);
    EXPECT_EQ(sent.encoding, value_encoding::delta);
    EXPECT_EQ(sent.base, 3U);
    const auto decoded = receiver.decode(sent);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->value.value, change(9, 'z').value.value);
    EXPECT_EQ(decoded->value.modified, 9U);
}

TEST_F(value_history_test, delta_on_a_missing_version_is_not_decoded) {
    sender.record({change(3, 'x'), change(5, 'y')});
    receiver.record({change(3, 'x')});
    EXPECT_FALSE(receiver.decode(sender.encode(change(9, 'z'), 5)));
}

TEST_F(value_history_test, receiver_of_a_forgotten_version_gets_no_delta) {
    sender.record({change(3, 'x'), change(5, 'y'), change(7, 'z')});
    const feed_change sent = sender.encode(change(9, 'z'), 4);
    EXPECT_EQ(sent.encoding, value_encoding::compressed);
    EXPECT_TRUE(receiver.decode(sent));
}

TEST_F(value_history_test, short_value_and_removal_are_sent_plain) {
    const feed_change sent =
        sender.encode({.value = {.key = "k", .value = "v", .modified = 3}}, 0);
    EXPECT_EQ(sent.encoding, value_encoding::plain);
    EXPECT_EQ(receiver.decode(sent)->value.value, "v");
    EXPECT_TRUE(
        receiver
            .decode(sender.encode(
                {.value = {.key = "k", .modified = 4}, .is_removed = true}, 0))
            ->is_removed);
}

TEST(key_copy_test, snapshot_older_than_a_change_reverts_nothing) {
    key_copy copy;
    static_cast<void>(copy.replace({value("k", 3)}, 3));
    EXPECT_EQ(copy.merge({{.value = value("k", 7)}}, 7).size(), 1U);
    EXPECT_TRUE(copy.replace({value("k", 3)}, 4).empty());
    EXPECT_EQ(copy.values().at("k").modified, 7U);
}

TEST(key_copy_test, key_newer_than_a_snapshot_stays_if_missing_there) {
    key_copy copy;
    EXPECT_EQ(copy.merge({{.value = value("n", 9)}}, 9).size(), 1U);
    EXPECT_TRUE(copy.replace({}, 5).empty());
    EXPECT_TRUE(copy.values().contains("n"));
}

// An upstream that left must not be used again because an update from before
// its removal arrives late: from another feeder, or by another path.
TEST(key_copy_test, removed_key_is_not_restored_by_an_older_snapshot) {
    key_copy copy;
    static_cast<void>(copy.replace({value("k", 3)}, 3));
    ASSERT_EQ(
        copy.merge({{.value = value("k", 7), .is_removed = true}}, 7).size(),
        1U);
    EXPECT_TRUE(copy.replace({value("k", 3)}, 5).empty());
    EXPECT_FALSE(copy.values().contains("k"));
    EXPECT_EQ(copy.revision(), 7U);
}

TEST(key_copy_test, removed_key_is_not_restored_by_a_late_change) {
    key_copy copy;
    static_cast<void>(copy.replace({value("k", 3)}, 3));
    static_cast<void>(copy.replace({}, 9));
    EXPECT_TRUE(copy.merge({{.value = value("k", 8)}}, 8).empty());
    EXPECT_FALSE(copy.values().contains("k"));
    EXPECT_EQ(copy.merge({{.value = value("k", 10)}}, 10).size(), 1U)
        << "a key that was written again after its removal is back";
}

TEST(key_copy_test, changes_before_the_first_snapshot_are_not_skipped_later) {
    key_copy copy;
    static_cast<void>(copy.merge({{.value = value("n", 9)}}, 9));
    static_cast<void>(copy.replace({value("k", 3)}, 5));
    EXPECT_EQ(copy.merge({{.value = value("m", 7)}}, 9).size(), 1U);
}

TEST(key_copy_test, missing_key_of_a_snapshot_is_reported_as_removed) {
    key_copy copy;
    static_cast<void>(copy.replace({value("k", 3)}, 3));
    const auto changes = copy.replace({}, 8);
    ASSERT_EQ(changes.size(), 1U);
    EXPECT_TRUE(changes[0].is_removed);
}

TEST(key_copy_test, late_removal_of_a_rewritten_key_is_ignored) {
    key_copy copy;
    static_cast<void>(copy.replace({value("k", 8)}, 8));
    EXPECT_TRUE(
        copy.merge({{.value = value("k", 6), .is_removed = true}}, 8).empty());
}

TEST(node_directory_test, entry_reads_back) {
    const node_entry entry{.instance = instance_id("n"),
                           .zone = availability_zone("z"),
                           .address = {.address = "10.0.0.1", .port = 77},
                           .processor_share = 0.25};
    const auto read =
        decode_node_entry(node_key(entry.instance), encode_node_entry(entry));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->zone, entry.zone);
    EXPECT_EQ(read->address, entry.address);
    EXPECT_FALSE(decode_node_entry("c/node/n", "[]"));
}

// A feeder that was cut off finds the removal by reading the prefix again, and
// passes it on to followers whose copies are newer than the removed value.
TEST(key_copy_test, removal_found_by_a_reread_reaches_followers) {
    key_copy feeder;
    key_copy follower;
    for (key_copy* const copy : {&feeder, &follower}) {
        static_cast<void>(copy->replace({value("a", 3), value("b", 8)}, 10));
    }
    const auto changes = feeder.replace({value("b", 8), value("c", 12)}, 20);
    const auto applied = follower.merge(changes, feeder.revision());
    EXPECT_EQ(applied.size(), 2U);
    EXPECT_FALSE(follower.values().contains("a"));
    EXPECT_TRUE(follower.values().contains("c"));
    EXPECT_EQ(follower.revision(), 20U);
}

// The follower has heard of the key's return by another way.
TEST(key_copy_test, removal_found_by_a_reread_is_older_than_a_return) {
    key_copy feeder;
    key_copy follower;
    static_cast<void>(feeder.replace({value("a", 3)}, 10));
    const auto changes = feeder.replace({}, 20);
    static_cast<void>(follower.replace({value("a", 21)}, 22));
    EXPECT_TRUE(follower.merge(changes, feeder.revision()).empty());
    EXPECT_TRUE(follower.values().contains("a"));
}
