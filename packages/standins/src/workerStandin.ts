/**
 * HTTP stand-in for a worker. Serves the interface of `protocol/worker.ts`, and `/control`.
 *
 * @module
 */

import type { Context } from 'hono'
import type { Result } from 'true-myth/result'
import { z } from 'zod'
import { capacitySchema } from 'pomelofold/protocol/vms'
import { renewalRequestSchema, startsRequestSchema } from 'pomelofold/protocol/worker'
import type { Timers } from 'pomelofold/seams/timers'
import { TASK_COMMANDS } from 'pomelofold/seams/upstreamClient'
import { SeededRandom } from './seededRandom.js'
import { resetConnection, StandinServer, type Standin, type StandinEnv } from './standinServer.js'
import { WorkerModel, type StaleEpochRefusal, type WorkerFaults } from './workerModel.js'

/** Schema of the settings of a worker's stand-in; the fields except `address` and `seed` are those of `WorkerModelOptions`. */
export const workerSettingsSchema = z.strictObject({
  address: z.string().default('127.0.0.1:0'),
  vm: z.string().min(1),
  rack: z.string().default('rack'),
  capacity: capacitySchema.default({ cpus: 64, memoryMb: 128_000, accelerators: 0 }),
  speed: z.number().positive().default(1),
  usageFactor: z.tuple([z.number().nonnegative(), z.number().nonnegative()]).default([1, 1]),
  usageLagMs: z.number().nonnegative().default(5_000),
  seed: z.number().int().default(1)
})

/** Settings of a worker's stand-in. */
export type WorkerSettings = z.input<typeof workerSettingsSchema>

/** Body of `POST /control/faults`. */
export const workerFaultsSchema: z.ZodType<Partial<WorkerFaults>> = z.strictObject({
  failTasks: z.boolean(),
  hang: z.boolean(),
  dropAnswers: z.boolean()
}).partial()

const commandSchema = z.enum(TASK_COMMANDS)
const commandBodySchema = z.strictObject({ epoch: z.number().int() })

/** Serves a {@link WorkerModel} over HTTP. */
export class WorkerStandin implements Standin {
  readonly model: WorkerModel
  private readonly _server = new StandinServer()

  constructor ({ timers, settings }: { timers: Timers, settings: WorkerSettings }) {
    const { seed, ...options } = workerSettingsSchema.parse(settings)
    this.model = new WorkerModel({ ...options, timers, random: new SeededRandom(seed) })
    this._server.serveFaults(this.model.faults, workerFaultsSchema)
    this._server.app.get('/control/record', c => c.json(this.model.record()))
    this._server.app.post('/v1/starts', c => this._answer(c, body => {
      const { epoch, starts } = startsRequestSchema.parse(body)
      return this.model.start(epoch, starts)
    }))
    this._server.app.post('/v1/renewals', c => this._answer(c, body => {
      const { epoch, leaseMs, acknowledged, since } = renewalRequestSchema.parse(body)
      return this.model.renew(epoch, leaseMs, acknowledged, since)
    }))
    this._server.app.post('/v1/tasks/:taskId/:command', c => this._answer(c, body => {
      const { epoch } = commandBodySchema.parse(body)
      return this.model.command(epoch, c.req.param('taskId'), commandSchema.parse(c.req.param('command')))
        .map(found => ({ found }))
    }))
  }

  listen (address: string): Promise<string> {
    return this._server.listen(address)
  }

  close (): Promise<void> {
    this.model.close()
    return this._server.close()
  }

  private async _answer (c: Context<StandinEnv>, operation: (body: unknown) => Result<object, StaleEpochRefusal>): Promise<Response> {
    const body: unknown = await c.req.json()
    await this.model.waitWhileHanging()
    const result = operation(body)
    if (this.model.faults.dropAnswers) return resetConnection(c)
    return result.isOk ? c.json(result.value) : c.json(result.error, 409)
  }
}
