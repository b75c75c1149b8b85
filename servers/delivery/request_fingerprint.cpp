#include "servers/delivery/request_fingerprint.hpp"

#include "servers/membership/stable_hash.hpp"

#include <sstream>

namespace savorydock {

std::string fingerprint_of(const http_request& request) {
    // The line feeds keep the parts apart: none of the parts contains one.
    const std::string head = std::string(request.header("Host")) + '\n' +
                             request.method + '\n' + request.target + '\n';
    std::ostringstream text;
    text << std::hex << stable_hash(request.body, stable_hash(head));
    return text.str();
}

} // namespace savorydock
