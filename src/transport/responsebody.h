#pragma once

// Writes the body of a response in parts.
//
//   ResponseBody body = respond.begin(head, length, {.drained = ..., .clientLeft = ...});
//   body.write(bytes);
//   body.finish();

#include <cstddef>
#include <functional>
#include <string>
#include <utility>

namespace banyankeel
{

/// What a server reports of a response that is written in parts. Neither is called after finish() or abort().
struct ResponseBodyHooks {
    /// @p bytes more have been handed to the client's connection. Never called from within write().
    std::function<void(std::size_t bytes)> drained;
    /// The client's connection closed, or it has read nothing for too long. Called at most once, possibly from within write().
    std::function<void()> clientLeft;
};

/// Refers to a response under way. After the client has left, all functions have no effect.
class ResponseBody
{
public:
    using Write = std::function<void(std::string bytes)>;
    using End = std::function<void(bool isWhole)>;

    ResponseBody() = default;
    ResponseBody(Write write, End end)
        : m_write(std::move(write))
        , m_end(std::move(end))
    {
    }

    void write(std::string bytes) const
    {
        m_write(std::move(bytes));
    }
    /// The body is whole.
    void finish() const
    {
        m_end(true);
    }
    /// Ends the response so that the client sees that its body is not whole.
    void abort() const
    {
        m_end(false);
    }

private:
    Write m_write;
    End m_end;
};

} // namespace banyankeel
