// Constants of the simulation model that several of its parts use.
#pragma once

namespace dispatcher::testbed {

constexpr double kMeanWorkMs = 300;       // mean work of a request
constexpr double kOneWayLatencyMs = 1.5;  // network latency between any two hosts
constexpr double kConnectTimeoutMs = 250;
constexpr double kRequestTimeoutMs = 5000;
constexpr double kObjectiveBaseMs = 300;      // latency objective of a request: this...
constexpr double kObjectiveWorkFactor = 2.5;  // ...plus this times its work

}  // namespace dispatcher::testbed
