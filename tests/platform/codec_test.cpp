#include "platform/batch_codec.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/order_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/settings_file.hpp"
#include "platform/store_codec.hpp"

#include <gtest/gtest.h>

#include <algorithm>

using namespace savorydock;
using namespace savorydock::platform;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view settings_text = R"(
node_name = "front-a-1"
zone = "a"
ip = "10.0.0.1"
internal_ports = [7000, 7015]
heartbeat_ms = 1200
future_field = [1, 2]
[listen]
front = "10.0.0.1:8000"
ready = "10.0.0.1:8001"
[limits]
cpu_share = 0.25
[bounds]
grace_s = 8
lease_ms = 3000
[platform]
address = "10.9.0.1:9000"
writes_per_s = 400
reads_per_s = 2000
value_bytes = 1048576
ttl_min_ms = 1000
)";

std::string without(std::string text, const std::string& line) {
    const std::size_t at = text.find(line);
    return text.erase(at, text.find('\n', at) - at);
}

class codec_test : public ::testing::Test {};

} // namespace

TEST_F(codec_test, settings_of_a_machine_are_read) {
    const auto settings = read_settings(settings_text);
    ASSERT_TRUE(settings) << settings.reason().detail;
    EXPECT_EQ(settings->instance, instance_id("front-a-1"));
    EXPECT_EQ(settings->caller_listen->port, 8000);
    EXPECT_EQ(settings->store.address.port, 9000);
    EXPECT_EQ(settings->internal_port, 7000);
    EXPECT_EQ(settings->shutdown_grace, 8s);
    EXPECT_DOUBLE_EQ(settings->processor_share, 0.25);
}

TEST_F(codec_test, settings_with_faults_name_field_and_reason) {
    const std::string text(settings_text);
    EXPECT_FALSE(read_settings("node_name = "));
    EXPECT_FALSE(read_settings(without(text, "zone =")));
    const auto missing = read_settings(without(text, "address ="));
    ASSERT_FALSE(missing);
    EXPECT_NE(missing.reason().detail.find("platform.address"),
              std::string::npos);
    std::string wrong = text;
    wrong.replace(wrong.find("10.0.0.1:8001"), 13, "nowhere");
    EXPECT_FALSE(read_settings(wrong));
}

TEST_F(codec_test, configuration_decodes_routes_services_and_bounds) {
    const auto configuration = decode_configuration(
        R"({"version":7,"routes":[
            {"name":"r","host":"h","prefix":"/a/","route_type":"safe",
             "timeout_ms":2000,"target_latency_ms":150,"priority":2,
             "max_attempts":3,
             "backends":[{"service":"s1","weight":90},{"service":"s2","weight":10}]},
            {"name":"b","host":"h","prefix":"/b/","route_type":"rollout",
             "service":"e","run_target_ms":7500,"queue_ttl_s":40,
             "single_version":true}],
          "services":[{"name":"e","max_conns":150,
             "engine":{"slots":8,"kv_token_cap":72728,"stride":51,
                       "models":[{"name":"m"}]}}],
          "limits":{"max_body_bytes":99,"idle_timeout_ms":15000},
          "future_field":{}})",
        42);
    ASSERT_TRUE(configuration) << configuration.reason().detail;
    EXPECT_EQ(configuration->version, 7U);
    EXPECT_EQ(configuration->revision, 42U);
    ASSERT_EQ(configuration->routes.size(), 2U);
    EXPECT_EQ(configuration->routes[0].services[1].weight, 10U);
    EXPECT_EQ(configuration->routes[0].max_attempts, 3U);
    EXPECT_EQ(configuration->routes[1].kind, request_kind::sample_batch);
    EXPECT_EQ(configuration->routes[1].batch_time_to_live, 40s);
    EXPECT_TRUE(configuration->routes[1].is_single_version);
    EXPECT_EQ(configuration->services[0].engine->tokens_per_event, 51U);
    EXPECT_EQ(configuration->bounds.max_body_bytes, 99U);
}

TEST_F(codec_test, configuration_with_faults_is_refused_entirely) {
    for (
        const char* const text :
        {"", "[]", R"({"routes":[]})", R"({"version":1})",
         R"({"version":1,"routes":[1]})",
         R"({"version":1,"routes":[{"host":"h","prefix":"/"}]})",
         R"({"version":1,"routes":[{"host":"h","prefix":"/","route_type":"x"}]})"}) {
        EXPECT_FALSE(decode_configuration(text, 1)) << text;
    }
}

TEST_F(codec_test, invalid_upstream_entries_are_refused) {
    const std::string good =
        R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":8,)"
        R"("version":"v1",)"
        R"("state":"ready","sequence":4,"born":1700000000000,)"
        R"("models":[{"name":"m","version":3}]})";
    const auto entry = decode_upstream("servers/i-1", good);
    ASSERT_TRUE(entry) << entry.reason().detail;
    EXPECT_EQ(entry->id, upstream_id("i-1"));
    EXPECT_EQ(entry->versions.at("m"), 3U);
    EXPECT_EQ(entry->software, software_version("v1"));
    EXPECT_EQ(entry->started_at, 1'700'000'000'000U);
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
             {"\"s\"", "7"},
             {"10.0.0.9:80", "somewhere"},
             {"\"ready\"", "\"asleep\""},
             {"\"slots\":8", "\"slots\":\"8\""},
             {"\"slots\":8", "\"slots\":0"},
             {"\"v1\"", "1"},
             {"\"version\":\"v1\",", ""},
             {"{\"service\"", "\xff\xfe"}}) {
        std::string bad = good;
        bad.replace(bad.find(from), from.size(), to);
        EXPECT_FALSE(decode_upstream("servers/i-1", bad)) << bad;
    }
}

TEST_F(codec_test, wanted_versions_and_retirements_are_distinguished) {
    const auto wanted =
        decode_wanted_version("op/version/m", R"({"model":"m","version":4})");
    ASSERT_TRUE(wanted);
    EXPECT_EQ(wanted->version, 4U);
    EXPECT_FALSE(decode_wanted_version("op/config", R"({"version":4})"));
    EXPECT_FALSE(decode_wanted_version("op/version/m", "{}"));
    EXPECT_EQ(decode_retirement("op/retire/store-1"), "store-1");
    EXPECT_FALSE(decode_retirement("op/config"));
}

TEST_F(codec_test, forwarded_request_keeps_all_but_connection_headers) {
    const http_request request{.method = "POST",
                               .target = "/a/b?c=d",
                               .headers = {{"Host", "h"},
                                           {"Request-Id", "r1"},
                                           {"Deadline-Ms", "2000"},
                                           {"Connection", "keep-alive"},
                                           {"Transfer-Encoding", "chunked"},
                                           {"Expect-Instance", "forged"},
                                           {"X-Own", "1"}},
                               .body = "body"};
    const auto forwarded = forward_request(
        request, {.upstream = upstream_id("i-1"), .time_left = 1500ms});
    EXPECT_EQ(forwarded.target, "/a/b?c=d");
    EXPECT_EQ(forwarded.body, "") << "all attempts share the caller's body";
    EXPECT_EQ(forwarded.header("Host"), "h");
    EXPECT_EQ(forwarded.header("Request-Id"), "r1");
    EXPECT_EQ(forwarded.header("X-Own"), "1");
    EXPECT_EQ(forwarded.header("Deadline-Ms"), "1500");
    EXPECT_EQ(forwarded.header("Expect-Instance"), "i-1");
    EXPECT_TRUE(forwarded.header("Connection").empty());
    EXPECT_TRUE(forwarded.header("Transfer-Encoding").empty());
}

TEST_F(codec_test, request_limit_of_an_answer_is_a_decimal_number) {
    const auto limit_of = [](const std::string& value) {
        return decode_answer_metadata({{"Server-Limit", value}}).request_limit;
    };
    EXPECT_EQ(limit_of("12.5"), 12.5);
    EXPECT_EQ(limit_of("3"), 3);
    EXPECT_EQ(limit_of("0"), 0);
    for (const char* const invalid :
         {"", "-1", "nan", "inf", "1e9", "2 ", "x"}) {
        EXPECT_FALSE(limit_of(invalid)) << invalid;
    }
    EXPECT_FALSE(decode_answer_metadata({}).request_limit);
}

// Guards against sizes in another form than expected that refuse a request or
// count as 0.
TEST(request_codec_test, unreadable_stated_size_is_left_out) {
    const auto stated = decode_stated_size(
        {{"Token-Usage", "120, 4096"}, {"Length-Hint", " long "}});
    EXPECT_EQ(stated.prompt_tokens, 120U);
    EXPECT_EQ(stated.max_output_tokens, 4096U);
    EXPECT_EQ(stated.length_hint, "long");
    for (const char* const text :
         {"", ",", "-1,x", "1.5,", "a", "99999999999999999999"}) {
        const auto unknown = decode_stated_size({{"Token-Usage", text}});
        EXPECT_FALSE(unknown.prompt_tokens) << text;
        EXPECT_FALSE(unknown.max_output_tokens) << text;
    }
}

TEST(settings_test, placement_by_cost_follows_contract_unless_set) {
    const std::string base(settings_text);
    const auto places = [&](const std::string& top, const std::string& end) {
        const auto settings = read_settings(top + base + end);
        return settings && settings->must_place_by_cost;
    };
    EXPECT_FALSE(places("", ""));
    EXPECT_FALSE(places("contracts = [\"other\", 3]\n", ""));
    EXPECT_TRUE(places("contracts = [\"pressure\"]\n", ""));
    EXPECT_FALSE(places("contracts = [\"pressure\"]\n",
                        "\n[placement]\nby_cost = false\n"));
    EXPECT_TRUE(places("", "\n[placement]\nby_cost = true\n"));
}

TEST_F(codec_test, calls_about_jobs_are_decoded) {
    http_request read{.target = "/savorydock/lots/j1?after=12",
                      .headers = {{"Wait-Ms", "1000"}}};
    const auto results = decode_job_call(read);
    ASSERT_TRUE(results);
    EXPECT_EQ(std::get<read_results_call>(*results).first, 12U);
    EXPECT_EQ(std::get<read_results_call>(*results).wait, 1s);
    const auto item =
        decode_job_call({.target = "/savorydock/items/j1?id=i%3A"});
    ASSERT_TRUE(item);
    EXPECT_EQ(std::get<read_item_call>(*item).item, "i:");
    const auto end =
        decode_job_call({.method = "DELETE", .target = "/savorydock/lots/j1"});
    ASSERT_TRUE(end);
    EXPECT_TRUE(std::holds_alternative<end_job_call>(*end));
    EXPECT_FALSE(decode_job_call({.target = "/a/savorydock/lots/j1"}));
}

TEST_F(codec_test, submission_decodes_items_bodies_and_scoring) {
    const auto job = decode_submission(
        job_id("j"), "h",
        R"({"step":7,"model":"m","min_version":6,"target_groups":12,"items":[
            {"id":"i","path":"/p/1","headers":{"Model":"m",
             "Token-Usage":"540,400","Length-Hint":"120"},"body":"q83vEjRWeJA=",
             "tokens":940,"group":"g","scorer_url":{"id":"s","host":"h",
             "path":"/q","body":"3q2+7w=="}}]})");
    ASSERT_TRUE(job) << job.reason().detail;
    EXPECT_EQ(job->min_version, 6U);
    ASSERT_EQ(job->items.size(), 1U);
    EXPECT_EQ(job->items[0].prompt_tokens, 540U);
    EXPECT_EQ(job->items[0].max_tokens, 400U);
    EXPECT_EQ(job->items[0].expected_tokens, 120U);
    EXPECT_EQ(job->items[0].body.size(), 8U);
    EXPECT_EQ(job->items[0].scoring->body.size(), 4U);
}

TEST_F(codec_test, submission_with_faults_is_refused) {
    for (const char* const text :
         {"", "{}", R"({"items":{}})", R"({"items":[1]})",
          R"({"items":[{"id":"i"}]})",
          R"({"items":[{"id":"i","path":"/p","body":"%%%%"}]})",
          R"({"items":[{"id":"i","path":"/p","scorer_url":{"id":"s"}}]})"}) {
        EXPECT_FALSE(decode_submission(job_id("j"), "h", text)) << text;
    }
}

TEST_F(codec_test, result_page_holds_rows_that_name_their_items) {
    const std::string row = encode_result({.item = item_id("i"),
                                           .is_completed = true,
                                           .text = "a\nb",
                                           .versions = {6, 7},
                                           .score = "sig"});
    EXPECT_EQ(row.find('\n'), std::string::npos);
    const auto item = decode_result_item(row);
    ASSERT_TRUE(item);
    EXPECT_EQ(*item, item_id("i"));
    const std::vector<std::string> rows{row};
    const std::string page = encode_result_page(40, 13, rows);
    EXPECT_NE(page.find(R"("total":40,"next_token":13)"), std::string::npos);
    EXPECT_NE(page.find(R"("versions":[6,7])"), std::string::npos);
    EXPECT_EQ(encode_result({.item = item_id("i")}).find("versions"),
              std::string::npos);
}

// Rolling upgrade: the rows that this build lists are those that the previous
// build writes and reads.
TEST_F(codec_test, row_has_the_bytes_that_the_previous_build_writes) {
    EXPECT_EQ(encode_result({.item = item_id("i"),
                             .is_completed = true,
                             .text = "a\n\xc3\xa9",
                             .versions = {6, 7},
                             .score = "sig"}),
              "{\"id\":\"i\",\"state\":\"completed\",\"text\":\"a\\n\xc3\xa9\","
              "\"versions\":[6,7],\"score\":\"sig\"}");
    EXPECT_EQ(encode_result({.item = item_id("i")}),
              R"({"id":"i","state":"lost","text":""})");
}

// Guards against a listed item that is taken for unlisted: a row that can't be
// decoded has an item all the same.
TEST_F(codec_test, row_without_an_item_is_an_error) {
    for (const char* const row : {"", "x", "[]", "{}", R"({"id":7})",
                                  R"({"id":""})", "{\"id\":\"a\xff\"}"}) {
        const auto item = decode_result_item(row);
        ASSERT_FALSE(item) << row;
        EXPECT_EQ(item.reason().code, result_code::invalid_document);
    }
}

TEST_F(codec_test, event_lines_give_number_data_and_version) {
    const auto event =
        decode_item_event("weight-versions: 7\nid: 3\ndata: a\ndata:b");
    EXPECT_EQ(event.version, 7U);
    EXPECT_EQ(event.number, 3U);
    EXPECT_EQ(event.data, "a\nb");
    EXPECT_FALSE(decode_item_event(": comment").number);
}

TEST_F(codec_test, store_statuses_distinguish_refused_from_unanswered) {
    struct row {
        unsigned status;
        result_code code;
    };
    for (const row& expected : {row{429, result_code::store_refused},
                                row{503, result_code::store_refused},
                                row{500, result_code::store_unanswered},
                                row{410, result_code::store_history_gone}}) {
        const auto result = decode_range({.status = expected.status});
        ASSERT_FALSE(result);
        EXPECT_EQ(result.reason().code, expected.code) << expected.status;
    }
    EXPECT_EQ(decode_transaction({.status = 404}).reason().code,
              result_code::lease_not_held);
    EXPECT_EQ(decode_lease_renewal({.status = 404}).reason().code,
              result_code::lease_not_held);
    const auto absent = decode_key({.status = 404});
    ASSERT_TRUE(absent);
    EXPECT_FALSE(*absent);
    EXPECT_FALSE(decode_range({.status = 200, .body = "no json"}));
}

// Guards against an item that reaches an engine under another id.
TEST_F(codec_test, headers_set_by_the_instance_are_not_taken_from_an_item) {
    const http_request request =
        make_item_request("i", "h", "/p",
                          {{"request-id", "other"},
                           {"HOST", "other"},
                           {"Last-Event-Id", "9"},
                           {"Content-Length", "0"},
                           {"Model", "m"}},
                          "body", {.upstream = upstream_id("u")});
    std::vector<std::string> values;
    for (const http_header& header : request.headers) {
        values.push_back(header.name + '=' + header.value);
    }
    EXPECT_EQ(values,
              (std::vector<std::string>{"Host=h", "Request-Id=i", "Model=m",
                                        "Expect-Instance=u"}));
}

// Only two statuses promise that a call had no effect.
TEST_F(codec_test, store_status_tells_the_effect_of_a_call) {
    for (const unsigned status : {429U, 503U}) {
        EXPECT_EQ(effect_of({.status = status}), call_effect::none) << status;
    }
    for (const unsigned status : {500U, 502U, 504U}) {
        EXPECT_EQ(effect_of({.status = status}), call_effect::possible)
            << status;
    }
    for (const unsigned status : {200U, 404U, 410U, 412U}) {
        EXPECT_EQ(effect_of({.status = status}), call_effect::answered)
            << status;
    }
}

TEST_F(codec_test, failed_condition_returns_the_current_items) {
    const auto result = decode_transaction(
        {.status = 412,
         .body = R"({"items":[{"key":"k","value":"bm9kZS0x","revision":9}]})"});
    ASSERT_TRUE(result);
    const auto& conflict = std::get<transaction_conflict>(*result);
    ASSERT_EQ(conflict.current.size(), 1U);
    EXPECT_EQ(conflict.current[0].value, "node-1");
    EXPECT_EQ(conflict.current[0].modified, 9U);
}

TEST_F(codec_test, order_answers_are_distinguished) {
    EXPECT_EQ(decode_order_answer({.status = 202}), order_answer::accepted);
    EXPECT_EQ(decode_order_answer({.status = 200}),
              order_answer::already_holds);
    EXPECT_EQ(decode_order_answer({.status = 409}), order_answer::conflict);
    EXPECT_EQ(decode_order_answer({.status = 412}), order_answer::fenced_off);
    EXPECT_EQ(decode_order_answer({.status = 421}),
              order_answer::wrong_upstream);
    EXPECT_EQ(decode_order_answer({.status = 500}), order_answer::unknown);
    const auto order = make_version_order({.upstream = upstream_id("i"),
                                           .model = "m",
                                           .version = 2,
                                           .holder = "n",
                                           .fencing = 41,
                                           .expected_orders = 3});
    EXPECT_EQ(order.header("Expect-Instance"), "i");
    EXPECT_NE(order.body.find(R"("expected":3)"), std::string::npos);
}

// A number of slots divides: it must not become 0 when it is stored.
TEST_F(codec_test, upstream_entry_with_slots_out_of_range_is_refused) {
    const auto decode = [](const std::string& slots) {
        return decode_upstream(
            "servers/i",
            R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":)" +
                slots + R"(,"version":"v","state":"ready","born":5})");
    };
    for (const char* const slots :
         {"0", "-1", "1.5", "4294967296", "18446744073709551615",
          "18446744073709551616", "1e19", "1e400", "-1e400", "\"8\"", "null",
          "true", "[8]", "[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[[8]", "NaN"}) {
        EXPECT_FALSE(decode(slots)) << slots;
    }
    for (const char* const slots : {"8", "8.0", "8e0"}) {
        const auto entry = decode(slots);
        ASSERT_TRUE(entry) << slots;
        EXPECT_EQ(entry->slots, 8U);
    }
    EXPECT_EQ(decode("4294967295")->slots, UINT32_MAX);
}

TEST_F(codec_test, configured_numbers_out_of_range_are_capped) {
    const auto decode = [](const std::string& number) {
        return decode_configuration(
            R"({"version":1,"routes":[{"host":"h","prefix":"/",)"
            R"("route_type":"safe","timeout_ms":)" +
                number + R"(,"queue_ttl_s":)" + number +
                R"(,"backends":[{"service":"s","weight":)" + number +
                R"(}]}],"limits":{"max_body_bytes":)" + number + "}}",
            1);
    };
    const route_rule defaults;
    const caller_bounds bounds;
    for (const char* const number : {"4294967296", "18446744073709551615"}) {
        const auto large = decode(number);
        ASSERT_TRUE(large);
        EXPECT_EQ(large->routes[0].services[0].weight, UINT32_MAX);
        EXPECT_EQ(large->bounds.max_body_bytes, UINT32_MAX);
        EXPECT_GE(large->routes[0].timeout, 4'294'967'296ms);
        EXPECT_LE(large->routes[0].timeout, std::chrono::hours(24 * 365));
        EXPECT_EQ(large->routes[0].batch_time_to_live,
                  std::chrono::hours(24 * 365));
    }
    const auto longest = decode("1e300");
    ASSERT_TRUE(longest);
    EXPECT_EQ(longest->routes[0].timeout, std::chrono::hours(24 * 365));
    const auto negative = decode("-1e300");
    ASSERT_TRUE(negative);
    EXPECT_EQ(negative->routes[0].timeout, defaults.timeout);
    EXPECT_EQ(negative->routes[0].batch_time_to_live,
              defaults.batch_time_to_live);
    EXPECT_EQ(negative->routes[0].services[0].weight, 1U);
    EXPECT_EQ(negative->bounds.max_body_bytes, bounds.max_body_bytes);
}

// A caller that waits for any length of time must not get a timeout at once.
TEST_F(codec_test, longest_wait_of_a_caller_is_not_negative) {
    for (const char* const wait :
         {"9223372036854775807", "9223372036854775808", "18446744073709551615",
          "9223372036854775"}) {
        const auto call = decode_call({.headers = {{"Deadline-Ms", wait}}});
        ASSERT_TRUE(call.max_wait);
        EXPECT_EQ(*call.max_wait, std::chrono::hours(24 * 365)) << wait;
        const auto read = decode_job_call({.method = "GET",
                                           .target = "/savorydock/lots/j",
                                           .headers = {{"Wait-Ms", wait}}});
        ASSERT_TRUE(read);
        EXPECT_EQ(std::get<read_results_call>(*read).wait,
                  std::chrono::hours(24 * 365));
    }
}

// No other entry depends on such a one, and nobody connects to it.
TEST_F(codec_test, upstream_entry_of_another_writer_is_refused) {
    const std::string good =
        R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":8,)"
        R"("version":"v1","state":"ready","born":5,"sequence":4,)"
        R"("cold_left_ms":1.5})";
    ASSERT_TRUE(decode_upstream("servers/i", good));
    for (const auto& [from, to] :
         std::vector<std::pair<std::string, std::string>>{
             {":80", ":0"},
             {":80", ":65536"},
             {":80", ":-1"},
             {":80", ":4294967376"},
             {":80", ":80 "},
             {":80", ""},
             {"10.0.0.9", R"(10.0.0.9\u0000)"},
             {"10.0.0.9", "0.0.0.0"},
             {"\"s\"", "\"\""},
             {"\"s\"", R"("s\n")"},
             {"\"v1\"", R"("v\r\nX: 1")"},
             {"\"a\"", R"("a\u0000")"},
             {":5,", ":5.5,"},
             {":5,", ":-5,"},
             {":5,", ":\"5\","},
             {":5,", ":18446744073709551616,"},
             {":4,", ":\"4\","},
             {":1.5", ":[]"}}) {
        std::string bad = good;
        bad.replace(bad.find(from), from.size(), to);
        ASSERT_NE(bad, good);
        EXPECT_FALSE(decode_upstream("servers/i", bad)) << bad;
    }
    for (const std::string& key :
         {std::string("servers/"), std::string("servers/a\r\nX: 1"),
          std::string("servers/a\0b", 11), std::string("server"),
          std::string()}) {
        EXPECT_FALSE(decode_upstream(key, good)) << key;
    }
}

TEST_F(codec_test, unreadable_item_of_a_list_does_not_hide_the_others) {
    const std::string rows = R"([{"key":"a","value":"YWJj","revision":1},)"
                             R"({"key":"b","value":"?","revision":2},)"
                             R"({"key":"c","value":"abc","revision":3},)"
                             R"({"value":"YWJj","revision":4},7,{"key":5},)"
                             R"({"key":"d","value":"YWJj","revision":5}])";
    const auto page = decode_range(
        {.status = 200,
         .body = R"({"has_more":true,"current_rev":9,"items":)" + rows + '}'});
    ASSERT_TRUE(page) << page.reason().detail;
    ASSERT_EQ(page->values.size(), 4U);
    EXPECT_EQ(page->values[0].value, "abc");
    EXPECT_EQ(page->values[1].value, "");
    EXPECT_EQ(page->values[1].modified, 2U);
    EXPECT_EQ(page->values[3].value, "abc");
    EXPECT_EQ(page->unreadable, 5U);
    EXPECT_TRUE(page->has_more);
    const auto watch = decode_watch(
        {.status = 200, .body = R"({"current_rev":9,"events":)" + rows + '}'});
    ASSERT_TRUE(watch) << watch.reason().detail;
    ASSERT_EQ(watch->changes.size(), 4U);
    EXPECT_EQ(watch->changes[3].value.value, "abc");
    EXPECT_EQ(watch->unreadable, 5U);
    EXPECT_EQ(watch->revision, 9U);
}

// Another writer's key may hold half of a surrogate pair, escaped or not.
TEST_F(codec_test, key_that_is_not_unicode_does_not_hide_other_items) {
    for (const char* const key :
         {R"(\ud800)", R"(\udc00)", R"(\uD83D\u0041)", R"(\ud83d\ud83d)",
          R"(\ud83d\n)", R"(\\\ud800)", "\xff", "\xed\xa0\x80",
          R"(\ud83d\ude00)"}) {
        const auto page = decode_range(
            {.status = 200,
             .body = R"({"items":[{"key":")" + std::string(key) +
                     R"(","value":"YWJj"},{"key":"b","value":"YWJj"}]})"});
        ASSERT_TRUE(page) << key;
        ASSERT_EQ(page->values.size(), 2U);
        EXPECT_EQ(page->values[1].key, "b");
        EXPECT_EQ(page->values[1].value, "abc");
    }
    const auto pair = decode_key(
        {.status = 200,
         .body = R"({"key":"\ud83d\ude00\u0041\\ud800","value":""})"});
    ASSERT_TRUE(pair);
    EXPECT_EQ((*pair)->key, "\xf0\x9f\x98\x80"
                            "A\\ud800");
}

// Guards against keys that reach an upstream, and organisations that callers
// name themselves.
TEST_F(codec_test, credentials_of_callers_are_replaced_by_the_organisation) {
    const http_headers headers{
        {"authorization", "Bearer k"}, {"TENANT", "forged"}, {"X", "y"}};
    const auto has_another = [](const http_request& request) {
        return std::any_of(request.headers.begin(), request.headers.end(),
                           [](const http_header& header) {
                               return header.value == "Bearer k" ||
                                      header.value == "forged";
                           });
    };
    for (const std::string& name : {std::string(), std::string("a")}) {
        const forwarding_metadata metadata{.upstream = upstream_id("u"),
                                           .last_event = 1,
                                           .organisation =
                                               organisation_id(name),
                                           .strips_credentials = true};
        for (const http_request& request :
             {forward_request({.headers = headers}, metadata),
              make_item_request("i", "h", "/p", headers, "", metadata)}) {
            EXPECT_FALSE(has_another(request));
            EXPECT_EQ(request.header("Tenant"), name);
            EXPECT_EQ(request.header("X"), "y");
        }
    }
    const http_request unchanged =
        forward_request({.headers = headers}, {.upstream = upstream_id("u")});
    EXPECT_EQ(unchanged.header("Authorization"), "Bearer k");
    EXPECT_EQ(unchanged.header("Tenant"), "forged");
}

TEST_F(codec_test, key_of_a_caller_is_one_bearer_token) {
    const auto key_in = [](http_headers headers) {
        const http_request request{.headers = std::move(headers)};
        const auto key = decode_key(request);
        return key ? std::optional<std::string>(*key) : std::nullopt;
    };
    EXPECT_EQ(key_in({{"Authorization", "Bearer k"}}), "k");
    EXPECT_EQ(key_in({{"authorization", "bearer  k"}}), "k");
    EXPECT_EQ(key_in({}), std::nullopt);
    for (const char* const value : {"k", "Basic k", "Bearer", "Bearer "}) {
        EXPECT_EQ(key_in({{"Authorization", value}}), "") << value;
    }
    EXPECT_EQ(
        key_in({{"Authorization", "Bearer k"}, {"Authorization", "Bearer l"}}),
        "");
}
