#include "core/endpoint.hpp"

#include <arpa/inet.h>
#include <charconv>

namespace savorydock {

namespace {

bool is_ip_address(const std::string& text) {
    in6_addr storage{};
    // The conversion ends at the first zero byte.
    if (text.find('\0') != std::string::npos) {
        return false;
    }
    return inet_pton(AF_INET, text.c_str(), &storage) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &storage) == 1;
}

} // namespace

outcome<endpoint> parse_endpoint(std::string_view text) {
    const failure malformed{result_code::invalid_document,
                            "an IP address and a port, such as 127.0.0.1:8080"};
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return malformed;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] =
        std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool is_port = error == std::errc() && !digits.empty() &&
                         end == digits.data() + digits.size();
    if (!is_port || !is_ip_address(std::string(host))) {
        return malformed;
    }
    return endpoint{.address = std::string(host), .port = port};
}

outcome<std::vector<endpoint>> parse_endpoints(std::string_view text) {
    std::vector<endpoint> endpoints;
    while (true) {
        const std::size_t comma = text.find(',');
        const auto one = parse_endpoint(text.substr(0, comma));
        if (!one) {
            return one.reason();
        }
        endpoints.push_back(*one);
        if (comma == std::string_view::npos) {
            return endpoints;
        }
        text.remove_prefix(comma + 1);
    }
}

std::string to_text(const endpoint& target) {
    const bool is_v6 = target.address.find(':') != std::string::npos;
    return (is_v6 ? '[' + target.address + ']' : target.address) + ':' +
           std::to_string(target.port);
}

} // namespace savorydock
