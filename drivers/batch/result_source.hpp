#pragma once

#include "servers/batch/batch_job.hpp"

#include <boost/asio/awaitable.hpp>

#include <chrono>
#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

/// Listed results of a job from another place than the store.
class result_source {
public:
    virtual ~result_source() = default;

    /// Returns the rows from `first` on; none if there are none within `wait`.
    /// Returns nothing if the source can't tell, so that the store must be
    /// read. Used on one traffic thread.
    virtual boost::asio::awaitable<std::optional<std::vector<std::string>>>
    read(job_record record, std::size_t first,
         std::chrono::milliseconds wait) = 0;
};

} // namespace savorydock
