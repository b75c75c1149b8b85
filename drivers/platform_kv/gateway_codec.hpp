#pragma once

#include "core/outcome.hpp"
#include "servers/platform/platform_message.hpp"

#include <string>
#include <string_view>

namespace savorydock {

/// A request in the form of the published JSON gateway of the etcd v3 API.
struct gateway_call {
    std::string path;
    std::string body;
};

/// Returns the first key after all keys that begin with `prefix`. Thread safe.
[[nodiscard]] std::string end_of_prefix(std::string prefix);

/// Encodes a request for the gateway. Thread safe.
[[nodiscard]] gateway_call encode_gateway_call(const platform_request& request);

/// Decodes the response to any request except a watch.
/// Errors: `lease_not_held` if the lease doesn't exist, otherwise
/// `platform_unreachable`. Thread safe.
[[nodiscard]] outcome<platform_answer>
decode_gateway_answer(const platform_request& request, unsigned status,
                      std::string_view body);

/// One decoded message of a watch.
struct watch_frame {
    platform_answer answer;
    /// The store ended the watch; no more messages follow.
    bool is_cancelled = false;

    [[nodiscard]] bool has_changes() const {
        return !answer.values.empty() || !answer.deleted.empty() ||
               answer.is_compacted;
    }
};

/// Decodes one message of a watch.
/// Errors: `platform_unreachable`. Thread safe.
[[nodiscard]] outcome<watch_frame> decode_watch_frame(std::string_view text);

} // namespace savorydock
