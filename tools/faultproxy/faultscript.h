#pragma once

// The links of a fault proxy and their first rules, read from YAML.
//
//   seed: 7
//   control: 127.0.0.1:9999
//   links:
//     - name: store
//       listen: 127.0.0.1:16000
//       forward: 127.0.0.1:6000
//       frames: false             # true on links between nodes
//       delay: 8ms
//       bits_per_second: 30000000

#include "state/endpoint.h"
#include "tools/faultproxy/linkrules.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace banyankeel
{

struct LinkScript {
    std::string name;
    Endpoint listen;
    Endpoint forward;
    /// Whether bytes are cut into whole frames of the nodes' protocol.
    bool hasFrames;
    LinkRules rules;
};

struct FaultScript {
    std::uint64_t seed = 1;
    std::optional<Endpoint> control;
    std::vector<LinkScript> links;

    /// @param file the name in messages. @throws SettingsError with one line for each fault.
    static FaultScript read(const std::string &text, const std::string &file);
};

} // namespace banyankeel
