#include "servers/platform/platform_message.hpp"
