#include "drivers/tunnel/tunnel_preamble.hpp"

#include <array>

namespace savorydock {

namespace {

constexpr std::string_view protocol = "savorydock-tunnel/1";
constexpr std::size_t field_count = 4;

} // namespace

std::string encode_tunnel_request(const tunnel_request& request) {
    return std::string(protocol) + ' ' + request.key + ' ' +
           request.from.text() + ' ' + to_text(request.upstream) + '\n';
}

outcome<tunnel_request> parse_tunnel_request(std::string_view line) {
    if (line.size() >= max_tunnel_request_bytes) {
        return failure{result_code::invalid_document,
                       "the tunnel request is too long"};
    }
    std::array<std::string_view, field_count> fields;
    std::size_t count = 0;
    while (true) {
        const std::size_t end = line.find(' ');
        if (count == field_count || end == 0 || line.empty()) {
            return failure{result_code::invalid_document,
                           "the tunnel request has wrong fields"};
        }
        fields.at(count++) = line.substr(0, end);
        if (end == std::string_view::npos) {
            break;
        }
        line.remove_prefix(end + 1);
    }
    if (count != field_count || fields[0] != protocol) {
        return failure{result_code::invalid_document,
                       "the tunnel request has another protocol version"};
    }
    auto upstream = parse_endpoint(fields[3]);
    if (!upstream) {
        return upstream.reason();
    }
    return tunnel_request{.key = std::string(fields[1]),
                          .from = instance_id(std::string(fields[2])),
                          .upstream = std::move(*upstream)};
}

tunnel_answer parse_tunnel_answer(char byte) {
    const auto answer = static_cast<tunnel_answer>(byte);
    switch (answer) {
    case tunnel_answer::accepted:
    case tunnel_answer::busy:
    case tunnel_answer::unknown_upstream:
    case tunnel_answer::unreachable:
    case tunnel_answer::isolated:
        return answer;
    default:
        return tunnel_answer::malformed;
    }
}

std::string_view to_text(tunnel_answer answer) {
    switch (answer) {
    case tunnel_answer::accepted:
        return "accepted";
    case tunnel_answer::busy:
        return "busy";
    case tunnel_answer::unknown_upstream:
        return "unknown upstream";
    case tunnel_answer::unreachable:
        return "upstream unreachable";
    case tunnel_answer::isolated:
        return "peer isolated";
    case tunnel_answer::malformed:
        return "malformed";
    case tunnel_answer::none:
        break;
    }
    return "no answer";
}

} // namespace savorydock
