#pragma once

// Error that ends a command with an exit status and a message for the operator.
//
//   throw CtlError(ExitStatus::Unavailable, "store: no answer");

#include "ctl/exitstatus.h"
#include "state/errors.h"

#include <string>

namespace banyankeel
{

/// Aborts a command with an exit status.
class CtlError : public Error
{
public:
    CtlError(ExitStatus status, const std::string &message)
        : Error(message)
        , m_status(status)
    {
    }

    [[nodiscard]] ExitStatus status() const
    {
        return m_status;
    }

private:
    ExitStatus m_status;
};

} // namespace banyankeel
