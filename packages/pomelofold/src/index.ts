/**
 * Public interface of the library: the entry daemon, its injectable dependencies with their default implementations, and the
 * client.
 *
 * @module
 */

export * from './server/entryDaemon.js'
export * from './server/daemonDependencies.js'
export * from './client/apiClient.js'
export * from './settings/daemonSettings.js'
export * from './protocol/manifest.js'
export * from './protocol/jobs.js'
export * from './protocol/requests.js'
export * from './seams/timers.js'
export * from './seams/randomSource.js'
export * from './seams/platformClient.js'
export * from './seams/peerTransport.js'
export * from './seams/upstreamClient.js'
export * from './edge/eventLogger.js'
export * from './edge/httpPlatformClient.js'
export * from './edge/httpServer.js'
export * from './edge/httpUpstreamClient.js'
export * from './edge/systemRandom.js'
export * from './edge/systemTimers.js'
export * from './edge/tcpPeerTransport.js'
