#include "tools/faultproxy/faultproxy.h"

#include "state/errors.h"
#include "tools/common/keyvalue.h"
#include "tools/faultproxy/faultconnection.h"

#include <asio.hpp>

#include <algorithm>
#include <future>
#include <thread>

namespace banyankeel
{

namespace
{
asio::ip::tcp::endpoint tcpOf(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address()), endpoint.port()};
}

/// One listening address and its connections.
class FaultLink
{
public:
    FaultLink(asio::io_context &context, const LinkScript &script, std::uint64_t seed)
        : m_script(script)
        , m_state(script.rules, seed)
        , m_acceptor(context)
    {
    }

    void listen()
    {
        try {
            const asio::ip::tcp::endpoint endpoint = tcpOf(m_script.listen);
            m_acceptor.open(endpoint.protocol());
            m_acceptor.set_option(asio::socket_base::reuse_address(true));
            m_acceptor.bind(endpoint);
            m_acceptor.listen();
        } catch (const std::system_error &error) {
            throw Error("link " + m_script.name + ": " + m_script.listen.text() + ": " + error.what());
        }
        accept();
    }

    void change(const std::function<void(LinkRules &)> &change)
    {
        LinkRules rules = m_state.rules;
        change(rules);
        m_state.rules = rules;
        if (rules.isCut) {
            resetAll();
        }
    }

    void close()
    {
        asio::error_code ignored;
        m_acceptor.close(ignored);
        resetAll();
    }

    [[nodiscard]] const std::string &name() const
    {
        return m_script.name;
    }

    [[nodiscard]] std::string counts() const
    {
        KeyValueLine line;
        line.add("link", m_script.name).add("connections", m_state.connections).add("resets", m_state.resets);
        line.add("request_bytes", m_state.passedBytes[0]).add("answer_bytes", m_state.passedBytes[1]);
        line.add("lost_answers", m_state.lostAnswers).add("reordered", m_state.reordered).add("duplicated", m_state.duplicated);
        return line.text() + '\n';
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](const asio::error_code &ec, asio::ip::tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !m_acceptor.is_open()) {
                return;
            }
            if (!ec) {
                accepted(std::move(socket));
            }
            accept();
        });
    }

    void accepted(asio::ip::tcp::socket socket)
    {
        ++m_state.connections;
        auto connection = std::make_shared<FaultConnection>(m_state, m_script.hasFrames, std::move(socket));
        if (m_state.rules.isCut) {
            connection->reset();
            return;
        }
        std::erase_if(m_connections, [](const auto &it) { return it.expired(); });
        m_connections.push_back(connection);
        connection->start(tcpOf(m_script.forward));
    }

    void resetAll()
    {
        for (const auto &it : m_connections) {
            if (const auto connection = it.lock()) {
                connection->reset();
            }
        }
        m_connections.clear();
    }

    LinkScript m_script;
    LinkState m_state;
    asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<FaultConnection>> m_connections;
};
} // namespace

class FaultProxy::Impl
{
public:
    explicit Impl(const FaultScript &script)
    {
        std::uint64_t seed = script.seed;
        for (const LinkScript &link : script.links) {
            m_links.push_back(std::make_unique<FaultLink>(m_context, link, seed++));
        }
    }

    ~Impl()
    {
        stop();
    }

    void start()
    {
        for (const auto &link : m_links) {
            link->listen();
        }
        m_thread = std::thread([this] { m_context.run(); });
    }

    /// Runs @p task on the proxy's thread and hands on its result or exception.
    template<typename Task>
    auto onThread(Task task)
    {
        std::packaged_task<decltype(task())()> packaged(std::move(task));
        auto result = packaged.get_future();
        asio::post(m_context, [&packaged] { packaged(); });
        return result.get();
    }

    FaultLink &find(const std::string &name)
    {
        const auto it = std::find_if(m_links.begin(), m_links.end(), [&name](const auto &link) { return link->name() == name; });
        if (it == m_links.end()) {
            throw SettingsError("link \"" + name + "\": there is none of that name");
        }
        return **it;
    }

    std::string counts() const
    {
        std::string text;
        for (const auto &link : m_links) {
            text += link->counts();
        }
        return text;
    }

    void stop()
    {
        if (!m_thread.joinable()) {
            return;
        }
        asio::post(m_context, [this] {
            for (const auto &link : m_links) {
                link->close();
            }
            m_work.reset();
        });
        m_thread.join();
    }

private:
    asio::io_context m_context;
    asio::executor_work_guard<asio::io_context::executor_type> m_work = asio::make_work_guard(m_context);
    std::vector<std::unique_ptr<FaultLink>> m_links;
    std::thread m_thread;
};

FaultProxy::FaultProxy(const FaultScript &script)
    : m_impl(std::make_unique<Impl>(script))
{
}

FaultProxy::~FaultProxy() = default;

void FaultProxy::start()
{
    m_impl->start();
}

void FaultProxy::change(const std::string &link, const std::function<void(LinkRules &)> &change)
{
    m_impl->onThread([&] { m_impl->find(link).change(change); });
}

std::string FaultProxy::counts()
{
    return m_impl->onThread([this] { return m_impl->counts(); });
}

void FaultProxy::stop()
{
    m_impl->stop();
}

} // namespace banyankeel
