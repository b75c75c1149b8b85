#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <set>

namespace savorydock {

/// Limits the memory for answers that an instance is receiving.
///
/// Load pattern: faulty upstreams send answers without end, on several
/// connections and faster than sound upstreams answer others. At the limit the
/// largest answer is given up, whichever needs memory next, so that answers of
/// usual size are still received.
///
/// Not thread safe; deterministic.
class answer_memory {
public:
    /// The part of the memory that one answer uses; returned when it is
    /// destroyed.
    class share {
    public:
        /// `on_revoked` is called when the answer must be given up, but not for
        /// a failed `add`. It must not destroy the share. Precondition: `owner`
        /// is not null.
        share(std::shared_ptr<answer_memory> owner,
              std::function<void()> on_revoked);
        ~share();
        share(const share&) = delete;
        share& operator=(const share&) = delete;

        /// Reserves memory for further bytes of the answer. Returns false if
        /// the answer must be given up.
        [[nodiscard]] bool add(std::size_t bytes);

        /// Whether the answer must be given up.
        [[nodiscard]] bool is_revoked() const { return is_revoked_; }

    private:
        friend class answer_memory;

        std::shared_ptr<answer_memory> owner_;
        std::function<void()> on_revoked_;
        std::size_t bytes_ = 0;
        bool is_revoked_ = false;
    };

    explicit answer_memory(std::size_t max_bytes)
        : max_bytes_(max_bytes) {}

    /// Bytes of all answers that were not given up.
    [[nodiscard]] std::size_t used_bytes() const { return used_bytes_; }

private:
    void revoke(share& given_up);

    std::size_t max_bytes_;
    std::size_t used_bytes_ = 0;
    std::set<share*> shares_;
};

} // namespace savorydock
