#include "drivers/http/traffic_pool.hpp"

namespace savorydock {

traffic_pool::traffic_pool(std::size_t threads) {
    for (std::size_t i = 0; i < threads; ++i) {
        workers_.push_back(std::make_unique<worker>());
        worker& current = *workers_.back();
        current.thread = std::thread([&current] { current.context.run(); });
    }
}

traffic_pool::~traffic_pool() {
    stop();
}

boost::asio::io_context& traffic_pool::context(std::size_t index) {
    return workers_.at(index)->context;
}

void traffic_pool::stop() {
    for (const auto& current : workers_) {
        current->context.stop();
    }
    for (const auto& current : workers_) {
        if (current->thread.joinable()) {
            current->thread.join();
        }
    }
}

} // namespace savorydock
