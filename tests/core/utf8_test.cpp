#include "core/utf8.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

TEST(utf8_test, well_formed_text_is_accepted) {
    for (const char* const text :
         {"", "plain\x01\x1f\"\\", "\xc3\xa9", "\xe2\x82\xac",
          "\xed\x9f\xbf\xee\x80\x80", "\xf0\x9f\x98\x80", "\xf4\x8f\xbf\xbf"}) {
        EXPECT_TRUE(is_utf8(text)) << text;
        EXPECT_EQ(replace_invalid_utf8(text), text);
    }
    EXPECT_TRUE(is_utf8(std::string_view("\0", 1)));
}

TEST(utf8_test, ill_formed_bytes_are_refused_and_replaced) {
    for (const char* const text :
         {"\xff", "a\xc0\x80", "\xed\xa0\x80", "\xe2\x82", "\x80",
          "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "\xc3(",
          "\xe0\x80\xaf"}) {
        EXPECT_FALSE(is_utf8(text)) << text;
        EXPECT_TRUE(is_utf8(replace_invalid_utf8(text))) << text;
    }
    EXPECT_EQ(replace_invalid_utf8("a\xff\xc3\xa9\xe2"),
              "a\xef\xbf\xbd\xc3\xa9\xef\xbf\xbd");
}
