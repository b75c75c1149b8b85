#pragma once

#include "core/clock.hpp"

#include <boost/intrusive/list.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>

namespace savorydock {

struct caller_memory_options {
    /// Bytes of all requests and answers together.
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    /// A request or answer up to this size may use the part that is reserved
    /// for small ones.
    std::size_t small_bytes = 65'536;
    /// A connection counts as making progress while it gains or loses this many
    /// bytes.
    std::size_t progress_bytes = 16'384;
};

struct caller_memory_counters {
    /// Bytes that are reserved now.
    std::size_t used_bytes = 0;
    /// Shares that were taken away for others.
    std::uint64_t revoked = 0;
    /// Reservations that got no memory.
    std::uint64_t refused = 0;
};

/// Divides the memory for requests that callers send and answers that they
/// receive.
///
/// Load pattern: callers send many large bodies at once and stop short of their
/// end, or don't read large answers, while others send small requests. A
/// quarter of the memory is reserved for small requests and answers. One body
/// may use all of the rest while nobody else needs it. When it is short, the
/// connection is given up that has held the most bytes for the longest time
/// without progress, those of the address that holds the most first. Requests
/// that are being handled are not given up, since they may have run.
///
/// Not thread safe; deterministic.
class caller_memory {
public:
    /// The memory of one connection; returned when it is destroyed.
    class share : public boost::intrusive::list_base_hook<> {
    public:
        /// `caller` names the address of the connection. `on_revoked` is called
        /// when the memory is needed by others, but not for a failed `resize`.
        /// It must not destroy the share. Precondition: `owner` is not null.
        share(std::shared_ptr<caller_memory> owner, std::string caller,
              std::function<void()> on_revoked);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Sets the bytes that the connection holds. Returns false if there is
        /// no memory for more, or if the share was revoked; it then keeps what
        /// it has. Holding less always succeeds unless it was revoked.
        [[nodiscard]] bool resize(std::size_t bytes, steady_time now);

        /// Like `resize`, for bytes that are held already and can't be given
        /// up. Others are given up for them if possible.
        void force(std::size_t bytes, steady_time now);

        /// Ends a request: holds nothing and is no longer revoked.
        void reset();

        /// Records progress that doesn't change the bytes held.
        void mark_progress(steady_time now) { progress_at_ = now; }

        /// Whether the connection may be given up for others; true at first.
        void set_revocable(bool is_revocable) { is_revocable_ = is_revocable; }

        [[nodiscard]] bool is_revoked() const { return is_revoked_; }
        [[nodiscard]] std::size_t bytes() const { return bytes_; }

    private:
        friend class caller_memory;

        void assign(std::size_t bytes, bool is_large, steady_time now);

        std::shared_ptr<caller_memory> owner_;
        std::string caller_;
        std::function<void()> on_revoked_;
        std::size_t bytes_ = 0;
        /// Bytes at the last progress.
        std::size_t marked_bytes_ = 0;
        steady_time progress_at_{};
        bool is_large_ = false;
        bool is_revocable_ = true;
        bool is_revoked_ = false;
    };

    explicit caller_memory(caller_memory_options options = {});

    [[nodiscard]] caller_memory_counters counters() const;

private:
    /// Gives up other shares until a large share can grow to `bytes`. Returns
    /// false if it is the first to be given up itself, or none can be.
    bool make_room(share& growing, std::size_t bytes, steady_time now);
    [[nodiscard]] share* find_victim(share& growing, std::size_t bytes,
                                     steady_time now);
    void revoke(share& victim);

    caller_memory_options options_;
    std::size_t max_small_;
    std::size_t max_large_;
    std::size_t used_small_ = 0;
    std::size_t used_large_ = 0;
    std::uint64_t revoked_ = 0;
    std::uint64_t refused_ = 0;
    /// Large shares only; small ones are not given up.
    boost::intrusive::list<share, boost::intrusive::constant_time_size<false>>
        large_;
};

} // namespace savorydock
