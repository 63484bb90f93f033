/**
 * HTTP server shared by the stand-ins.
 *
 * @module
 */

import { once } from 'node:events'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { createAdaptorServer, type HttpBindings } from '@hono/node-server'
import { RESPONSE_ALREADY_SENT } from '@hono/node-server/utils/response'
import { Hono, type Context } from 'hono'
import { z } from 'zod'

/** Hono environment of the handlers: gives access to Node's request and response objects. */
export interface StandinEnv {
  Bindings: HttpBindings
}

/** A stand-in that listens on an address. */
export interface Standin {
  /** Listens at `address` (`host:port`); port 0 picks a free one. Resolves with the actual address. */
  listen (address: string): Promise<string>
  /** Closes the listener and all connections. */
  close (): Promise<void>
}

/** Serves a Hono application, with the endpoints that read and set faults. Invalid requests get status 400. */
export class StandinServer implements Standin {
  readonly app = new Hono<StandinEnv>()
  private readonly _server: Server

  constructor ({ connections }: { connections?: number } = {}) {
    this._server = createAdaptorServer({ fetch: this.app.fetch }) as Server
    if (connections !== undefined) this._server.maxConnections = connections
    this.app.onError((err, c) => c.json({ error: err.message }, err instanceof z.ZodError ? 400 : 500))
  }

  async listen (address: string): Promise<string> {
    const { hostname, port } = new URL(`http://${address}`)
    this._server.listen(Number(port), hostname)
    await once(this._server, 'listening')
    return `${hostname}:${(this._server.address() as AddressInfo).port}`
  }

  async close (): Promise<void> {
    if (!this._server.listening) return
    this._server.close()
    this._server.closeAllConnections()
    await once(this._server, 'close')
  }

  /** Adds `GET /control/faults`, which returns `faults`, and `POST /control/faults`, which changes them in place. */
  serveFaults<T extends object> (faults: T, schema: z.ZodType<Partial<T>>, onChange: () => void = () => {}): void {
    this.app.get('/control/faults', c => c.json(faults))
    this.app.post('/control/faults', async c => {
      Object.assign(faults, schema.parse(await c.req.json()))
      onChange()
      return c.json(faults)
    })
  }
}

/** Resets the caller's connection instead of responding. */
export function resetConnection (c: Context<StandinEnv>): Response {
  c.env.incoming.socket.resetAndDestroy()
  return RESPONSE_ALREADY_SENT
}
