#pragma once

// Cuts a stream of the nodes' protocol into whole frames, their headers included.
//
//   FrameCutter cutter;
//   for (std::string &frame : cutter.add(bytes)) ...

#include <string>
#include <string_view>
#include <vector>

namespace banyankeel
{

/// Holds at most one unfinished frame. Not thread-safe.
class FrameCutter
{
public:
    /// The frames that end in @p bytes.
    std::vector<std::string> add(std::string_view bytes);

private:
    std::string m_rest;
};

} // namespace banyankeel
