#ifndef TARRAGONSILL_EXAMPLE_DEPLOYMENTS_HPP_INCLUDED
#define TARRAGONSILL_EXAMPLE_DEPLOYMENTS_HPP_INCLUDED

#include "tarragonsill/declare/tarragonsill_declare.hpp"

/// Deployments of the first two operators.
namespace tarragonsill::Examples {

/// Mjólkurbú Áskrift, Reykjavík: the subscription app and the label service.
Declare::DeploymentBuilder ReykjavikDeployment();

/// Badia Livestock Transport Cooperative, Amman: bookings and route sheets.
Declare::DeploymentBuilder AmmanDeployment();

} // namespace tarragonsill::Examples

#endif // TARRAGONSILL_EXAMPLE_DEPLOYMENTS_HPP_INCLUDED
