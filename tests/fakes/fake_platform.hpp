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

/// What goes wrong with calls of one kind. `operation` is range, txn, lease,
/// watch or * for all.
struct platform_fault {
    std::string operation = "*";
    std::chrono::milliseconds delay{0};
    /// The call takes effect and the connection is then reset.
    bool drop_answer_after_effect = false;
    /// The call is refused with status 503 and has no effect.
    bool refuse = false;
    /// A watch passes over the changes it should tell next, then ends.
    bool gap = false;
    /// How many calls it strikes; 0 means all.
    std::uint32_t count = 0;
};

/// A stand-in for the platform's store: the JSON gateway form of the etcd v3
/// API over HTTP, with faults that are set while it runs:
///
///     POST /faults     one fault, or a list that replaces all
///     GET  /counts     calls by kind since the start
///
/// All methods are thread safe.
class fake_platform {
public:
    fake_platform();
    ~fake_platform();
    fake_platform(const fake_platform&) = delete;
    fake_platform& operator=(const fake_platform&) = delete;

    /// Serves; port 0 takes any free port. Errors: `invalid_settings`.
    [[nodiscard]] outcome<endpoint> listen(const endpoint& address);

    /// Adds a fault. Of several that fit a call the first one strikes.
    void add_fault(platform_fault fault);
    void clear_faults();

    /// Calls of a kind since the start, "*" for all. A watch counts as one.
    [[nodiscard]] std::uint64_t calls(const std::string& operation) const;

    /// A direct look at the store, around all faults.
    [[nodiscard]] std::optional<stored_value>
    find(const std::string& key) const;
    /// A direct write, around all faults. Returns its revision.
    store_revision put(const std::string& key, const std::string& value);
    void compact(store_revision revision);

private:
    boost::asio::awaitable<void> handle(http_exchange& exchange);
    boost::asio::awaitable<void> handle_call(http_exchange& exchange,
                                             const std::string& operation);
    boost::asio::awaitable<void> stream_changes(http_exchange& exchange,
                                                const platform_fault& fault);
    http_response administer(const http_request& request);
    http_response carry_out(std::string_view path, const std::string& body);
    platform_fault take_fault(const std::string& operation);

    mutable std::mutex mutex_;
    fake_platform_store store_;
    std::vector<platform_fault> faults_;
    std::map<std::string, std::uint64_t> counts_;
    traffic_pool pool_{1};
    http_server server_;
};

} // namespace savorydock
