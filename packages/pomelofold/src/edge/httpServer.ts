/**
 * The HTTP server of a daemon.
 *
 * @module
 */

import { serve, type ServerType } from '@hono/node-server'
import type { Server } from 'node:http'
import type { Hono } from 'hono'
import { splitAddress } from '../utils/address.js'

/** Options of an {@link HttpServer}. */
export interface HttpServerOptions {
  /** `host:port`. */
  address: string
  /** Largest header accepted, in bytes. Larger ones are answered with 431. */
  maxHeaderBytes?: number
  /** Connections accepted at once. */
  maxConnections?: number
}

/** Serves a hono app. */
export class HttpServer {
  private readonly _options: Required<HttpServerOptions>
  private _server: ServerType | undefined

  constructor ({ maxHeaderBytes = 16_384, maxConnections = 10_000, ...options }: HttpServerOptions) {
    this._options = { maxHeaderBytes, maxConnections, ...options }
  }

  /** Starts to listen. Rejects when the address cannot be used. */
  listen (app: Hono): Promise<void> {
    const { address, maxHeaderBytes, maxConnections } = this._options
    const { host, port } = splitAddress(address)
    return new Promise((resolve, reject) => {
      const server = serve({ fetch: app.fetch, hostname: host, port, serverOptions: { maxHeaderSize: maxHeaderBytes } }, () => resolve())
      server.once('error', reject)
      ;(server as Server).maxConnections = maxConnections
      this._server = server
    })
  }

  /** Port in use, for tests that listen at port 0. */
  get port (): number {
    const address = this._server?.address()
    return typeof address === 'object' && address ? address.port : 0
  }

  /** Stops listening, and resolves when every answer in flight has been sent. */
  close (): Promise<void> {
    const server = this._server as Server | undefined
    if (!server) return Promise.resolve()
    return new Promise(resolve => {
      server.close(() => resolve())
      server.closeIdleConnections()
    })
  }
}
