#include "tools/faultproxy/framecutter.h"

#include "transport/frame.h"

namespace banyankeel
{

namespace
{
constexpr std::size_t LengthBytes = 4;
constexpr unsigned BitsPerByte = 8;

std::size_t frameSize(std::string_view header)
{
    std::size_t payload = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        payload = (payload << BitsPerByte) | static_cast<unsigned char>(header[i]);
    }
    return FrameHeaderBytes + payload;
}
} // namespace

std::vector<std::string> FrameCutter::add(std::string_view bytes)
{
    m_rest += bytes;
    std::vector<std::string> frames;
    std::size_t begin = 0;
    while (m_rest.size() - begin >= FrameHeaderBytes) {
        const std::size_t size = frameSize(std::string_view(m_rest).substr(begin));
        if (m_rest.size() - begin < size) {
            break;
        }
        frames.push_back(m_rest.substr(begin, size));
        begin += size;
    }
    m_rest.erase(0, begin);
    return frames;
}

} // namespace banyankeel
