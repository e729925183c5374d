// Figures of the simulated fleet that several of its parts use.
#pragma once

namespace dispatcher::testbed {

constexpr double kMeanWorkMs = 300;  // of a request
constexpr double kOneWayMs = 1.5;    // between any two hosts
constexpr double kConnectTimeoutMs = 250;
constexpr double kRequestTimeoutMs = 5000;
constexpr double kObjectiveBaseMs = 300;      // a request's latency objective...
constexpr double kObjectiveWorkFactor = 2.5;  // ...plus this times its work

}  // namespace dispatcher::testbed
