/**
 * Starts a cell with one entry daemon, one service instance and two workers as separate processes, and submits the example
 * manifest.
 *
 * @module
 */

import { readFileSync } from 'node:fs'
import type { Test } from 'tap'
import { manifestSchema, type Manifest } from 'pomelofold/protocol/manifest'
import { ProcessCell, waitUntil } from '../../utils/cell/processCell.js'

/** Root of the repository, relative to the compiled file. */
const REPO = new URL('../../../', import.meta.url)

/** Reads and parses a file of `examples/`. */
export function readExample (file: string): unknown {
  return JSON.parse(readFileSync(new URL(`examples/${file}`, REPO), 'utf8'))
}

/** The manifest that {@link startOneEntryCell} submits. */
export const MANIFEST: Manifest = manifestSchema.parse(readExample('umurima.manifest.json'))

/** Starts the cell and waits until it runs requests and accepts jobs. */
export async function startOneEntryCell (t: Test): Promise<{ cell: ProcessCell, url: string }> {
  const cell = await ProcessCell.start({ domains: ['a'], entries: [1], instancesPerDomain: 1, workersPerDomain: 2 })
  t.teardown(() => cell.close())
  const client = cell.client()
  const submitted = await client.submitManifest(MANIFEST, 0)
  if (submitted.isErr) throw submitted.error
  await waitUntil('a request runs', async () =>
    (await client.sendRequest('readings', 'first')).map(answer => answer.outcome === 'ran').unwrapOr(false))
  await waitUntil('the job manager is active', async () => (await client.jobs()).map(({ unreachable }) => unreachable.length === 0).unwrapOr(false))
  return { cell, url: `http://${cell.plan.entries[0].httpAddress}` }
}
