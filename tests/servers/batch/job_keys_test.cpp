#include "servers/batch/job_keys.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

std::string make_record(const std::string& accepted_at,
                        const std::string& total = "1") {
    return R"({"route":"r","host":"h","service":"s","total":)" + total +
           R"(,"parts":1,"accepted_at":)" + accepted_at +
           R"(,"ended":false,"complete":false})";
}

} // namespace

// The time is converted to nanoseconds, which must not overflow.
TEST(job_keys_test, record_with_a_number_out_of_range_is_refused) {
    const std::string key = job_key(job_id("j"));
    EXPECT_TRUE(decode_job_record(key, make_record("1700000000000")));
    for (const char* const time :
         {"-1", "9223372036854775807", "9223372036854775",
          "9223372036854775808", "1e300", "1.5", "\"1\"", "null"}) {
        EXPECT_FALSE(decode_job_record(key, make_record(time))) << time;
    }
    for (const char* const total : {"-1", "4294967296", "1e300", "1.5", "[]"}) {
        EXPECT_FALSE(decode_job_record(key, make_record("1", total))) << total;
    }
    EXPECT_FALSE(decode_job_record(key, std::string(1U << 20U, '[')));
    EXPECT_FALSE(decode_job_record("x", make_record("1")));
}

// Guards against a job that loses its organisation, and records of the previous
// build that can't be read.
TEST(job_keys_test, record_names_the_organisation_of_its_job) {
    const std::string key = job_key(job_id("j"));
    auto record = decode_job_record(key, make_record("1"));
    ASSERT_TRUE(record);
    EXPECT_TRUE(record->organisation.is_empty());
    EXPECT_EQ(encode_job_record(*record), make_record("1"));
    record->organisation = organisation_id("a");
    const auto read = decode_job_record(key, encode_job_record(*record));
    ASSERT_TRUE(read);
    EXPECT_EQ(read->organisation, organisation_id("a"));
}

// Rolling upgrade: instances of the previous build mirror each key under these
// prefixes, and would take the record for a key of their own.
TEST(job_keys_test, settled_term_is_not_under_a_mirrored_prefix) {
    const std::string key = settled_term_key("e");
    EXPECT_EQ(key, "t/e");
    EXPECT_FALSE(key.starts_with(control_prefix));
    for (const char* const prefix : {"op/", "servers/", "status/"}) {
        EXPECT_FALSE(key.starts_with(prefix)) << prefix;
    }
}
