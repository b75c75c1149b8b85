#include "core/wire_codec.hpp"
#include "servers/explain/explain_server.hpp"

#include <gtest/gtest.h>

using namespace savorydock;

// Guards against an explanation with the record of another subject: the answer
// was meant for an earlier process of the instance.
TEST(explain_server_test, answer_about_another_subject_is_ignored) {
    const decision_log decisions({});
    explain_server server({.instance = instance_id("self")}, decisions);
    server.set_peers({instance_id("peer")});
    std::optional<explanation> found;
    command_list out;
    server.query(
        "wanted", [&](explanation one) { found = std::move(one); }, {}, out);
    const auto* const question = std::get_if<peer_message>(&out.at(0));
    ASSERT_NE(question, nullptr);
    auto answer = *wire::decode<explain_message>(question->body);
    answer.is_answer = true;
    const auto deliver = [&] {
        server.on_peer_message({.from = instance_id("peer"),
                                .to = instance_id("self"),
                                .topic = peer_topic::explain,
                                .body = wire::encode(answer)},
                               {}, out);
    };
    answer.subject = "another";
    deliver();
    EXPECT_FALSE(found);
    answer.subject = "wanted";
    deliver();
    EXPECT_TRUE(found);
}
