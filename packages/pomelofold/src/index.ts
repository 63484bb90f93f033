/**
 * The library's public interface.
 *
 * @module
 */

export * from './seams/timers.js'
export * from './seams/randomSource.js'
export * from './seams/platformClient.js'
export * from './seams/peerTransport.js'
export * from './seams/upstreamClient.js'
export * from './settings/daemonSettings.js'
