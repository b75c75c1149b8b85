#pragma once

#include "core/outcome.hpp"
#include "servers/platform/platform_message.hpp"

#include <string>
#include <string_view>

namespace savorydock {

/// A request in the published JSON gateway form of the etcd v3 API.
struct gateway_call {
    std::string path;
    std::string body;
};

/// Returns the first key after all that begin with `prefix`. Thread safe.
[[nodiscard]] std::string end_of_prefix(std::string prefix);

/// Returns the gateway's form of a request. Thread safe.
[[nodiscard]] gateway_call encode_gateway_call(const platform_request& request);

/// Reads the body of an answer to any request but a watch.
/// Errors: `lease_not_held` if the store knows no such lease, else
/// `platform_unreachable`. Thread safe.
[[nodiscard]] outcome<platform_answer>
decode_gateway_answer(const platform_request& request, unsigned status,
                      std::string_view body);

/// What one message of a watch's stream says.
struct watch_frame {
    platform_answer answer;
    /// The store ended the watch; there will be no more messages.
    bool is_cancelled = false;

    [[nodiscard]] bool has_news() const {
        return !answer.values.empty() || !answer.deleted.empty() ||
               answer.is_compacted;
    }
};

/// Reads one message of a watch's stream.
/// Errors: `platform_unreachable`. Thread safe.
[[nodiscard]] outcome<watch_frame> decode_watch_frame(std::string_view text);

} // namespace savorydock
