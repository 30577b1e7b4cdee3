#ifndef TARRAGONSILL_HPP_INCLUDED
#define TARRAGONSILL_HPP_INCLUDED

/// Includes all public headers of the core.
#include "tarragonsill/coordination/tarragonsill_call_ledger.hpp"
#include "tarragonsill/coordination/tarragonsill_call_placement.hpp"
#include "tarragonsill/coordination/tarragonsill_control_plane.hpp"
#include "tarragonsill/coordination/tarragonsill_cookie_steering.hpp"
#include "tarragonsill/coordination/tarragonsill_directory.hpp"
#include "tarragonsill/coordination/tarragonsill_membership.hpp"
#include "tarragonsill/coordination/tarragonsill_node_peers.hpp"
#include "tarragonsill/coordination/tarragonsill_ownership.hpp"
#include "tarragonsill/coordination/tarragonsill_packet_engine.hpp"
#include "tarragonsill/coordination/tarragonsill_slot_ledger.hpp"
#include "tarragonsill/coordination/tarragonsill_steering_explanation.hpp"
#include "tarragonsill/declare/tarragonsill_declare.hpp"

#endif // TARRAGONSILL_HPP_INCLUDED
