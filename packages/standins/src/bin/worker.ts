#!/usr/bin/env node
/**
 * Stand-in of a worker.
 *
 * Usage: `node packages/standins/dist/bin/worker.js --settings <file>`
 *
 * @module
 */

import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { workerSettingsSchema, WorkerStandin } from '../workerStandin.js'
import { runProgram } from './runProgram.js'

await runProgram({
  name: 'worker',
  description: 'Stand-in of a worker',
  schema: workerSettingsSchema,
  start: settings => new WorkerStandin({ timers: new SystemTimers(), settings })
})
