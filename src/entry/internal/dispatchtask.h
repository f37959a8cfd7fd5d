// Hosts the dispatchers and ejection budgets whose leases this VM holds.
#pragma once

#include "entry/internal/context.h"

#include <memory>

namespace daisyhaven::entry {

class DispatchTask
{
public:
    explicit DispatchTask(Context &context);
    DispatchTask(const DispatchTask &) = delete;
    DispatchTask &operator=(const DispatchTask &) = delete;
    ~DispatchTask();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

} // namespace daisyhaven::entry
