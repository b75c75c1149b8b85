#include "core/wire_codec.hpp"
#include "servers/batch/run_message.hpp"

#include <gtest/gtest.h>

using namespace savorydock;
using namespace std::string_literals;

// Recorded from an instance before the member `ended_jobs`.
TEST(run_message_test, update_of_an_older_instance_is_read) {
    const auto update = wire::decode<runner_update>(
        "\x89\x61"
        "e\x80\x80\x80\x81\x05\x09\x80\x80\x81\x61u"s);
    ASSERT_TRUE(update);
    EXPECT_EQ(update->service, service_name("e"));
    EXPECT_EQ(update->active, std::vector<run_ticket>{5});
    EXPECT_EQ(update->takeover_term, 9U);
    EXPECT_EQ(update->leaving, std::vector<upstream_id>{upstream_id("u")});
    EXPECT_TRUE(update->ended_jobs.empty());
}
