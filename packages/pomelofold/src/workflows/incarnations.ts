/**
 * Names of the incarnations of workers.
 *
 * @module
 */

import type { WorkerEntry } from '../seams/workflowUpstreams.js'

/** Unique name of an incarnation of a worker. */
export function incarnationOf ({ id, bornMs }: WorkerEntry): string {
  return `${id}@${bornMs}`
}

/** Id of the worker of an incarnation, which later incarnations may have, too. */
export function workerIdOf (incarnation: string): string {
  return incarnation.slice(0, incarnation.lastIndexOf('@'))
}
