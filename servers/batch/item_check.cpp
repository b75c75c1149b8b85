#include "servers/batch/item_check.hpp"

namespace savorydock {

namespace {

failure invalid(const std::string& item, const char* what) {
    return {result_code::invalid_document, "item " + item + ": " + what};
}

bool is_valid_path(std::string_view path) {
    return path.starts_with('/') && is_valid_target(path);
}

} // namespace

outcome<done> check_items(const batch_job& job) {
    for (std::size_t at = 0; at < job.items.size(); ++at) {
        const batch_item& item = job.items[at];
        const std::string number = std::to_string(at);
        if (item.id.is_empty() || !is_valid_header_value(item.id.text())) {
            return invalid(number, "the id is empty or not a header value");
        }
        if (!is_valid_path(item.path)) {
            return invalid(number, "the path is not a path of a request");
        }
        for (const http_header& header : item.headers) {
            if (!is_valid_header_name(header.name) ||
                !is_valid_header_value(header.value)) {
                return invalid(number, "a header's name or value is invalid");
            }
        }
        const auto& scoring = item.scoring;
        if (scoring && (!is_valid_path(scoring->path) ||
                        !is_valid_header_value(scoring->id) ||
                        !is_valid_header_value(scoring->host))) {
            return invalid(number, "the scoring call's id, host or path is "
                                   "invalid");
        }
    }
    return done{};
}

} // namespace savorydock
