#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

struct http_header {
    std::string name;
    std::string value;
};

using http_headers = std::vector<http_header>;

/// Returns the value of the first header with that name (case-insensitive),
/// or an empty string. Thread safe.
[[nodiscard]] std::string_view find_header(const http_headers& headers,
                                           std::string_view name);

/// Whether the text can be written as the target of a request: it is not empty
/// and has no spaces or control characters. Thread safe.
[[nodiscard]] bool is_valid_target(std::string_view text);

/// Whether the text is a token. Thread safe.
[[nodiscard]] bool is_valid_header_name(std::string_view text);

/// Whether the text has no control characters besides tabs. Thread safe.
[[nodiscard]] bool is_valid_header_value(std::string_view text);

struct http_request {
    std::string method = "GET";
    /// The path and the query.
    std::string target = "/";
    http_headers headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const {
        return find_header(headers, name);
    }
    /// Returns the target without its query.
    [[nodiscard]] std::string_view path() const {
        return std::string_view(target).substr(0, target.find('?'));
    }
};

/// Whether a reader of the written request sees exactly this request. Thread
/// safe.
[[nodiscard]] bool is_representable(const http_request& request);

struct http_response {
    unsigned status = 200;
    http_headers headers;
    std::string body;

    [[nodiscard]] std::string_view header(std::string_view name) const {
        return find_header(headers, name);
    }
};

} // namespace savorydock
