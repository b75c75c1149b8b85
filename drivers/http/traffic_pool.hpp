#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace savorydock {

/// The traffic threads. Each runs its own I/O context, so that a connection
/// stays on one thread and needs no lock.
class traffic_pool {
public:
    /// Starts `threads` threads. Precondition: threads > 0.
    explicit traffic_pool(std::size_t threads);
    ~traffic_pool();
    traffic_pool(const traffic_pool&) = delete;
    traffic_pool& operator=(const traffic_pool&) = delete;

    [[nodiscard]] std::size_t size() const { return workers_.size(); }

    /// Returns the context of one thread. Precondition: index < size().
    [[nodiscard]] boost::asio::io_context& context(std::size_t index);

    /// Stops all threads without finishing pending work. Idempotent.
    void stop();

private:
    struct worker {
        boost::asio::io_context context{1};
        boost::asio::executor_work_guard<boost::asio::io_context::executor_type>
            guard{context.get_executor()};
        std::thread thread;
    };

    std::vector<std::unique_ptr<worker>> workers_;
};

} // namespace savorydock
