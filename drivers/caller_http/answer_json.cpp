#include "drivers/caller_http/answer_json.hpp"

#include <boost/json/serialize.hpp>

namespace savorydock {

namespace json = boost::json;

json::object to_json(const failure& reason) {
    return {
        {"code", static_cast<unsigned>(reason.code)},
        {"name", name_of(reason.code)},
        {"detail", reason.detail},
    };
}

json::array to_json(std::span<const version_range> ranges) {
    json::array list;
    for (const version_range& range : ranges) {
        json::object entry{{"first", range.first},
                           {"last", range.last},
                           {"version", range.version}};
        list.push_back(std::move(entry));
    }
    return list;
}

std::string to_server_sent_event(const json::object& body) {
    return "data: " + json::serialize(body) + "\n\n";
}

} // namespace savorydock
