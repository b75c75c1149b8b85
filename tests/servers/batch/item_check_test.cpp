#include "servers/batch/item_check.hpp"

#include <gtest/gtest.h>

#include <functional>

using namespace savorydock;

namespace {

batch_job make_job() {
    batch_job job;
    job.items.push_back(
        {.id = item_id("i"),
         .path = "/p?q=1",
         .headers = {{"Model", "m"}, {"Note", "\xc3\xa9\t~"}},
         .scoring = scoring_call{.id = "s", .host = "h", .path = "/s"}});
    return job;
}

} // namespace

TEST(item_check_test, job_of_proper_items_is_accepted) {
    EXPECT_TRUE(check_items(make_job()));
}

// Guards against one item that an engine runs as two requests.
TEST(item_check_test, item_that_is_no_single_request_is_refused) {
    using change = std::function<void(batch_item&)>;
    const std::vector<change> changes{
        [](batch_item& item) { item.path = "/p HTTP/1.1\r\nHost: x\r\n\r\n"; },
        [](batch_item& item) { item.path = "/p x"; },
        [](batch_item& item) { item.path = ""; },
        [](batch_item& item) { item.path = "p"; },
        [](batch_item& item) { item.headers[0].value = "m\r\nA: b"; },
        [](batch_item& item) { item.headers[0].value = "m\n"; },
        [](batch_item& item) { item.headers[0].value = std::string(1, '\0'); },
        [](batch_item& item) { item.headers[0].name = "A: b\r\nC"; },
        [](batch_item& item) { item.headers[0].name = ""; },
        [](batch_item& item) { item.id = item_id("i\r\nA: b"); },
        [](batch_item& item) { item.id = item_id(); },
        [](batch_item& item) { item.scoring->path = "/s\r\n"; },
        [](batch_item& item) { item.scoring->id = "s\r\nA: b"; },
        [](batch_item& item) { item.scoring->host = "h\r\nA: b"; }};
    for (std::size_t at = 0; at < changes.size(); ++at) {
        batch_job job = make_job();
        changes[at](job.items[0]);
        const auto result = check_items(job);
        ASSERT_FALSE(result) << at;
        EXPECT_NE(result.reason().detail.find("item 0"), std::string::npos);
    }
}
