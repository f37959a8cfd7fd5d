// Reads what a backend server says of itself from the headers of its response.
#pragma once

#include "gateway/gateway.h"
#include "http/http.h"
#include "scheduler/scheduler.h"

#include <string>
#include <vector>

namespace daisyhaven::gateway {

struct ParsedStatement
{
    scheduler::ServerStatement statement;
    // Headers that were ignored because their values are not valid.
    std::vector<std::string> ignoredHeaders;
};

ParsedStatement parseStatement(const http::ResponseHead &head, const HeaderNames &names);

} // namespace daisyhaven::gateway
