// The part of undici that the daemon uses. The package's main module also loads fetch, WebSocket and caches.
exports.Pool = require('../../node_modules/undici/lib/dispatcher/pool.js')
