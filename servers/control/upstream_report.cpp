#include "servers/control/upstream_report.hpp"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

namespace savorydock {

namespace {

namespace json = boost::json;

std::uint64_t read_number(const json::object& object, std::string_view name) {
    const json::value* const found = object.if_contains(name);
    if (found == nullptr) {
        return 0;
    }
    boost::system::error_code error;
    const auto number = found->to_number<std::uint64_t>(error);
    return error ? 0 : number;
}

} // namespace

outcome<upstream_report> parse_upstream_report(std::string_view text) {
    boost::system::error_code error;
    const json::value parsed = json::parse(text, error);
    const json::object* object = error ? nullptr : parsed.if_object();
    if (object != nullptr && object->contains("state")) {
        object = object->at("state").if_object();
    }
    if (object == nullptr || !object->contains("version")) {
        return failure{result_code::invalid_json, "not an upstream's state"};
    }
    upstream_report report{
        .version = read_number(*object, "version"),
        .loading = read_number(*object, "loading"),
        .fencing = read_number(*object, "fencing"),
        .load =
            read_number(*object, "running") + read_number(*object, "waiting"),
    };
    const json::value* const role = object->if_contains("role");
    if (role != nullptr && role->is_string()) {
        report.role = role->as_string().c_str();
    }
    return report;
}

bool is_store_busy(std::string_view body) {
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    const json::object* const object = error ? nullptr : parsed.if_object();
    const json::value* const reason =
        object == nullptr ? nullptr : object->if_contains("error");
    return reason != nullptr && reason->is_string() &&
           reason->as_string() == "store_busy";
}

} // namespace savorydock
