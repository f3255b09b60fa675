#pragma once

// A TCP proxy that injects faults on its links, which can be changed while it runs.
//
//   FaultProxy proxy(FaultScript::read(text, file));
//   proxy.start();
//   proxy.change("store", [](LinkRules &rules) { rules.isCut = true; });

#include "tools/faultproxy/faultscript.h"

#include <functional>
#include <memory>
#include <string>

namespace banyankeel
{

/// Runs on one thread of its own. All functions may be called from any other thread.
class FaultProxy
{
public:
    explicit FaultProxy(const FaultScript &script);
    ~FaultProxy();
    FaultProxy(const FaultProxy &) = delete;
    FaultProxy &operator=(const FaultProxy &) = delete;

    /// Listens on all links before it returns. @throws Error if an address can't be listened on.
    void start();
    /// Changes the rules of a link; returns when they are in force. A cut resets its connections.
    /// @throws SettingsError if there is no such link, or what @p change throws, which then changes nothing.
    void change(const std::string &link, const std::function<void(LinkRules &)> &change);
    /// One line of counts for each link.
    std::string counts();
    void stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace banyankeel
