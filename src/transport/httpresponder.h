#pragma once

// Answers one HTTP request, and tells when nobody waits for the answer any more.
//
//   respond.whenClientLeaves([] { ... });
//   respond({.status = 200, .headers = {}, .body = "hello"});

#include "protocol/httpmessage.h"
#include "transport/responsebody.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <optional>
#include <type_traits>
#include <utility>

namespace banyankeel
{

/// Only the first answer counts. Copies answer the same request. May be used from any thread, also after the client has gone.
class HttpResponder
{
public:
    using Respond = std::function<void(HttpResponse)>;
    using Watch = std::function<void(std::function<void()>)>;

    using Begin = std::function<ResponseBody(HttpResponse head, std::optional<std::uint64_t> length, ResponseBodyHooks hooks)>;

    HttpResponder() = default;
    /// @param begin null if the server takes whole responses only.
    HttpResponder(Respond respond, Watch watch, Begin begin = nullptr)
        : m_respond(std::move(respond))
        , m_watch(std::move(watch))
        , m_begin(std::move(begin))
    {
    }
    /// Answers by any function, for tests and for requests that came another way.
    template<typename Function>
    requires(std::invocable<Function &, HttpResponse> && !std::same_as<std::remove_cvref_t<Function>, HttpResponder>) HttpResponder(Function respond)
        : m_respond(std::move(respond))
    {
    }

    /// Must not be called on a default-constructed responder.
    void operator()(HttpResponse response) const
    {
        m_respond(std::move(response));
    }
    /// Calls @p hook at most once, on a thread of the server or on this one, if the client's connection closes before the answer.
    void whenClientLeaves(std::function<void()> hook) const
    {
        if (m_watch) {
            m_watch(std::move(hook));
        }
    }

    [[nodiscard]] bool takesParts() const
    {
        return m_begin != nullptr;
    }
    /// Answers with @p head, whose body follows in parts. @param length of the whole body, if known.
    /// @pre takesParts(), and on the server's thread.
    [[nodiscard]] ResponseBody begin(HttpResponse head, std::optional<std::uint64_t> length, ResponseBodyHooks hooks) const
    {
        return m_begin(std::move(head), length, std::move(hooks));
    }

private:
    Respond m_respond;
    Watch m_watch;
    Begin m_begin;
};

} // namespace banyankeel
