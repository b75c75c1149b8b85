#include "core/http_message.hpp"

#include <boost/beast/core/string.hpp>

namespace savorydock {

std::string_view find_header(const http_headers& headers,
                             std::string_view name) {
    for (const http_header& header : headers) {
        if (boost::beast::iequals(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

} // namespace savorydock
