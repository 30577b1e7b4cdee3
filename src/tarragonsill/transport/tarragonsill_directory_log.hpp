#ifndef TARRAGONSILL_DIRECTORY_LOG_HPP_INCLUDED
#define TARRAGONSILL_DIRECTORY_LOG_HPP_INCLUDED

#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/transport/tarragonsill_node_log.hpp"

#include <string>
#include <vector>

/// Log lines for changes of a VM's directory.
namespace tarragonsill {

/// A list with more changes gets one summary line, and lines only for changes
/// that are not ordinary. Hundreds of lines would delay the start of a VM.
constexpr std::size_t kMaxLinesPerList = 64;

/// Logs the changes that an update caused. `aSource` is the origin of the
/// update, for instance `watch` or `peer vm-3`.
void WriteDirectoryChanges(NodeLog& aLog,
                           StoreUpdate const& aUpdate,
                           std::vector<DirectoryChange> const& aChanges,
                           std::string const& aSource);

/// Logs that changes of a kind are missing, or no longer are. `aSource` is the
/// origin of the update that showed it.
void WriteMissingChanges(NodeLog& aLog,
                         ObjectKind aKind,
                         std::optional<PositionRange> const& aMissing,
                         std::string const& aSource);

} // namespace tarragonsill

#endif // TARRAGONSILL_DIRECTORY_LOG_HPP_INCLUDED
