#include "core/wire_codec.hpp"
#include "servers/batch/result_message.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

/// A reply as instances before the member `job` describe it.
struct earlier_result_reply {
    std::uint64_t number = 0;
    bool is_known = false;
    std::uint64_t first = 0;
    std::vector<std::string> rows;
};
BOOST_DESCRIBE_STRUCT(earlier_result_reply, (), (number, is_known, first, rows))

} // namespace

TEST(result_message_test, reply_of_an_older_instance_is_read) {
    const auto reply = wire::decode<result_reply>("\x84\x07\xf5\x02\x81\x61r");
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->number, 7U);
    EXPECT_TRUE(reply->is_known);
    EXPECT_EQ(reply->first, 2U);
    EXPECT_EQ(reply->rows, std::vector<std::string>{"r"});
    EXPECT_TRUE(reply->job.is_empty());
}

TEST(result_message_test, older_instance_reads_the_reply) {
    const auto reply =
        wire::decode<earlier_result_reply>(wire::encode(result_reply{
            .number = 7, .first = 2, .rows = {"r"}, .job = job_id("j")}));
    ASSERT_TRUE(reply);
    EXPECT_EQ(reply->number, 7U);
    EXPECT_EQ(reply->rows, std::vector<std::string>{"r"});
}
