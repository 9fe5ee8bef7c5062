#include "peer/relay_tree.h"

namespace cove {

std::vector<relay_branch> divide_for_relay(std::vector<std::string> const& receivers,
                                           std::size_t fanout)
{
    std::vector<relay_branch> out;
    for (std::size_t i = 0; i < receivers.size(); ++i) {
        if (i < fanout) {
            out.push_back({receivers[i], {}});
        }
        else {
            out[i % fanout].relay_to.push_back(receivers[i]);
        }
    }
    return out;
}

} // namespace cove
