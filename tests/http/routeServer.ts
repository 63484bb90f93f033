/**
 * Server with all routes of an entry daemon, without the rest of the daemon.
 *
 * @module
 */

import type { Test } from 'tap'
import type { ManifestKeeper } from 'pomelofold/config/manifestKeeper'
import { HttpServer } from 'pomelofold/edge/httpServer'
import { SystemRandom } from 'pomelofold/edge/systemRandom'
import { manifestSchema } from 'pomelofold/protocol/manifest'
import { createHttpApp } from 'pomelofold/server/http/httpApp'
import { jobRoutes } from 'pomelofold/server/http/jobRoutes'
import { operatorRoutes } from 'pomelofold/server/http/operatorRoutes'
import { requestRoutes } from 'pomelofold/server/http/requestRoutes'
import type { IncomingRequest, RequestService } from 'pomelofold/server/requestService'
import type { JobService } from 'pomelofold/server/jobService'
import { SILENT_LOG } from 'pomelofold/utils/eventLog'

export const MAX_BODY_BYTES = 1_000_000

const manifest = manifestSchema.parse({ format: 1, services: [{ name: 'readings' }, { name: 'short', maxBodyBytes: 10 }] })
const jobs = { cancel: async () => ({ kind: 'notFound' }) } as unknown as JobService
const requests = {
  handle: async ({ body }: IncomingRequest) => ({ outcome: 'ran', status: 200, headers: {}, body: Buffer.from(`${body.length} bytes`) })
} as unknown as RequestService

/** Starts a server whose services `readings` and `short` answer with the size of the body. */
export async function startRouteServer (t: Test): Promise<{ server: HttpServer, url: string }> {
  const limits = { maxBodyBytes: MAX_BODY_BYTES }
  const app = createHttpApp({
    log: SILENT_LOG,
    ready: () => ({ ready: true }),
    metrics: async () => '',
    routes: [
      requestRoutes({ requests, manifest: () => manifest, random: new SystemRandom(), vm: 'a', ...limits }),
      jobRoutes({ jobs, manifest: () => manifest, ...limits }),
      operatorRoutes({
        manifest: {} as ManifestKeeper,
        status: () => ({}),
        figures: async () => ({ figures: {}, unreachable: [] }),
        drain: () => {},
        ...limits
      })
    ]
  })
  const server = new HttpServer({ address: '127.0.0.1:0' })
  t.teardown(() => server.close({ timeoutMs: 0 }))
  await server.listen(app)
  return { server, url: `http://127.0.0.1:${server.port}` }
}
