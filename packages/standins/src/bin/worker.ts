#!/usr/bin/env node
/**
 * Program that runs the stand-in for a worker.
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
  description: 'Stand-in for a worker',
  schema: workerSettingsSchema,
  start: settings => new WorkerStandin({ timers: new SystemTimers(), settings })
})
