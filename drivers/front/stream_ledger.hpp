#pragma once

#include "core/clock.hpp"
#include "core/logger.hpp"
#include "drivers/store/store_client.hpp"
#include "servers/platform/store_transaction.hpp"
#include "servers/streams/stream_origin.hpp"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace savorydock {

struct stream_ledger_options {
    /// Returns the shortest time between two writes of this instance. Streams
    /// that begin in between share a write.
    std::function<std::chrono::milliseconds()> write_interval = [] {
        return std::chrono::milliseconds(0);
    };
    /// How long a record is kept after its stream's deadline.
    std::chrono::milliseconds retention{30'000};
};

/// The origin of a stream that a caller continues.
struct found_origin {
    stream_origin origin;
    /// Whether the store has a record of the stream. Otherwise the origin is
    /// the default that this instance knows for the route.
    bool is_recorded = false;
};

/// Knows which software began each resumable stream, also after all instances
/// were restarted: in the platform's store, either as a record of the stream or
/// as the default of its route.
///
/// Load pattern: during a release every instance begins streams at two software
/// versions, and a power loss of all instances makes all callers continue their
/// streams within a second. The records of streams that begin at about the same
/// time share a write; continuing one costs a read of one key.
///
/// Not thread safe: all calls must come from one traffic thread.
class stream_ledger {
public:
    /// All references must outlive `context`.
    stream_ledger(boost::asio::io_context& context, store_client& store,
                  stream_ledger_options options, logger& log);

    /// The key `stream_defaults_key` changed.
    void on_defaults_change(const store_change& change);

    /// Returns the origin of the route's streams without a record, or null.
    /// Valid until the defaults change.
    [[nodiscard]] const stream_origin*
    default_of(const std::string& route) const;

    /// Records the origin of a stream. Returns true once the record is durable,
    /// false if it isn't by `write_by`. `deadline` is that of the stream.
    /// Precondition: the attempt with this id has no record yet, or an equal
    /// one.
    boost::asio::awaitable<bool> record(request_id first, stream_origin origin,
                                        steady_time write_by,
                                        steady_time deadline);

    /// Records the origin of a stream once the store can be reached, until the
    /// stream's deadline.
    void record_later(request_id first, stream_origin origin,
                      steady_time deadline);

    /// Returns the origin of the stream on this route that an attempt began, or
    /// nothing if it isn't known. Errors: those of the store.
    boost::asio::awaitable<outcome<std::optional<found_origin>>>
    find(request_id first, std::string route);

    /// Whether the store can be expected to take a record now.
    [[nodiscard]] bool is_store_reachable() const {
        return store_.is_reachable();
    }

private:
    struct pending_record {
        pending_record(boost::asio::io_context& context, store_write used_write,
                       steady_time used_write_by, steady_time used_deadline)
            : write(std::move(used_write))
            , write_by(used_write_by)
            , deadline(used_deadline)
            , stored(context, used_write_by) {}

        store_write write;
        steady_time write_by;
        steady_time deadline;
        bool is_stored = false;
        /// Cancelled when the record is stored.
        boost::asio::steady_timer stored;
    };

    struct old_record {
        std::string key;
        steady_time delete_at;
    };

    std::shared_ptr<pending_record> enqueue(request_id first,
                                            stream_origin origin,
                                            steady_time write_by,
                                            steady_time deadline);
    boost::asio::awaitable<void> write_pending();
    boost::asio::awaitable<void> delete_old();
    boost::asio::awaitable<void> pause(std::chrono::milliseconds time);

    boost::asio::io_context& context_;
    store_client& store_;
    stream_ledger_options options_;
    logger& log_;
    default_origins defaults_;
    std::deque<std::shared_ptr<pending_record>> pending_;
    std::deque<old_record> written_;
    bool is_writing_ = false;
    bool is_deleting_ = false;
};

} // namespace savorydock
