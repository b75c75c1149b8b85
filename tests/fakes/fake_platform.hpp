#pragma once

#include "core/endpoint.hpp"
#include "core/outcome.hpp"
#include "drivers/http/http_server.hpp"
#include "drivers/http/traffic_pool.hpp"
#include "tests/fakes/fake_platform_store.hpp"

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

namespace savorydock {

/// An injected fault. `operation` selects the calls that it affects: range,
/// txn, lease, watch, or * for all.
struct platform_fault {
    std::string operation = "*";
    std::chrono::milliseconds delay{0};
    /// The call takes effect, but the connection is then reset without a
    /// response.
    bool drop_answer_after_effect = false;
    /// The call is rejected with status 503 and has no effect.
    bool refuse = false;
    /// A watch skips the changes it would send next and ends its stream.
    bool gap = false;
    /// The number of calls affected; 0 means all.
    std::uint32_t count = 0;
};

/// A test double for the platform's store. It serves the JSON gateway form of
/// the etcd v3 API over HTTP. Faults can be set while it runs:
///
///     POST /faults     adds one fault, or replaces all by a list
///     GET  /counts     number of calls by operation since the start
///
/// All methods are thread safe.
class fake_platform {
public:
    fake_platform();
    ~fake_platform();
    fake_platform(const fake_platform&) = delete;
    fake_platform& operator=(const fake_platform&) = delete;

    /// Starts serving; port 0 selects any free port. Errors:
    /// `invalid_settings`.
    [[nodiscard]] outcome<endpoint> listen(const endpoint& address);

    /// Adds a fault. The first of several faults that match a call applies.
    void add_fault(platform_fault fault);
    void clear_faults();

    /// The number of calls of an operation since the start, "*" for all. A
    /// watch counts as one call.
    [[nodiscard]] std::uint64_t calls(const std::string& operation) const;

    /// Reads the store directly, bypassing all faults.
    [[nodiscard]] std::optional<stored_value>
    find(const std::string& key) const;
    /// Writes to the store directly, bypassing all faults. Returns the revision
    /// of the write.
    store_revision put(const std::string& key, const std::string& value);
    void compact(store_revision revision);

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> handle_call(http_exchange& exchange,
                                             const std::string& operation);
    boost::asio::awaitable<void> stream_changes(http_exchange& exchange,
                                                const platform_fault& fault);
    http_response handle_control_request(const http_request& request);
    http_response execute(std::string_view path, const std::string& body);
    platform_fault consume_fault(const std::string& operation);

    mutable std::mutex mutex_;
    fake_platform_store store_;
    std::vector<platform_fault> faults_;
    std::map<std::string, std::uint64_t> counts_;
    traffic_pool pool_{1};
    http_server server_;
};

} // namespace savorydock
