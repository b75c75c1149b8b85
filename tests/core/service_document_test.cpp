#include "core/service_document.hpp"

#include <gtest/gtest.h>

namespace savorydock {

class service_document_test : public ::testing::Test {
protected:
    const std::string valid_ = R"({
        // a comment
        "service": "depth", "kind": "plain",
        "classes": [{"name": "planner", "priority": 1}],
        "callers": [{"name": "p1", "key": "k1", "class": "planner"}],
        "upstreams": [{"name": "u1", "zone": "z1",
                       "address": "127.0.0.1:9"}],
        "calls": [{"path": "/log", "idempotent": false}],
    })";
};

TEST_F(service_document_test, valid_text_with_comments_is_accepted) {
    const auto document = parse_service_document(valid_);
    ASSERT_TRUE(document) << document.reason().detail;
    EXPECT_EQ(document->service.text(), "depth");
    EXPECT_FALSE(document->is_idempotent("/log"));
    EXPECT_NE(document->caller_of_key("k1"), nullptr);
    EXPECT_EQ(document->caller_of_key("k2"), nullptr);
}

TEST_F(service_document_test, several_faults_are_all_reported) {
    const auto document = parse_service_document(
        R"({"service": 3, "kind": "odd", "classes": [], "surplus": 1,
            "callers": [{"name": "a", "key": "k", "class": "none"}],
            "upstreams": [{"name": "u", "zone": "z", "address": "host:1"}]})");
    ASSERT_FALSE(document);
    EXPECT_EQ(document.reason().code, result_code::invalid_document);
    for (const char* const part :
         {"service:", "kind:", "surplus:", "declared class for a",
          "upstreams[0].address:"}) {
        EXPECT_NE(document.reason().detail.find(part), std::string::npos)
            << part << " not in " << document.reason().detail;
    }
}

TEST_F(service_document_test, text_that_is_not_json_names_line_and_column) {
    const auto document = parse_service_document("{\n  \"service\": }");
    ASSERT_FALSE(document);
    EXPECT_EQ(document.reason().code, result_code::invalid_json);
    EXPECT_NE(document.reason().detail.find("line 2"), std::string::npos);
}

TEST_F(service_document_test, truncated_text_is_refused) {
    for (std::size_t length = 0; length < valid_.size(); ++length) {
        if (valid_.substr(length).find('}') == std::string::npos) {
            break;
        }
        EXPECT_FALSE(parse_service_document(valid_.substr(0, length)))
            << "cut at " << length;
    }
}

TEST_F(service_document_test, rollback_from_a_lower_version_is_refused) {
    const auto document = parse_service_document(
        R"({"service": "m", "kind": "model", "classes": [], "callers": [],
            "upstreams": [], "weights": {"version": 9, "rollback_from": 9}})");
    ASSERT_FALSE(document);
    EXPECT_NE(document.reason().detail.find("weights.rollback_from:"),
              std::string::npos)
        << document.reason().detail;
}

} // namespace savorydock
