#!/usr/bin/env node
/**
 * Stand-in of a service instance.
 *
 * Usage: `node packages/standins/dist/bin/instance.js --settings <file>`
 *
 * @module
 */

import { SystemTimers } from 'pomelofold/edge/systemTimers'
import { instanceSettingsSchema, InstanceStandin } from '../instanceStandin.js'
import { runProgram } from './runProgram.js'

await runProgram({
  name: 'instance',
  description: 'Stand-in of a service instance',
  schema: instanceSettingsSchema,
  start: settings => new InstanceStandin({ timers: new SystemTimers(), settings })
})
