#include "servers/feed/term_value.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

// Rolling upgrade: the previous build reads the holder from the value of a
// term's key, and writes it in this form.
TEST(term_value_test, value_has_the_form_of_the_previous_build) {
    EXPECT_EQ(encode_term_value(instance_id("front-za-2"), 77001),
              "front-za-2/77001");
    EXPECT_EQ(holder_of("front-za-2/77001"), instance_id("front-za-2"));
}
