#pragma once

#include "core/http_message.hpp"
#include "core/ids.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace savorydock {

using job_id = text_id<struct job_tag>;
using item_id = text_id<struct item_tag>;

/// The request that scores a finished sample.
struct scoring_call {
    std::string id;
    std::string host;
    std::string path;
    std::string body;
};

/// One item of a batch job as submitted by the trainer.
struct batch_item {
    item_id id;
    std::string path;
    http_headers headers;
    std::string body;
    std::uint64_t prompt_tokens = 0;
    /// Maximum number of generated tokens; 0 if not limited.
    std::uint64_t max_tokens = 0;
    /// The caller's estimate of the number of generated tokens; 0 if absent.
    std::uint64_t expected_tokens = 0;
    /// Items of a group share their prompt. Empty if the item has no group.
    std::string group;
    std::optional<scoring_call> scoring;
};

/// A decoded submission of a batch job.
struct batch_job {
    job_id id;
    /// Host of the items' requests.
    std::string host;
    std::string model;
    /// The oldest weight version that may generate tokens of the items.
    weight_version min_version = 0;
    /// Number of groups that the trainer waits for; 0 means all.
    std::uint32_t target_groups = 0;
    std::vector<batch_item> items;
};

/// An item of a job, by its index.
using item_key = std::pair<job_id, std::size_t>;

/// Record of an accepted job, shared with all instances; without its items.
struct job_record {
    job_id id;
    /// Name of the job's route, and the host of its items' requests.
    std::string route;
    std::string host;
    service_name service;
    /// Number of items.
    std::uint32_t total = 0;
    /// Number of store keys that hold the submission.
    std::uint32_t parts = 1;
    /// The organisation that submitted the job; empty if it has none, or if an
    /// older build wrote the record.
    organisation_id organisation;
    /// Wall-clock time of acceptance, in Unix milliseconds.
    std::int64_t accepted_at = 0;
    /// The trainer ended the job, or all results are listed.
    bool is_ended = false;
    /// All results are listed.
    bool is_complete = false;
};

/// One result in the job's list; its position is its index in that list.
struct item_result {
    item_id item;
    /// False if the item was given up.
    bool is_completed = false;
    std::string text;
    std::vector<weight_version> versions;
    std::string score;
};

} // namespace savorydock
