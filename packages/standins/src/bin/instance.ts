#!/usr/bin/env node
/**
 * Program that runs the stand-in for a service instance.
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
  description: 'Stand-in for a service instance',
  schema: instanceSettingsSchema,
  start: settings => new InstanceStandin({ timers: new SystemTimers(), settings })
})
