#include "core/base64.hpp"
#include "platform/batch_codec.hpp"
#include "platform/configuration_codec.hpp"
#include "platform/order_codec.hpp"
#include "platform/request_codec.hpp"
#include "platform/settings_file.hpp"
#include "platform/store_codec.hpp"

#include <boost/json.hpp>
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

using namespace savorydock;
using namespace savorydock::platform;

namespace {

constexpr std::chrono::hours longest{24 * 365};

const std::string upstream_text =
    R"({"service":"s","address":"10.0.0.9:80","zone":"a","slots":8,)"
    R"("version":"v1","state":"ready","sequence":4,"born":1700000000000,)"
    R"("cold_left_ms":12.5,"models":[{"name":"m","version":3}]})";

const std::string configuration_text =
    R"({"version":7,"routes":[{"name":"r","host":"h","prefix":"/a/",)"
    R"("route_type":"rollout","timeout_ms":2000,"target_latency_ms":150,)"
    R"("priority":2,"max_attempts":3,"run_target_ms":7500,"queue_ttl_s":40,)"
    R"("backends":[{"service":"s1","weight":90}],"single_version":true}],)"
    R"("services":[{"name":"e","max_conns":150,"engine":{"slots":8,)"
    R"("kv_token_cap":72728,"stride":51,"models":[{"name":"m"}]}}],)"
    R"("limits":{"max_body_bytes":99,"idle_timeout_ms":15000}})";

const std::string submission_text =
    R"({"step":7,"model":"m","min_version":6,"target_groups":12,"items":[)"
    R"({"id":"i","path":"/p","headers":{"Token-Usage":"540,400","N":1},)"
    R"("body":"q83vEjRWeJA=","tokens":940,"group":"g",)"
    R"("scorer_url":{"id":"j","host":"h","path":"/s","body":"YWJj"}}]})";

const std::string items_text =
    R"({"items":[{"key":"a","value":"YWJj","revision":4,"created":2,)"
    R"("lease":0}],"events":[{"key":"b","revision":5,"removed":true},)"
    R"({"key":"c","value":"YWJj","revision":6}],"has_more":false,)"
    R"("current_rev":9,"lease":3,"ttl_ms":1500,"revision":4,"key":"a",)"
    R"("value":"YWJj"})";

const std::string report_text =
    R"({"stage":"both","busy":false,"sequence":2,"num_waiting":1,)"
    R"("num_running":12})";

/// Values that replace a member of a document.
const std::vector<std::string> odd_values{"0",
                                          "-1",
                                          "1.5",
                                          "-0.0",
                                          "1e400",
                                          "-1e400",
                                          "1e300",
                                          "-1e300",
                                          "1e-400",
                                          "4294967295",
                                          "4294967296",
                                          "9223372036854775807",
                                          "9223372036854775808",
                                          "-9223372036854775808",
                                          "-9223372036854775809",
                                          "18446744073709551615",
                                          "18446744073709551616",
                                          "1e19",
                                          "99999999999999999999999999",
                                          "null",
                                          "true",
                                          "\"\"",
                                          "\"8\"",
                                          "[]",
                                          "{}",
                                          "[[]]",
                                          R"({"a":{}})",
                                          "[1,2]",
                                          R"("\u0000")",
                                          R"("\n\r")",
                                          R"("\ud800")",
                                          "\"\xff\"",
                                          "NaN",
                                          "Infinity",
                                          R"("10.0.0.1:0")",
                                          R"("10.0.0.1:65536")",
                                          R"("[::]:1")",
                                          std::string(40, '['),
                                          std::string(3000, '['),
                                          std::string(31, '[') +
                                              std::string(31, ']')};

/// The places of values in a document: what follows each colon, comma or
/// bracket, up to the next one.
std::vector<std::pair<std::size_t, std::size_t>>
places_of(const std::string& text) {
    std::vector<std::pair<std::size_t, std::size_t>> places;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const std::size_t end = text.find_first_of(",]}", at + 1);
        if (std::string_view(":[,").find(text[at]) != std::string_view::npos &&
            end != std::string::npos) {
            places.emplace_back(at + 1, end - at - 1);
        }
    }
    return places;
}

/// A valid document with one to three changes.
std::string mutate(std::string text) {
    const int changes = *rc::gen::inRange(1, 4);
    for (int change = 0; change < changes; ++change) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size() + 1);
        switch (*rc::gen::inRange(0, 6)) {
        case 0:
            text.resize(at);
            break;
        case 1:
            text.insert(at, *rc::gen::arbitrary<std::string>());
            break;
        case 2:
            text.insert(at, text.substr(0, at));
            break;
        default: {
            const auto places = places_of(text);
            if (!places.empty()) {
                const auto [begin, size] = *rc::gen::elementOf(places);
                text.replace(begin, size, *rc::gen::elementOf(odd_values));
            }
        }
        }
    }
    return text;
}

bool is_duration(std::chrono::milliseconds time) {
    return time >= time.zero() && time <= longest;
}

bool is_printable(const std::string& text) {
    return std::all_of(text.begin(), text.end(), [](unsigned char character) {
        return character >= 0x20 && character != 0x7f;
    });
}

} // namespace

RC_GTEST_PROP(codec_fuzz_test, upstream_entries_are_refused_or_usable, ()) {
    const auto entry = decode_upstream("servers/i", mutate(upstream_text));
    RC_ASSERT(entry || entry.reason().code == result_code::invalid_document);
    if (entry) {
        RC_ASSERT(entry->slots > 0U);
        RC_ASSERT(entry->address.port > 0U);
        RC_ASSERT(is_printable(entry->service.text()));
        RC_ASSERT(!entry->service.is_empty());
        RC_ASSERT(is_printable(entry->address.address));
        RC_ASSERT(is_printable(entry->software.text()));
        RC_ASSERT(is_printable(entry->zone.text()));
    }
}

RC_GTEST_PROP(codec_fuzz_test, upstream_keys_are_refused_or_usable, ()) {
    const auto key = *rc::gen::arbitrary<std::string>();
    const auto entry = decode_upstream("servers/" + key, upstream_text);
    RC_ASSERT(entry.has_value() == (!key.empty() && is_printable(key)));
    static_cast<void>(decode_upstream(key, upstream_text));
    static_cast<void>(decode_wanted_version(key, upstream_text));
    static_cast<void>(decode_retirement(key));
}

RC_GTEST_PROP(codec_fuzz_test, configurations_have_bounded_durations, ()) {
    const auto decoded = decode_configuration(mutate(configuration_text), 1);
    if (!decoded) {
        return;
    }
    RC_ASSERT(is_duration(decoded->bounds.idle_timeout));
    RC_ASSERT(is_duration(decoded->bounds.header_timeout));
    for (const route_rule& route : decoded->routes) {
        RC_ASSERT(is_duration(route.timeout));
        RC_ASSERT(is_duration(route.target_latency));
        RC_ASSERT(is_duration(route.batch_target));
        RC_ASSERT(is_duration(route.batch_time_to_live));
    }
}

RC_GTEST_PROP(codec_fuzz_test, submissions_results_and_reports_are_safe, ()) {
    const std::string text = mutate(submission_text);
    static_cast<void>(decode_submission(job_id("j"), "h", text));
    static_cast<void>(decode_result_item(mutate(submission_text)));
    static_cast<void>(decode_item_event(text));
    static_cast<void>(
        decode_load({.status = 200, .body = mutate(report_text)}));
    static_cast<void>(
        decode_wanted_version("op/version/m", mutate(upstream_text)));
}

RC_GTEST_PROP(codec_fuzz_test, answers_of_the_store_are_safe, ()) {
    const http_response response{.status = 200, .body = mutate(items_text)};
    const auto page = decode_range(response);
    RC_ASSERT(page || page.reason().code == result_code::bad_frame);
    static_cast<void>(decode_watch(response));
    static_cast<void>(decode_key(response));
    static_cast<void>(decode_transaction(response));
    static_cast<void>(
        decode_transaction({.status = 412, .body = response.body}));
    if (const auto lease = decode_lease(response)) {
        RC_ASSERT(is_duration(lease->time_to_live));
    }
}

// A list whose items have any values is read completely.
RC_GTEST_PROP(codec_fuzz_test, sound_items_among_odd_ones_are_read, ()) {
    namespace json = boost::json;
    const std::string odd = *rc::gen::elementOf(odd_values);
    json::error_code error;
    static_cast<void>(json::parse(odd, error));
    RC_PRE(!error);
    const auto field = *rc::gen::element<std::string>(
        "key", "value", "revision", "created", "lease", "removed");
    const std::string rows = R"([{"key":"a","value":"YWJj"},{"key":"k",")" +
                             field + "\":" + odd + "}," + odd +
                             R"(,{"key":"z","value":"YWJj"}])";
    const auto page =
        decode_range({.status = 200, .body = R"({"items":)" + rows + '}'});
    RC_ASSERT(page.has_value());
    RC_ASSERT(page->values.front().key == "a");
    RC_ASSERT(page->values.back().key == "z");
    const auto watch =
        decode_watch({.status = 200, .body = R"({"events":)" + rows + '}'});
    RC_ASSERT(watch.has_value());
    RC_ASSERT(watch->changes.back().value.key == "z");
}

RC_GTEST_PROP(codec_fuzz_test, headers_of_callers_are_safe, ()) {
    const auto value = *rc::gen::oneOf(rc::gen::arbitrary<std::string>(),
                                       rc::gen::elementOf(odd_values));
    const auto target = *rc::gen::oneOf(
        rc::gen::arbitrary<std::string>(),
        rc::gen::just(std::string("/savorydock/lots/j?after=99999999999999")),
        rc::gen::just(std::string("/savorydock/items/j?id=%ff%00")));
    const http_request request{.method = "GET",
                               .target = target,
                               .headers = {{"Deadline-Ms", value},
                                           {"Wait-Ms", value},
                                           {"Last-Event-Id", value}}};
    const auto call = decode_call(request);
    RC_ASSERT(is_duration(call.max_wait.value_or(longest)));
    if (const auto job = decode_job_call(request)) {
        if (const auto* const read = std::get_if<read_results_call>(&*job)) {
            RC_ASSERT(is_duration(read->wait));
        }
    }
    const auto answer = decode_answer_metadata({{"Weight-Versions", value},
                                                {"Server-Limit", value},
                                                {"Server-Leaving", value}});
    RC_ASSERT(answer.request_limit.value_or(0) >= 0);
}

RC_GTEST_PROP(codec_fuzz_test, settings_files_are_read_or_refused, ()) {
    static_cast<void>(read_settings(
        mutate("node_name = \"n\"\nzone = \"a\"\nip = \"10.0.0.1\"\n"
               "internal_ports = [7000]\n[bounds]\ngrace_s = 8\n"
               "[platform]\naddress = \"10.0.0.2:9\"\n")));
}

RC_GTEST_PROP(codec_fuzz_test, base64_returns_to_itself_or_is_refused, ()) {
    const auto text = *rc::gen::arbitrary<std::string>();
    const auto decoded = from_base64(to_base64(text));
    RC_ASSERT(decoded.has_value());
    RC_ASSERT(*decoded == text);
    static_cast<void>(from_base64(text));
}
