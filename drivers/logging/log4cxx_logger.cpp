#include "drivers/logging/log4cxx_logger.hpp"

#include <log4cxx/asyncappender.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>

namespace savorydock {

namespace {

log4cxx::LevelPtr to_level(log_level level) {
    switch (level) {
    case log_level::debug:
        return log4cxx::Level::getDebug();
    case log_level::info:
        return log4cxx::Level::getInfo();
    case log_level::warning:
        return log4cxx::Level::getWarn();
    case log_level::error:
        break;
    }
    return log4cxx::Level::getError();
}

log4cxx::LevelPtr to_level(const std::string& name) {
    if (name == "debug") {
        return log4cxx::Level::getDebug();
    }
    if (name == "warning") {
        return log4cxx::Level::getWarn();
    }
    return name == "error" ? log4cxx::Level::getError()
                           : log4cxx::Level::getInfo();
}

/// Replaces control characters, so that a line stays one line.
void replace_control_characters(std::string& line) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char delete_character = 0x7f;
    std::replace_if(
        line.begin(), line.end(),
        [](unsigned char character) {
            return character < first_printable || character == delete_character;
        },
        '?');
}

} // namespace

struct log4cxx_logger::state {
    log4cxx::LoggerPtr target;
    /// Every field of a line is a "name=value" pair.
    bool is_structured = false;
};

log4cxx_logger::log4cxx_logger(const std::string& file,
                               const std::string& level,
                               const std::string& instance)
    : state_(std::make_unique<state>()) {
    const auto layout = std::make_shared<log4cxx::PatternLayout>(
        "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %-5p " + instance + " %m%n");
    log4cxx::AppenderPtr appender;
    if (file == "-") {
        appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout, log4cxx::ConsoleAppender::getSystemErr());
    } else {
        appender = std::make_shared<log4cxx::FileAppender>(layout, file, true);
    }
    state_->target = log4cxx::Logger::getLogger("savorydock." + instance);
    state_->target->setAdditivity(false);
    state_->target->setLevel(to_level(level));
    state_->target->addAppender(appender);
}

log4cxx_logger::log4cxx_logger(log_target, const std::string& level,
                               const std::string& instance)
    : state_(std::make_unique<state>()) {
    // Maximum number of lines buffered for a slow reader. Further lines are
    // dropped, and the appender logs how many.
    constexpr int buffered_lines = 2'048;
    const auto console = std::make_shared<log4cxx::ConsoleAppender>(
        std::make_shared<log4cxx::PatternLayout>(
            "at=%d{yyyy-MM-ddTHH:mm:ss.SSS} level=%p instance=" + instance +
            " %m%n"),
        log4cxx::ConsoleAppender::getSystemOut());
    const auto buffer = std::make_shared<log4cxx::AsyncAppender>();
    buffer->setBufferSize(buffered_lines);
    buffer->setBlocking(false);
    buffer->addAppender(console);
    state_->is_structured = true;
    state_->target = log4cxx::Logger::getLogger("savorydock." + instance);
    state_->target->setAdditivity(false);
    state_->target->setLevel(to_level(level));
    state_->target->addAppender(buffer);
}

log4cxx_logger::~log4cxx_logger() {
    state_->target->removeAllAppenders();
}

void log4cxx_logger::write(log_event event, std::string_view detail) {
    const log_event_entry& entry = describe(event);
    const log4cxx::LevelPtr level = to_level(entry.level);
    if (!state_->target->isEnabledFor(level)) {
        return;
    }
    const std::string number = std::to_string(static_cast<unsigned>(event));
    std::string line =
        state_->is_structured ? "event=" + number + " name=" : number + ' ';
    line += entry.name;
    if (!detail.empty()) {
        line += ' ' + std::string(detail);
    }
    replace_control_characters(line);
    state_->target->forcedLog(level, line, LOG4CXX_LOCATION);
}

} // namespace savorydock
