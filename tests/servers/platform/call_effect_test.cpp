#include "servers/platform/call_effect.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

namespace {

struct effect_row {
    call_effect earlier;
    call_effect next;
    call_effect expected;
};

class call_effect_test : public ::testing::TestWithParam<effect_row> {};

} // namespace

// Guards against a write that takes effect after it was reported as refused.
TEST_P(call_effect_test, pair_of_tries_has_the_effect_that_is_certain) {
    EXPECT_EQ(combine(GetParam().earlier, GetParam().next),
              GetParam().expected);
}

INSTANTIATE_TEST_SUITE_P(
    all_pairs, call_effect_test,
    ::testing::Values(effect_row{call_effect::none, call_effect::none,
                                 call_effect::none},
                      effect_row{call_effect::none, call_effect::possible,
                                 call_effect::possible},
                      effect_row{call_effect::none, call_effect::answered,
                                 call_effect::answered},
                      effect_row{call_effect::possible, call_effect::none,
                                 call_effect::possible},
                      effect_row{call_effect::possible, call_effect::possible,
                                 call_effect::possible},
                      effect_row{call_effect::possible, call_effect::answered,
                                 call_effect::answered},
                      effect_row{call_effect::answered, call_effect::none,
                                 call_effect::answered},
                      effect_row{call_effect::answered, call_effect::possible,
                                 call_effect::answered},
                      effect_row{call_effect::answered, call_effect::answered,
                                 call_effect::answered}));
