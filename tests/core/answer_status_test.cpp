#include "core/answer_status.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

TEST(answer_status_test, codes_of_the_classes_of_http_are_answers) {
    for (const unsigned status : {100U, 102U, 103U, 199U}) {
        EXPECT_EQ(kind_of_status(status), answer_kind::interim) << status;
    }
    for (const unsigned status : {200U, 204U, 304U, 404U, 500U, 599U}) {
        EXPECT_EQ(kind_of_status(status), answer_kind::final) << status;
    }
}

TEST(answer_status_test, other_codes_and_unasked_upgrades_are_invalid) {
    for (const unsigned status : {0U, 1U, 99U, 101U, 600U, 999U}) {
        EXPECT_EQ(kind_of_status(status), answer_kind::invalid) << status;
    }
}
