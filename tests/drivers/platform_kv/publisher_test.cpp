#include "drivers/platform_kv/publisher.hpp"
#include "tests/fakes/fake_platform.hpp"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <thread>

namespace savorydock {

using namespace std::chrono_literals;

class publisher_test : public ::testing::Test {
protected:
    void SetUp() override {
        const auto local = platform_.listen({.address = "127.0.0.1"});
        ASSERT_TRUE(local) << local.reason().detail;
        address_ = *local;
        const auto* const test =
            ::testing::UnitTest::GetInstance()->current_test_info();
        folder_ = std::filesystem::path(::testing::TempDir()) /
                  (std::string("publisher_test_") + test->name());
        std::filesystem::create_directories(folder_);
    }

    void TearDown() override { std::filesystem::remove_all(folder_); }

    std::string write_file(const std::string& name, const std::string& service,
                           int queue) {
        const std::string file = (folder_ / name).string();
        std::ofstream(file) << "{\n  \"service\": \"" << service
                            << "\",\n  \"kind\": \"plain\",\n"
                               "  \"classes\": [{\"name\": \"c\",\n"
                               "    \"queue_length\": "
                            << queue
                            << "}],\n  \"callers\": [],\n"
                               "  \"upstreams\": []\n}\n";
        return file;
    }

    publish_result publish(const std::string& operator_name,
                           const std::string& file) {
        publisher made({.platform = {address_},
                        .operator_name = operator_name,
                        .timeout = 2s});
        const auto results = made.publish_files({file});
        EXPECT_TRUE(results) << results.reason().detail;
        return results ? results->front().result : publish_result{};
    }

    fake_platform platform_;
    endpoint address_;
    std::filesystem::path folder_;
};

TEST_F(publisher_test, published_file_shows_no_difference_until_changed) {
    publisher made({.platform = {address_}, .operator_name = "ann"});
    const std::string file = write_file("a.json", "s", 1);
    EXPECT_EQ(publish("ann", file).code, result_code::ok);
    auto shown = made.diff_files({file});
    ASSERT_TRUE(shown);
    EXPECT_EQ(shown->front().difference, "");
    EXPECT_EQ(shown->front().operator_name, "ann");
    write_file("a.json", "s", 2);
    shown = made.diff_files({file});
    ASSERT_TRUE(shown);
    EXPECT_EQ(shown->front().difference, "@@ 5\n-    \"queue_length\": 1}],\n"
                                         "+    \"queue_length\": 2}],\n");
}

TEST_F(publisher_test, one_faulty_file_prevents_all_writes) {
    publisher made({.platform = {address_}, .operator_name = "ann"});
    const std::string bad = write_file("bad.json", "s2", -1);
    const auto results =
        made.publish_files({write_file("a.json", "s1", 1), bad});
    ASSERT_FALSE(results);
    EXPECT_EQ(results.reason().code, result_code::invalid_document);
    EXPECT_NE(results.reason().detail.find("queue_length"), std::string::npos);
    EXPECT_EQ(platform_.calls("*"), 0U);
}

TEST_F(publisher_test, lost_answer_is_resolved_to_accepted) {
    platform_.add_fault(
        {.operation = "txn", .drop_answer_after_effect = true, .count = 1});
    const auto result = publish("ann", write_file("a.json", "s", 1));
    EXPECT_EQ(result.code, result_code::ok);
    EXPECT_EQ(result.revision,
              platform_.find(key_of(service_name("s")))->modified);
    EXPECT_EQ(platform_.calls("txn"), 1U);
}

TEST_F(publisher_test,
       racing_operators_one_wins_and_the_other_gets_a_conflict) {
    ASSERT_EQ(publish("ann", write_file("a.json", "s", 1)).code,
              result_code::ok);
    // Both read before either writes.
    platform_.add_fault({.operation = "txn", .delay = 200ms, .count = 2});
    const std::string one = write_file("one.json", "s", 2);
    const std::string two = write_file("two.json", "s", 3);
    publish_result first;
    std::thread other([&] { first = publish("bob", one); });
    const publish_result second = publish("cid", two);
    other.join();
    const bool is_first_winner = first.code == result_code::ok;
    const publish_result& winner = is_first_winner ? first : second;
    const publish_result& loser = is_first_winner ? second : first;
    EXPECT_EQ(winner.code, result_code::ok);
    EXPECT_EQ(loser.code, result_code::publish_conflict);
    EXPECT_EQ(loser.other_operator, is_first_winner ? "bob" : "cid");
    EXPECT_EQ(loser.other_revision, winner.revision);
    EXPECT_NE(loser.difference.find("queue_length"), std::string::npos);
}

TEST_F(publisher_test, deleted_service_is_a_tombstone_in_the_store) {
    publisher made({.platform = {address_}, .operator_name = "ann"});
    ASSERT_EQ(publish("ann", write_file("a.json", "s", 1)).code,
              result_code::ok);
    EXPECT_EQ(made.delete_service(service_name("s")).result.code,
              result_code::ok);
    const auto value = platform_.find(key_of(service_name("s")));
    ASSERT_TRUE(value);
    EXPECT_TRUE(parse_service_envelope(value->value)->is_deleted);
}

} // namespace savorydock
