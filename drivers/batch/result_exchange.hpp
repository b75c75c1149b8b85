#pragma once

#include "core/correlation_numbers.hpp"
#include "core/logger.hpp"
#include "drivers/batch/job_store.hpp"
#include "drivers/batch/result_source.hpp"
#include "drivers/peer/peer_transport.hpp"
#include "servers/batch/result_message.hpp"
#include "servers/feed/node_directory.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>

namespace savorydock {

/// Reads listed results from the planner of their job over the peer link, and
/// answers such reads on the planner. A planner that doesn't reply in time is
/// not asked again for a while; its jobs are read from the store meanwhile.
///
/// Belongs to one traffic thread.
class result_exchange final : public result_source {
public:
    struct lookups {
        /// Returns the planner of a job as far as this instance knows; empty
        /// if it knows none.
        std::function<instance_id(const job_record&)> planner_of;
        /// Returns the term in which this instance plans the job now, or 0.
        std::function<store_revision(const job_id&)> own_term_of;
    };

    /// All references must outlive `context`.
    result_exchange(boost::asio::io_context& context, job_store& jobs,
                    peer_transport& peers, const node_directory& directory,
                    instance_id self, lookups used_lookups, logger& log);

    boost::asio::awaitable<std::optional<std::vector<std::string>>>
    read(job_record record, std::size_t first,
         std::chrono::milliseconds wait) override;

    /// Handles a message of the topics `result_request` and `result_reply`.
    void on_message(const peer_message& message);

private:
    struct waiting_read {
        instance_id planner;
        job_id job;
        std::size_t first = 0;
        boost::asio::steady_timer timer;
        std::optional<result_reply> reply;
    };

    /// Reads results that this instance lists as the planner.
    boost::asio::awaitable<std::optional<std::vector<std::string>>>
    read_own(job_id job, std::size_t first, std::chrono::milliseconds wait);
    boost::asio::awaitable<void> serve(instance_id reader,
                                       result_request request);
    void handle_reply(const peer_message& message);
    bool send(const instance_id& to, peer_topic topic, std::string body);

    boost::asio::io_context& context_;
    job_store& jobs_;
    peer_transport& peers_;
    const node_directory& directory_;
    instance_id self_;
    lookups lookups_;
    logger& log_;
    correlation_numbers numbers_;
    std::map<std::uint64_t, std::shared_ptr<waiting_read>> waiting_;
    /// Planners that didn't reply, with the time until which they are not
    /// asked.
    std::map<instance_id, steady_time> silent_until_;
};

} // namespace savorydock
