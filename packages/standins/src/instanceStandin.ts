/**
 * HTTP stand-in for a service instance. Serves `/requests`, `/status` and `/control`.
 *
 * @module
 */

import { z } from 'zod'
import type { Timers } from 'pomelofold/seams/timers'
import { InstanceModel, type InstanceFaults } from './instanceModel.js'
import { SeededRandom } from './seededRandom.js'
import { resetConnection, StandinServer, type Standin, type StandinEnv } from './standinServer.js'
import type { Context } from 'hono'

/** Schema of the settings of an instance's stand-in; the fields except `address` and `seed` are those of `InstanceModelOptions`. */
export const instanceSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1:0'),
  vm: z.string().min(1),
  slots: z.number().int().positive().default(8),
  connections: z.number().int().positive().default(64),
  speed: z.number().positive().default(1),
  expectedMs: z.number().positive().default(20),
  spread: z.number().nonnegative().default(0.3),
  seed: z.number().int().default(1)
})

/** Settings of an instance's stand-in. */
export type InstanceSettings = z.input<typeof instanceSettingsSchema>

/** Body of `POST /control/faults`. */
export const instanceFaultsSchema: z.ZodType<Partial<InstanceFaults>> = z.strictObject({
  fail: z.boolean(),
  hang: z.boolean(),
  slowness: z.number().positive(),
  reset: z.boolean(),
  lateMs: z.number().nonnegative()
}).partial()

/** Path prefix under which requests are run. */
const REQUESTS_PATH = '/requests'

/** Connections beyond the limit of the model, so that `/status` and `/control` stay reachable when all others are in use. */
const SPARE_CONNECTIONS = 4

/** Serves an {@link InstanceModel} over HTTP. */
export class InstanceStandin implements Standin {
  readonly model: InstanceModel
  private readonly _server: StandinServer

  constructor ({ timers, settings }: { timers: Timers, settings: InstanceSettings }) {
    const { seed, ...options } = instanceSettingsSchema.parse(settings)
    this.model = new InstanceModel({ ...options, timers, random: new SeededRandom(seed) })
    this._server = new StandinServer({ connections: options.connections + SPARE_CONNECTIONS })
    this._server.serveFaults(this.model.faults, instanceFaultsSchema)
    this._server.app.get('/status', c => c.json(this.model.status()))
    this._server.app.get('/control/record', c => c.json(this.model.record()))
    this._server.app.all(`${REQUESTS_PATH}/*`, c => this._handle(c))
  }

  listen (address: string): Promise<string> {
    return this._server.listen(address)
  }

  close (): Promise<void> {
    return this._server.close()
  }

  private async _handle (c: Context<StandinEnv>): Promise<Response> {
    const reply = await this.model.handle({
      method: c.req.method,
      path: c.req.path.slice(REQUESTS_PATH.length) || '/',
      headers: c.req.header(),
      body: new Uint8Array(await c.req.arrayBuffer())
    })
    if (reply.kind === 'reset') return resetConnection(c)
    const { status, headers, body } = reply.answer
    return new Response(body as Uint8Array<ArrayBuffer>, { status, headers })
  }
}
