#ifndef TARRAGONSILL_DIRECTORY_LOG_HPP_INCLUDED
#define TARRAGONSILL_DIRECTORY_LOG_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"

#include <string>
#include <vector>

/// Lines on what news of the store or a peer changed in a VM's belief.
namespace tarragonsill {

/// Of a longer list only what is out of the ordinary gets lines of its own,
/// beside one line for all; hundreds of lines would delay a start.
constexpr std::size_t kMaxLinesPerList = 64;

/// Writes the lines; the source is for instance `watch` or `peer vm-3`.
void WriteDirectoryChanges(NodeLog& aLog,
                           StoreUpdate const& aUpdate,
                           std::vector<DirectoryChange> const& aChanges,
                           std::string const& aSource);

} // namespace tarragonsill

#endif // TARRAGONSILL_DIRECTORY_LOG_HPP_INCLUDED
