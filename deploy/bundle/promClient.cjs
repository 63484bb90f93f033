// The part of prom-client that the daemon uses. The package's main module also loads default metrics and the push gateway.
exports.Registry = require('../../node_modules/prom-client/lib/registry.js')
exports.Counter = require('../../node_modules/prom-client/lib/counter.js')
exports.Gauge = require('../../node_modules/prom-client/lib/gauge.js')
exports.Histogram = require('../../node_modules/prom-client/lib/histogram.js')
